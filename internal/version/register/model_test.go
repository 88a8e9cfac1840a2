package register_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/register"
)

var (
	firstSeed = flag.Uint64("register.seed", 1, "first seed of the model check")
	schedules = flag.Int("register.schedules", 3000, "schedules of the model check")
)

const (
	stepsPerSchedule = 1600
	stepsToConverge  = 20_000
	maxInFlight      = 60
	writeBackOdds    = 20
)

var errNotConverged = errors.New("the hosts did not converge")

// faults are injected one at a time to show that the checks detect them.
type faults struct {
	replyBeforeSync    bool // a voter replies before its state is on disk
	lostDiskVotes      bool // a voter that lost its disk keeps its identity and votes
	localReadConfirmed bool // a read of the local copy is presented as confirmed
}

type envelope struct {
	from, to  string
	processID uint64 // the process that sent the request; replies to an earlier process are dropped
	request   register.Request
	reply     register.Reply
}

// host is a host with its disk, its process and its network connection.
type host struct {
	name            string
	hasDisk         bool
	state           register.State
	durable         register.State
	unsynced        *register.Effect // effect whose state is not on disk yet
	unsyncedRequest envelope         // the request that led to unsynced
	processID       uint64
	proposer        *register.Proposer
	busy            bool // an operation is in progress
	changeID        uint16
	minVersion      uint64 // the newest version returned by any operation before this one started
	down            bool
	frozen          bool
	partitioned     bool
}

// model runs one random schedule of events and checks the register's invariants
// while it runs.
type model struct {
	random          *rand.Rand
	faults          faults
	hosts           []*host
	inFlight        []envelope
	chosen          map[uint64]register.Value // by version
	newestAnswered  uint64                    // newest version returned by a change or a confirmed read
	answeredIDs     []uint16                  // ids of the changes that have returned a result
	nextID          uint16
	readOnly        bool // hosts start no changes except those of the voters
	answeredChanges int
	repairedDisks   int // disks that became voters after a disk was lost
	err             error
}

func newModel(seed uint64, f faults) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), faults: f, chosen: map[uint64]register.Value{}}
	var members []register.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, register.Member{Host: name, Identity: m.random.Uint64()})
	}
	m.chosen[0] = register.InitialEntry(members).Value
	for _, member := range members {
		s := register.State{Host: member.Host, Identity: member.Identity}
		s = s.Handle(register.Learn{Entry: register.InitialEntry(members)}).State
		m.hosts = append(m.hosts, &host{name: member.Host, hasDisk: true, state: s, durable: s})
	}
	m.hosts = append(m.hosts, &host{name: "d", state: register.State{Host: "d"}})
	for _, h := range m.hosts {
		m.restart(h)
	}
	return m
}

func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

func (m *model) restart(h *host) {
	h.down, h.busy, h.unsynced = false, false, nil
	h.state = h.durable
	if !h.hasDisk {
		h.state = register.State{Host: h.name}
	}
	h.processID = m.random.Uint64()
	h.proposer = register.NewProposer(h.processID, []string{"a", "b", "c"})
	h.proposer.Learn(h.state.Learned)
}

// crash stops the process, at random before or after the unsynced state has reached
// the disk.
func (m *model) crash(h *host) {
	if h.unsynced != nil && m.random.IntN(2) == 0 {
		h.durable = h.unsynced.State
	}
	h.unsynced = nil
	h.down = true
}

// loseDisk empties the disk of a host if the register can tolerate that: each disk
// must know that it is a voter, because a repaired disk doesn't count before it
// does.
func (m *model) loseDisk(h *host) {
	if !h.hasDisk {
		return
	}
	for _, o := range m.hosts {
		if o.hasDisk && !o.durable.Learned.Value.HasMember(o.durable.Member()) {
			return
		}
	}
	m.crash(h)
	if m.faults.lostDiskVotes {
		founding := register.InitialEntry(h.durable.Learned.Value.Members)
		h.durable = register.State{Host: h.name, Identity: h.durable.Identity}
		h.durable = h.durable.Handle(register.Learn{Entry: founding}).State
		return
	}
	h.durable = register.State{Host: h.name, Identity: m.random.Uint64()}
}

// enqueue adds a message to those in flight. If there are maxInFlight already, it
// replaces a random one.
func (m *model) enqueue(e envelope) {
	if len(m.inFlight) < maxInFlight {
		m.inFlight = append(m.inFlight, e)
		return
	}
	m.inFlight[m.random.IntN(len(m.inFlight))] = e
}

func (m *model) send(h *host, out []register.OutboundRequest) {
	for _, s := range out {
		m.enqueue(envelope{from: h.name, to: s.Host, processID: h.processID, request: s.Request})
	}
}

func (m *model) host(name string) *host {
	return m.hosts[slices.IndexFunc(m.hosts, func(h *host) bool { return h.name == name })]
}

// deliver removes message i from those in flight and handles it. A message to a
// frozen host or to one with an unsynced state stays in flight; a message from or to
// a partitioned host or to a stopped one is lost.
func (m *model) deliver(i int) {
	e := m.inFlight[i]
	h := m.host(e.to)
	if h.frozen || h.unsynced != nil && !m.faults.replyBeforeSync {
		return
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	if h.down || h.partitioned || m.host(e.from).partitioned {
		return
	}
	if e.request != nil {
		m.handle(h, e)
	} else if e.processID == h.processID && h.busy {
		m.send(h, h.proposer.Handle(e.reply))
		m.finishOperation(h)
	}
}

func (m *model) handle(h *host, e envelope) {
	effect := h.state.Handle(e.request)
	if !effect.Persist || !h.hasDisk {
		m.install(h, e, effect)
		return
	}
	h.unsynced, h.unsyncedRequest = &effect, e
	if m.faults.replyBeforeSync {
		m.install(h, e, effect)
	}
}

// sync makes the unsynced state durable and then sends the reply. With the fault
// replyBeforeSync the reply has been sent already, and the state reaches the disk
// only when the operating system writes back its cache.
func (m *model) sync(h *host) {
	if h.unsynced == nil || m.faults.replyBeforeSync && m.random.IntN(writeBackOdds) > 0 {
		return
	}
	effect := *h.unsynced
	h.unsynced = nil
	h.durable = effect.State
	if !m.faults.replyBeforeSync {
		m.install(h, h.unsyncedRequest, effect)
	}
}

func (m *model) install(h *host, e envelope, effect register.Effect) {
	if effect.State.Learned.Value.Version < h.state.Learned.Value.Version {
		m.fail("host %s went back from version %d", h.name, h.state.Learned.Value.Version)
	}
	h.state = effect.State
	if !h.state.Learned.IsZero() {
		h.proposer.Learn(h.state.Learned)
		m.recordChosen(h.state.Learned.Value)
	}
	if e.from != "" {
		m.enqueue(envelope{from: h.name, to: e.from, processID: e.processID, reply: effect.Reply})
	}
}

// recordChosen records a chosen value and checks it: each version has one content
// and one set of members, and each content extends those of the earlier versions.
func (m *model) recordChosen(v register.Value) {
	if old, ok := m.chosen[v.Version]; ok {
		if !bytes.Equal(old.Content, v.Content) || !slices.Equal(old.Members, v.Members) {
			m.fail("two contents of version %d", v.Version)
		}
		return
	}
	for version, o := range m.chosen {
		older, newer := o, v
		if version > v.Version {
			older, newer = v, o
		}
		if !bytes.HasPrefix(newer.Content, older.Content) {
			m.fail("version %d undoes version %d", newer.Version, older.Version)
		}
	}
	m.chosen[v.Version] = v
	if len(v.FormerMembers) > 0 {
		m.repairedDisks++
	}
}

// startOperation starts an operation on an idle host: a change, a read, or the next
// step towards becoming a voter.
func (m *model) startOperation(h *host) {
	if h.busy || h.down || h.frozen || h.unsynced != nil {
		return
	}
	h.minVersion, h.changeID = m.newestAnswered, 0
	if m.faults.localReadConfirmed && m.random.IntN(4) == 0 {
		m.checkAnswer(h, h.state.Learned)
		return
	}
	h.busy = true
	switch {
	case h.hasDisk && h.state.MayVote && !h.state.Learned.Value.HasMember(h.state.Member()):
		m.send(h, h.proposer.Change(func(v register.Value) (register.Value, error) {
			return v.WithMember(h.state.Member()), nil
		}))
	case h.hasDisk && !h.state.MayVote || m.readOnly || m.random.IntN(3) == 0:
		m.send(h, h.proposer.Read())
	default:
		m.nextID++
		h.changeID = m.nextID
		m.send(h, h.proposer.Change(appendID(h.changeID)))
	}
}

// appendID returns a change that appends the id unless the content contains it.
func appendID(id uint16) register.Change {
	return func(v register.Value) (register.Value, error) {
		if !contains(v.Content, id) {
			v.Content = binary.BigEndian.AppendUint16(slices.Clone(v.Content), id)
		}
		return v, nil
	}
}

func contains(content []byte, id uint16) bool {
	for i := 0; i+1 < len(content); i += 2 {
		if binary.BigEndian.Uint16(content[i:]) == id {
			return true
		}
	}
	return false
}

// finishOperation checks the result of the operation of h, if there is one, and
// sends the entry to all hosts.
func (m *model) finishOperation(h *host) {
	r := h.proposer.Result()
	if r == nil {
		return
	}
	h.busy = false
	m.recordChosen(r.Entry.Value)
	m.checkAnswer(h, r.Entry)
	for _, o := range m.hosts {
		learn := register.Learn{Entry: r.Entry}
		if o == h {
			m.handle(h, envelope{request: learn})
			continue
		}
		m.enqueue(envelope{from: h.name, to: o.name, processID: h.processID, request: learn})
	}
}

// checkAnswer records a result that is presented as current and checks it: its
// version is not older than any result before the operation, and it includes the
// operation's change.
func (m *model) checkAnswer(h *host, e register.Entry) {
	if e.Value.Version < h.minVersion {
		m.fail("host %s returned version %d after version %d", h.name, e.Value.Version, h.minVersion)
	}
	if h.changeID != 0 {
		if !contains(e.Value.Content, h.changeID) {
			m.fail("change %d returned a result but is not in version %d", h.changeID, e.Value.Version)
		}
		m.answeredIDs = append(m.answeredIDs, h.changeID)
		m.answeredChanges++
	}
	m.newestAnswered = max(m.newestAnswered, e.Value.Version)
}

// event is one kind of random event. Its probability is its weight divided by the
// sum of all weights.
type event struct {
	weight int
	apply  func(m *model, h *host)
}

// faultFreeEvents are the events that are not faults. Recovery uses only these.
var faultFreeEvents = []event{
	{120, (*model).deliverAny},
	{60, (*model).sync},
	{5, (*model).startOperation},
	{2, (*model).retry},
}

// scheduleEvents are the events of a schedule, with crashes, partitions, frozen
// processes, lost disks, and lost and duplicated messages.
var scheduleEvents = append([]event{
	{4, (*model).retry},
	{4, (*model).dropAny},
	{4, (*model).duplicateAny},
	{1, func(m *model, h *host) { m.crash(h) }},
	{16, func(m *model, h *host) {
		if h.down {
			m.restart(h)
		}
	}},
	{16, func(m *model, h *host) { h.frozen = !h.frozen && m.random.IntN(16) == 0 }},
	{16, func(m *model, h *host) { h.partitioned = !h.partitioned && m.random.IntN(16) == 0 }},
	{1, (*model).loseDisk},
}, faultFreeEvents...)

// step applies one random event to a random host.
func (m *model) step(events []event) {
	total := 0
	for _, e := range events {
		total += e.weight
	}
	draw := m.random.IntN(total)
	for _, e := range events {
		if draw -= e.weight; draw < 0 {
			e.apply(m, m.hosts[m.random.IntN(len(m.hosts))])
			return
		}
	}
}

func (m *model) deliverAny(*host) {
	if len(m.inFlight) > 0 {
		m.deliver(m.random.IntN(len(m.inFlight)))
	}
}

func (m *model) dropAny(*host) {
	if len(m.inFlight) > 0 {
		i := m.random.IntN(len(m.inFlight))
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

func (m *model) duplicateAny(*host) {
	if len(m.inFlight) > 0 {
		m.enqueue(m.inFlight[m.random.IntN(len(m.inFlight))])
	}
}

func (m *model) retry(h *host) {
	if h.busy && !h.down && !h.frozen {
		m.send(h, h.proposer.Retry())
	}
}

// run runs the schedule, then lets all hosts recover and checks that every disk host
// becomes a voter again and holds every change that returned a result.
func (m *model) run() error {
	for range stepsPerSchedule {
		m.step(scheduleEvents)
		if m.err != nil {
			return m.err
		}
	}
	for _, h := range m.hosts {
		h.frozen, h.partitioned = false, false
		if h.down {
			m.restart(h)
		}
	}
	m.readOnly = true
	for range stepsToConverge {
		m.step(faultFreeEvents)
		if m.err != nil {
			return m.err
		}
		if m.hasConverged() {
			return m.runWithoutOneVoter()
		}
	}
	return errNotConverged
}

// runWithoutOneVoter stops one of the voters, all of which hold the newest value,
// and checks that a freshly started host without a disk can still change the
// register.
func (m *model) runWithoutOneVoter() error {
	m.host([]string{"a", "b", "c"}[m.random.IntN(3)]).down = true
	d := m.host("d")
	m.readOnly = false
	m.restart(d)
	minVersion := m.newestAnswered
	for range stepsToConverge {
		m.step(faultFreeEvents)
		if m.err != nil || d.state.Learned.Value.Version > minVersion {
			return m.err
		}
	}
	return errNotConverged
}

func (m *model) hasConverged() bool {
	for _, h := range m.hosts {
		v := h.state.Learned.Value
		if h.hasDisk && (!v.HasMember(h.state.Member()) || v.Version < m.newestAnswered) {
			return false
		}
		for _, id := range m.answeredIDs {
			if h.hasDisk && !contains(v.Content, id) {
				return false
			}
		}
	}
	return true
}

// runSchedules runs count schedules with consecutive seeds and returns the first seed
// that fails. With an injected fault only violations of safety count as failures.
func runSchedules(f faults, first uint64, count int) (seed uint64, answered, repaired int, err error) {
	for i := range count {
		m := newModel(first+uint64(i), f)
		err := m.run()
		if f != (faults{}) && errors.Is(err, errNotConverged) {
			continue
		}
		if err != nil {
			return first + uint64(i), answered, repaired, err
		}
		answered += m.answeredChanges
		repaired += m.repairedDisks
	}
	return 0, answered, repaired, nil
}

func TestModelKeepsItsInvariants(t *testing.T) {
	seed, answered, repaired, err := runSchedules(faults{}, *firstSeed, *schedules)
	if err != nil {
		t.Fatalf("%v; repeat with -register.seed=%d -register.schedules=1", err, seed)
	}
	t.Logf("%d schedules: %d changes answered, %d lost disks repaired", *schedules, answered, repaired)
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"reply before sync":      {replyBeforeSync: true},
		"lost disk votes":        {lostDiskVotes: true},
		"cut-off read confirmed": {localReadConfirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			seed, _, _, err := runSchedules(f, 1, 3000)
			NewWithT(t).Expect(err).To(HaveOccurred())
			t.Logf("seed %d: %v", seed, err)
		})
	}
}
