package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// CombinedConfig configures a run of combined failures.
type CombinedConfig struct {
	Seed    uint64
	Steps   int           // failures that are brought about
	Pause   time.Duration // longest time between two steps
	Callers int
}

// Names of what the combined run starts: two entry hosts and three targets in
// each of two failure domains. Three hosts have disks. One target fails half of
// its tasks at once, one refuses half of them.
var (
	combinedDisks   = []string{"a1", "a2", "b1"}
	combinedHosts   = map[string]string{"a1": "north", "a2": "north", "b1": "south", "b2": "south"}
	combinedHostSeq = []string{"a1", "a2", "b1", "b2"}
	combinedTargets = []string{"n1", "n2", "n3", "s1", "s2", "s3"}
)

// combined is one run.
type combined struct {
	world  *World
	config CombinedConfig
	random *rand.Rand
	undo   []undo
	wiped  map[string]int // how often a host lost its disk
	last   uint64         // bundle version accepted last; read it when load has ended
	log    func(format string, args ...any)
}

// undo ends a failure at a later step.
type undo struct {
	step int
	name string // process or link that the failure is on
	end  func() error
}

// Combined starts a fleet in w, submits jobs without pause while it brings
// about failures drawn from the seed, heals everything, and checks that each
// host serves again. The histories are left to be checked.
func Combined(w *World, config CombinedConfig, log func(format string, args ...any)) error {
	c := &combined{world: w, config: config, random: rand.New(rand.NewPCG(config.Seed, 3)), wiped: map[string]int{}, log: log}
	if err := c.startFleet(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var load errgroup.Group
	for i := range config.Callers {
		load.Go(func() error { return c.call(ctx, i) })
	}
	load.Go(func() error { return c.cancelWaves(ctx) })
	load.Go(func() error { return c.changeBundles(ctx) })
	err := c.breakThings()
	stop()
	if err == nil {
		err = c.heal()
	}
	if loadErr := load.Wait(); err == nil {
		err = loadErr
	}
	if err != nil {
		return err
	}
	return c.serveAgain()
}

func (c *combined) startFleet() error {
	for _, name := range combinedHostSeq {
		var settings []string
		if slices.Contains(combinedDisks, name) {
			settings = append(settings, diskSetting)
		}
		if err := c.world.Entry(name, combinedHosts[name], settings...); err != nil {
			return err
		}
	}
	flags := map[string][]string{"n3": {"--fail-rate=0.5"}, "s3": {"--refuse-rate=0.5"}}
	for _, name := range combinedTargets {
		domain, entries := "north", []string{"a1", "a2"}
		if name[0] == 's' {
			domain, entries = "south", []string{"b2", "b1"}
		}
		if err := c.world.Target(name, domain, entries, append(flags[name], "--slots=4", "--linger=100ms")...); err != nil {
			return err
		}
	}
	return c.world.Start(c.world.names...)
}

// call submits one job after the other, in bursts with pauses.
func (c *combined) call(ctx context.Context, i int) error {
	random := rand.New(rand.NewPCG(c.config.Seed, uint64(100+i)))
	one := caller.NewCaller(caller.CallerConfig{
		Team: fmt.Sprintf("team-%d", i%3), Deadline: 3 * time.Second, History: c.world.history,
		Entries: c.entries(), First: i, ResubmitAfter: 2 * time.Second, GiveUpAfter: 20 * time.Second,
	})
	for n := 0; ctx.Err() == nil; n++ {
		label := fmt.Sprintf("c%d-%d", i, n)
		tasks := 1 + random.IntN(12)
		one.Submit(context.Background(), label, jobTasks(label, tasks, drawFault(random), runTime(random)))
		if random.IntN(8) == 0 {
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
	}
	return nil
}

// drawFault scripts a fault of a task for one job in ten.
func drawFault(random *rand.Rand) history.Payload {
	faults := []history.Payload{{Cut: true}, {WrongID: true}, {WrongRefusal: true}, {DropAfterStart: true}, {Fail: true}}
	if random.IntN(10) != 0 {
		return history.Payload{}
	}
	return faults[random.IntN(len(faults))]
}

func runTime(random *rand.Rand) time.Duration {
	return time.Duration(5+random.IntN(60)) * time.Millisecond
}

// cancelWaves submits bursts of jobs and withdraws them soon after.
func (c *combined) cancelWaves(ctx context.Context) error {
	random := rand.New(rand.NewPCG(c.config.Seed, 4))
	for n := 0; ctx.Err() == nil; n++ {
		var wave errgroup.Group
		for i := range 10 {
			label := fmt.Sprintf("w%d-%d", n, i)
			entry, other := c.entry(random), c.entry(random)
			tasks := jobTasks(label, 8, history.Payload{}, runTime(random))
			wait := time.Duration(random.IntN(60)) * time.Millisecond
			wave.Go(func() error { c.withdraw(label, entry, other, tasks, wait); return nil })
		}
		_ = wave.Wait()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	return nil
}

const withdrawTimeout = 5 * time.Second

// withdraw submits a job at entry and cancels it at other after wait.
func (c *combined) withdraw(label, entry, other string, tasks []task, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	ticket, err := c.world.sender.Ticket(ctx, entry)
	if err != nil {
		return
	}
	var both errgroup.Group
	both.Go(func() error {
		submission := caller.Submission{Job: label, Attempt: 1, Ticket: ticket, Deadline: withdrawTimeout, Tasks: tasks}
		_, err := c.world.sender.Submit(ctx, entry, submission)
		return err
	})
	time.Sleep(wait)
	_ = c.world.sender.Cancel(ctx, other, ticket)
	_ = both.Wait()
}

// changeBundles brings one bundle after the other into force, each through a
// host drawn anew until one says that it is done.
func (c *combined) changeBundles(ctx context.Context) error {
	random := rand.New(rand.NewPCG(c.config.Seed, 5))
	for ctx.Err() == nil {
		host := combinedHostSeq[random.IntN(len(combinedHostSeq))]
		verdict, err := c.world.Replace(c.last+1, host, "only")
		if err != nil {
			return err
		}
		if verdict == "done" {
			c.last++
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	return nil
}

func (c *combined) entries() []string {
	var list []string
	for _, name := range combinedHostSeq {
		list = append(list, c.world.links["caller-"+name].Address())
	}
	return list
}

func (c *combined) entry(random *rand.Rand) string {
	return c.entries()[random.IntN(len(combinedHostSeq))]
}

// breakThings brings about one failure a step and ends each within three.
func (c *combined) breakThings() error {
	for step := range c.config.Steps {
		if err := c.endDue(step); err != nil {
			return err
		}
		if err := c.breakOne(step); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(c.config.Pause))))
	}
	return nil
}

func (c *combined) endDue(step int) error {
	var kept []undo
	for _, u := range c.undo {
		if u.step > step {
			kept = append(kept, u)
			continue
		}
		if err := u.end(); err != nil {
			return fmt.Errorf("step %d, end of the failure of %s: %w", step, u.name, err)
		}
	}
	c.undo = kept
	return nil
}

// busy reports whether a failure of name has not ended.
func (c *combined) busy(name string) bool {
	for _, u := range c.undo {
		if u.name == name {
			return true
		}
	}
	return false
}

// breakOne draws a failure. One that meets a process or link which has failed
// already is left out.
func (c *combined) breakOne(step int) error {
	kinds := []func(step int) error{
		func(s int) error { return c.crash(s, c.pick(combinedHostSeq)) },
		func(s int) error { return c.crash(s, c.pick(combinedTargets)) },
		func(s int) error { return c.freeze(s, c.pick(combinedHostSeq)) },
		func(s int) error { return c.freeze(s, c.pick(combinedTargets)) },
		func(s int) error { return c.leave(s, c.pick(combinedHostSeq)) },
		func(s int) error { return c.leave(s, c.pick(combinedTargets)) },
		func(s int) error { return c.lapse(s, c.pick(combinedTargets)) },
		func(s int) error { return c.cutDomains(s) },
		func(s int) error { return c.cutLink(s, c.pick(combinedTargets)) },
		func(s int) error { return c.silence(s, c.pickLink()) },
	}
	return kinds[c.random.IntN(len(kinds))](step)
}

func (c *combined) pick(names []string) string { return names[c.random.IntN(len(names))] }

// pickLink draws a link between hosts, to a target, or from callers.
func (c *combined) pickLink() string {
	from, to := c.pick(combinedHostSeq), c.pick(combinedHostSeq)
	links := []string{"caller-" + from, "targets-" + from, c.pick(combinedTargets)}
	if from != to {
		links = append(links, from+"-"+to)
	}
	return c.pick(links)
}

// endLater ends a failure one to three steps on.
func (c *combined) endLater(step int, name string, end func() error) {
	c.undo = append(c.undo, undo{step + 1 + c.random.IntN(3), name, end})
}

func (c *combined) crash(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	wipe := c.mayWipe(name) && c.random.IntN(2) == 0
	c.log("step %d: crash %s, disk lost: %t", step, name, wipe)
	c.endLater(step, name, func() error { return c.world.launch(name) })
	if err := c.world.Kill(name); err != nil || !wipe {
		return err
	}
	c.wiped[name]++
	return c.world.Wipe(name)
}

// mayWipe reports whether a host's disk may be lost: the others are well, and
// every disk that was lost has been repaired.
func (c *combined) mayWipe(name string) bool {
	if !slices.Contains(combinedDisks, name) || c.busy("domains") {
		return false
	}
	for _, host := range combinedDisks {
		if host != name && c.busy(host) || c.world.repairs(host) < c.wiped[host] {
			return false
		}
	}
	return true
}

func (c *combined) freeze(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	c.log("step %d: freeze %s", step, name)
	c.endLater(step, name, func() error { return c.world.Signal(name, syscall.SIGCONT) })
	return c.world.Signal(name, syscall.SIGSTOP)
}

// leave asks for a graceful shutdown and starts the process again later.
func (c *combined) leave(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	c.log("step %d: terminate %s", step, name)
	c.endLater(step, name, func() error {
		if err := c.world.Exits(name, 0); err != nil {
			return err
		}
		return c.world.launch(name)
	})
	return c.world.Signal(name, syscall.SIGTERM)
}

func (c *combined) lapse(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	c.log("step %d: lapse %s", step, name)
	c.endLater(step, name, func() error {
		if err := c.world.Kill(name); err != nil {
			return err
		}
		return c.world.launch(name)
	})
	return c.world.Signal(name, syscall.SIGUSR1)
}

// cutDomains cuts all links between the two failure domains.
func (c *combined) cutDomains(step int) error {
	if c.busy("domains") {
		return nil
	}
	c.log("step %d: cut the domains", step)
	var links []string
	for _, a := range []string{"a1", "a2"} {
		for _, b := range []string{"b1", "b2"} {
			links = append(links, a+"-"+b, b+"-"+a)
		}
	}
	c.endLater(step, "domains", func() error {
		for _, name := range links {
			c.world.links[name].Heal()
		}
		return nil
	})
	for _, name := range links {
		c.world.links[name].Cut("both")
	}
	return nil
}

func (c *combined) cutLink(step int, name string) error {
	if c.busy("link " + name) {
		return nil
	}
	c.log("step %d: cut the link to %s", step, name)
	c.endLater(step, "link "+name, func() error {
		c.world.links[name].Heal()
		return nil
	})
	c.world.links[name].Cut("both")
	return nil
}

func (c *combined) silence(step int, name string) error {
	n := c.world.links[name].Silence()
	c.log("step %d: silence %d connections of %s", step, n, name)
	return nil
}

// heal ends every failure and waits until the fleet serves.
func (c *combined) heal() error {
	if err := c.endDue(c.config.Steps + 3); err != nil {
		return err
	}
	for _, name := range combinedHostSeq {
		if err := c.world.waitReady(name); err != nil {
			return err
		}
	}
	for _, name := range combinedTargets {
		if err := c.world.Listed(c.world.targets[name].entries[0], name, true); err != nil {
			return err
		}
	}
	return nil
}

// serveAgain waits for the last bundle at each host, submits one job there and
// expects it complete. A job that meets the failing target is submitted anew.
func (c *combined) serveAgain() error {
	c.log("version %d was accepted last, disks lost: %v", c.last, c.wiped)
	for _, host := range combinedHostSeq {
		if err := c.world.InForce(c.last, host); err != nil {
			return err
		}
		n := 0
		err := poll(func() error {
			n++
			label := fmt.Sprintf("again-%s-%d", host, n)
			c.world.Job(label, JobConfig{Tasks: 2, Deadline: 5 * time.Second})
			if err := c.world.Submit(label, host, waitLimit); err != nil {
				return err
			}
			return c.world.Answer(label, "complete")
		})
		if err != nil {
			return fmt.Errorf("after the failures, host %s: %w", host, err)
		}
	}
	return nil
}
