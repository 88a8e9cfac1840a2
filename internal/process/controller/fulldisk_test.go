package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/version/register"
	"wasabifield.example/wasabifield/internal/version/store/storetest"
)

const (
	fullDayLost    = 3 * time.Second         // a voter that is silent for longer may be replaced
	fullDayChange  = 2500 * time.Millisecond // a host's limit for one change
	fullDaySettle  = 5 * time.Second         // after the last full disk
	fullDayRecover = 10 * time.Second        // after losses
	fullDayServe   = 15 * time.Second        // with one full disk, and all hosts back after at most 7 s
	fullDayRestart = 300 * time.Millisecond  // a process that could not start is started again
)

// fullDay is a day on which the disks of voters and standbys are full one after another.
// Hosts also restart, give their vote up, and lose their connections.
type fullDay struct {
	*site
	tolerated int // lost disks

	mu       sync.Mutex // guards all of the following, nodes and disks
	random   *rand.Rand
	awayFrom map[string]time.Time // when a host was stopped or disconnected
	faulty   map[string]bool      // hosts that are or will be stopped or disconnected
	fresh    map[string]bool      // hosts whose disk was lost
	lostDisk string               // host of the last lost disk before the end
	changes  int
	acked    []string
	faults   []string
}

// fullDayStep fills one disk. Meanwhile something may happen to another host.
type fullDayStep struct {
	disk      int
	refused   storetest.Operations
	freeBytes int
	duration  time.Duration
	gap       time.Duration // after the disk has room again
	kind      string
	host      int
	hasDisk   bool // the host has a disk
	after     time.Duration
	away      time.Duration
}

// fullDayEnd is what is lost at the end.
type fullDayEnd struct {
	kind     string
	busy     bool // right after an acknowledgement while a disk is full
	disks    []int
	unsynced int // bytes that were not synced and survive a loss of power
}

func drawFullDay(rt *rapid.T) (tolerated, disks int, seed uint64, steps []fullDayStep, end fullDayEnd) {
	ms := func(from, to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(rt, name)) * time.Millisecond
	}
	tolerated = rapid.IntRange(1, 2).Draw(rt, "tolerated")
	disks = rapid.IntRange(2*tolerated+1, 5).Draw(rt, "disks")
	seed = rapid.Uint64().Draw(rt, "seed")
	steps = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fullDayStep {
		s := fullDayStep{
			disk:     rapid.IntRange(0, disks-1).Draw(rt, "disk"),
			duration: ms(500, 4000, "full"), gap: ms(0, 500, "gap"),
			kind: rapid.SampledFrom([]string{"none", "none", "kill", "kill", "leave", "disconnect", "lose disk"}).Draw(rt, "kind"),
			host: rapid.IntRange(0, disks+1).Draw(rt, "host"), after: ms(0, 2000, "after"), away: ms(100, 5000, "away"),
		}
		s.hasDisk = s.host < disks
		if rapid.Bool().Draw(rt, "short writes") {
			s.freeBytes = rapid.IntRange(1, 4000).Draw(rt, "free bytes")
		}
		switch rapid.IntRange(0, 2).Draw(rt, "refuses") {
		case 0:
			s.refused = storetest.AllOperations &^ storetest.Write
		case 1:
			s.refused = storetest.Operations(rapid.IntRange(0, int(storetest.AllOperations)).Draw(rt, "refused"))
		}
		return s
	}), 3, 8).Draw(rt, "steps")
	end = fullDayEnd{
		kind:     rapid.SampledFrom([]string{"power", "disks", "disks and power of disk hosts", "disks and power of all", "disks and power of all"}).Draw(rt, "end"),
		busy:     rapid.Bool().Draw(rt, "busy"),
		disks:    rapid.Permutation(indexes(disks)).Draw(rt, "lost")[:tolerated],
		unsynced: rapid.SampledFrom([]int{0, 0, 5, 1 << 20}).Draw(rt, "unsynced"),
	}
	return tolerated, disks, seed, steps, end
}

func indexes(n int) []int {
	var out []int
	for i := range n {
		out = append(out, i)
	}
	return out
}

func newFullDay(t *testing.T, tolerated, disks int, seed uint64) *fullDay {
	d := &fullDay{
		tolerated: tolerated, random: rand.New(rand.NewPCG(seed, 0)),
		awayFrom: map[string]time.Time{}, faulty: map[string]bool{}, fresh: map[string]bool{},
	}
	timing := controller.DefaultTiming()
	timing.ConfirmInterval = time.Second
	d.site = newStoppedSite(t, timing, disks, disks+2, func(c *controller.Config) {
		c.VoterCount = 2*tolerated + 1
		c.InitialVoters = d.hosts[:c.VoterCount]
		c.Lost = d.isLost
		c.Bootstrapped = d.fresh[c.Host]
	})
	d.seed = seed
	d.bus.transit = d.transit
	for _, name := range d.hosts {
		d.start(name)
	}
	return d
}

func (d *fullDay) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
}

func (d *fullDay) isLost(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, ok := d.awayFrom[host]
	return ok && time.Since(from) > fullDayLost
}

func (d *fullDay) transit() transit {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := transit{delay: time.Millisecond + time.Duration(d.random.IntN(4000))*time.Microsecond}
	switch d.random.IntN(100) {
	case 0:
		t.late = time.Duration(1+d.random.IntN(3000)) * time.Millisecond
	case 1:
		t.replyLost = true
	}
	return t
}

func (d *fullDay) node(name string) *node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes[name]
}

// start starts a host, again and again if its disk refuses.
func (d *fullDay) start(name string) {
	tryStart := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.nodes[name] != nil {
			return true
		}
		n, err := d.newNode(name)
		if err != nil {
			return false
		}
		d.nodes[name] = n
		delete(d.awayFrom, name)
		return true
	}
	for !tryStart() {
		time.Sleep(fullDayRestart)
	}
}

func (d *fullDay) kill(name string) {
	d.mu.Lock()
	n := d.nodes[name]
	delete(d.nodes, name)
	d.awayFrom[name] = time.Now()
	d.mu.Unlock()
	if n != nil {
		n.stop()
	}
}

// hasStandby reports whether a host with a disk that does not vote runs.
func (d *fullDay) hasStandby(n *node) bool {
	voters := n.Status().Members
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.disks {
		isVoter := false
		for _, m := range voters {
			isVoter = isVoter || m.Host == name
		}
		if !isVoter && d.nodes[name] != nil && !d.faulty[name] {
			return true
		}
	}
	return false
}

// disturb lets something happen to the host of a step.
func (d *fullDay) disturb(ctx context.Context, s fullDayStep) {
	name := d.hosts[s.host]
	d.mu.Lock()
	if s.kind == "none" || d.faulty[name] {
		d.mu.Unlock()
		return
	}
	d.faulty[name] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.faulty[name] = false
	}()
	time.Sleep(s.after)
	if ctx.Err() != nil {
		return
	}
	switch s.kind {
	case "kill":
		d.kill(name)
		time.Sleep(s.away)
		d.start(name)
	case "leave":
		if n := d.node(name); n.Status().IsVoter && d.hasStandby(n) {
			leaveCtx, cancel := context.WithTimeout(ctx, time.Second)
			_ = n.Leave(leaveCtx)
			cancel()
		}
		if ctx.Err() != nil {
			return
		}
		d.kill(name)
		time.Sleep(s.away)
		d.start(name)
	case "lose disk":
		if s.hasDisk && !d.isRepairing() {
			d.kill(name)
			d.replaceDisk(name)
			time.Sleep(s.away)
			d.start(name)
		}
	case "disconnect":
		d.bus.setDisconnected(name, true)
		d.mu.Lock()
		d.awayFrom[name] = time.Now()
		d.mu.Unlock()
		time.Sleep(s.away)
		d.bus.setDisconnected(name, false)
		d.mu.Lock()
		delete(d.awayFrom, name)
		d.mu.Unlock()
	}
}

// isRepairing reports whether the register still counts on a disk that was lost: its
// host has not become a voter again, and no other has taken its place.
func (d *fullDay) isRepairing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostDisk == "" {
		return false
	}
	var newest controller.Status
	for _, n := range d.nodes {
		if s := n.Status(); s.Version >= newest.Version {
			newest = s
		}
	}
	isMember := slices.ContainsFunc(newest.Members, func(m register.Member) bool { return m.Host == d.lostDisk })
	n := d.nodes[d.lostDisk]
	return isMember && (n == nil || !n.Status().IsVoter)
}

func (d *fullDay) replaceDisk(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disks[name], d.fresh[name], d.lostDisk = storetest.NewFS(), true, name
}

// change sends a change to a host and records its acknowledgement.
func (d *fullDay) change(n *node, word string) error {
	ctx, cancel := context.WithTimeout(context.Background(), fullDayChange)
	defer cancel()
	_, err := n.Change(ctx, appendWord(word))
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.acked = append(d.acked, word)
	}
	return err
}

func (d *fullDay) newWord() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes++
	return fmt.Sprint("w", d.changes) // no word ends another one
}

// operate sends changes, each until it is acknowledged, and reads the register. done is
// called after each acknowledgement.
func (d *fullDay) operate(ctx context.Context, index int, done func()) {
	random := rand.New(rand.NewPCG(d.seed, uint64(index)))
	pick := func() *node {
		for ctx.Err() == nil {
			if n := d.node(d.hosts[random.IntN(len(d.hosts))]); n != nil {
				return n
			}
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	}
	for ctx.Err() == nil {
		word := d.newWord()
		for n := pick(); n != nil && d.change(n, word) != nil; n = pick() {
			time.Sleep(50 * time.Millisecond)
		}
		done()
		d.mu.Lock()
		acked := slices.Clone(d.acked)
		d.mu.Unlock()
		if n := pick(); n != nil {
			content, confirmed, _, err := n.Read(ctx)
			if err == nil && confirmed {
				d.checkContent("a read of the day", content, acked)
			}
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
}

func (d *fullDay) checkContent(when string, content []byte, acked []string) {
	held := map[string]int{}
	for _, word := range strings.Split(string(content), ";") {
		held[word]++
	}
	for _, word := range acked {
		if held[word] != 1 {
			d.fail("%s: %d copies of the acknowledged change %s", when, held[word], word)
			return
		}
	}
}

// checkAll checks that each host accepts a change and that all hosts read all
// acknowledged changes.
func (d *fullDay) checkAll(when string) {
	for _, name := range d.hosts {
		if err := d.change(d.node(name), d.newWord()); err != nil {
			d.fail("%s: a change at %s: %v", when, name, err)
		}
	}
	for _, name := range d.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), fullDayChange)
		content, confirmed, _, err := d.node(name).Read(ctx)
		cancel()
		if err != nil || !confirmed {
			d.fail("%s: a read at %s: confirmed %v, %v", when, name, confirmed, err)
			continue
		}
		d.checkContent(when+", "+name, content, d.acked)
	}
	if status := d.node(d.hosts[0]).Status(); len(status.Members) != 2*d.tolerated+1 {
		d.fail("%s: the voters are %v", when, status.Members)
	}
}

// lose brings the losses of the end about, all at the same moment, and starts the hosts
// again.
func (d *fullDay) lose(end fullDayEnd) {
	var wait sync.WaitGroup
	var stopped []string
	if d.isRepairing() {
		end.disks = end.disks[1:]
	}
	d.mu.Lock()
	for i, name := range d.hosts {
		disk := d.disks[name]
		switch {
		case end.kind != "power" && slices.Contains(end.disks, i):
			d.disks[name], d.fresh[name] = storetest.NewFS(), true
		case end.kind == "disks" || end.kind == "disks and power of disk hosts" && disk == nil:
			if disk != nil {
				fill(disk, false, fullDayStep{})
			}
			continue
		case disk != nil:
			d.disks[name] = disk.Crash(end.unsynced)
		}
		stopped = append(stopped, name)
	}
	d.mu.Unlock()
	for _, name := range stopped {
		d.kill(name)
	}
	for i, name := range stopped {
		wait.Go(func() {
			time.Sleep(time.Duration(i*(7+end.unsynced%3)%11) * 100 * time.Millisecond)
			d.start(name)
		})
	}
	wait.Wait()
}

func fill(disk *storetest.FS, full bool, s fullDayStep) {
	disk.SetFull(full, s.freeBytes)
	if !full {
		s.refused = 0
	}
	disk.Refuse(s.refused)
}

// play plays the day and returns what went wrong.
func (d *fullDay) play(steps []fullDayStep, end fullDayEnd) []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var operators, disturbances sync.WaitGroup
	acked := make(chan struct{}, 1)
	for i := range 3 {
		operators.Go(func() {
			d.operate(ctx, i, func() {
				select {
				case acked <- struct{}{}:
				default:
				}
			})
		})
	}
	time.Sleep(3 * time.Second) // bootstraps the register
	for i, s := range steps {
		name := d.hosts[s.disk]
		d.mu.Lock()
		disk := d.disks[name]
		d.mu.Unlock()
		fill(disk, true, s)
		disturbances.Go(func() { d.disturb(ctx, s) })
		time.Sleep(s.duration)
		if end.busy && i == len(steps)-1 {
			select {
			case <-acked: // of before
			default:
			}
			select {
			case <-acked:
			case <-time.After(fullDayServe):
				if !d.isRepairing() {
					d.fail("no change was acknowledged while only %s was full", name)
				}
			}
			cancel()
			d.lose(end)
		}
		fill(disk, false, s)
		if i < len(steps)-1 {
			time.Sleep(s.gap)
		}
	}
	if !end.busy {
		disturbances.Wait()
		time.Sleep(fullDaySettle)
		cancel()
		operators.Wait()
		d.checkAll("after the last full disk")
		if len(d.faults) == 0 {
			d.lose(end)
		}
	}
	disturbances.Wait()
	operators.Wait()
	if len(d.faults) == 0 {
		time.Sleep(fullDayRecover)
		d.checkAll("after the losses")
	}
	for _, name := range d.hosts {
		d.kill(name)
	}
	time.Sleep(5 * time.Second) // until the last late message has arrived
	return d.faults
}

// Disks of voters are full one after another; once all have room, each host accepts changes again.
func TestFullDisksInTurnStopNoChangesForGood(t *testing.T) {
	changes, days := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		tolerated, disks, seed, steps, end := drawFullDay(rt)
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			d := newFullDay(t, tolerated, disks, seed)
			faults = d.play(steps, end)
			changes += len(d.acked)
			days++
		})
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
	t.Log(days, "days,", changes, "changes acknowledged")
}
