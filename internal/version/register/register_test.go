package register_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/register"
)

var (
	memberA = register.Member{Host: "a", Identity: 1}
	memberB = register.Member{Host: "b", Identity: 2}
	memberC = register.Member{Host: "c", Identity: 3}
)

// cluster delivers every request immediately, and counts the requests and the
// states to persist.
type cluster struct {
	states   map[string]register.State
	requests int
	persists int
}

func newCluster(members ...register.Member) *cluster {
	c := &cluster{states: map[string]register.State{}}
	for _, m := range members {
		s := register.State{Host: m.Host, Identity: m.Identity}
		c.states[m.Host] = s.Handle(register.Learn{Entry: register.InitialEntry(members)}).State
	}
	return c
}

func (c *cluster) run(p *register.Proposer, out []register.OutboundRequest) register.Result {
	for len(out) > 0 && p.Result() == nil {
		s := out[0]
		out = out[1:]
		effect := c.states[s.Host].Handle(s.Request)
		c.states[s.Host] = effect.State
		c.requests++
		if effect.Persist {
			c.persists++
		}
		out = append(out, p.Handle(effect.Reply)...)
	}
	return *p.Result()
}

func set(content string) register.Change {
	return func(v register.Value) (register.Value, error) {
		v.Content = []byte(content)
		return v, nil
	}
}

func TestChangeTakesTwoRoundTripsAndReadOne(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(memberA, memberB, memberC)
	p := register.NewProposer(7, []string{"a", "b", "c"})
	p.Learn(register.InitialEntry([]register.Member{memberA, memberB, memberC}))

	r := c.run(p, p.Change(set("one")))
	g.Expect(r.Changed).To(BeTrue())
	g.Expect(r.Entry.Value.Version).To(Equal(uint64(1)))
	g.Expect(c.requests).To(BeNumerically("<=", 6), "prepare and accept at three voters")
	g.Expect(c.persists).To(BeNumerically("<=", 6))

	c.requests, c.persists = 0, 0
	r = c.run(p, p.Read())
	g.Expect(string(r.Entry.Value.Content)).To(Equal("one"))
	g.Expect(c.requests).To(BeNumerically("<=", 3))
	g.Expect(c.persists).To(BeZero())
}

func TestHostWithoutAChosenValueDoesNotVote(t *testing.T) {
	g := NewWithT(t)
	s := register.State{Host: "a", Identity: 9}
	ballot := register.Ballot{Round: 1, Proposer: 1}
	e := s.Handle(register.Prepare{To: 9, Ballot: ballot})
	g.Expect(e.Reply.(register.Promise).Verdict).To(Equal(register.NotVoter))
	entry := register.Entry{Ballot: ballot, Value: register.Value{Members: []register.Member{memberA}}}
	e = s.Handle(register.Accept{To: 9, Entry: entry})
	g.Expect(e.Reply.(register.Acceptance).Verdict).To(Equal(register.NotVoter))

	s = s.Handle(register.Learn{Entry: entry}).State
	e = s.Handle(register.Prepare{To: 9, Ballot: ballot.Next(1)})
	g.Expect(e.Reply.(register.Promise).Verdict).To(Equal(register.Granted))
	e = s.Handle(register.Prepare{To: 8, Ballot: ballot.Next(1)})
	g.Expect(e.Reply.(register.Promise).Verdict).To(Equal(register.NotVoter), "meant for the disk before")
}

func TestMembersChangeOneAtATime(t *testing.T) {
	replacement := register.Member{Host: "c", Identity: 4}
	for name, test := range map[string]struct {
		change register.Change
		err    error
	}{
		"replace one": {func(v register.Value) (register.Value, error) { return v.WithMember(replacement), nil }, nil},
		"remove one":  {func(v register.Value) (register.Value, error) { return v.WithoutHost("c"), nil }, nil},
		"remove two": {func(v register.Value) (register.Value, error) {
			return v.WithoutHost("c").WithoutHost("b"), nil
		}, register.ErrMemberChange},
		"replace two": {func(v register.Value) (register.Value, error) {
			return v.WithMember(replacement).WithMember(register.Member{Host: "b", Identity: 5}), nil
		}, register.ErrMemberChange},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(memberA, memberB, memberC)
			c.states["c"] = register.State{Host: "c", Identity: 4, MayVote: true}
			p := register.NewProposer(7, []string{"a", "b", "c"})
			r := c.run(p, p.Change(test.change))
			g.Expect(errors.Is(r.Err, test.err)).To(BeTrue())
			g.Expect(r.Changed).To(Equal(test.err == nil))
		})
	}
}

func TestPlanJoin(t *testing.T) {
	initial := register.InitialEntry([]register.Member{memberA, memberB, memberC})
	later := register.Entry{Ballot: register.Ballot{Round: 3}, Value: register.Value{Version: 3, Members: initial.Value.Members}}
	empty := func(m register.Member) register.Report { return register.Report{From: m} }
	holds := func(m register.Member, e register.Entry) register.Report {
		return register.Report{From: m, Accepted: e}
	}
	diskless := register.Member{Host: "d"}
	for name, test := range map[string]struct {
		self    register.Member
		reports []register.Report
		step    register.JoinStep
		entry   register.Entry
	}{
		"all empty, first host":        {memberA, []register.Report{empty(memberB), empty(memberC)}, register.Bootstrap, initial},
		"all empty, second host":       {memberB, []register.Report{empty(memberA), empty(memberC)}, register.Wait, register.Entry{}},
		"one host has not reported":    {memberA, []register.Report{empty(memberB), empty(diskless)}, register.Wait, register.Entry{}},
		"named by the initial entry":   {memberB, []register.Report{holds(memberA, initial)}, register.Adopt, initial},
		"replaced after the bootstrap": {register.Member{Host: "b", Identity: 9}, []register.Report{holds(memberA, initial)}, register.Join, register.Entry{}},
		"a later value exists":         {memberB, []register.Report{holds(memberA, initial), holds(memberC, later)}, register.Join, register.Entry{}},
		"only a diskless host has it":  {memberA, []register.Report{empty(memberB), empty(memberC), holds(diskless, later)}, register.Join, register.Entry{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			step, entry := register.PlanJoin(test.self, []string{"a", "b", "c"}, test.reports)
			g.Expect(step).To(Equal(test.step))
			g.Expect(entry).To(Equal(test.entry))
		})
	}
}

func TestBackoffNeverExceedsItsLimit(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for failed := range 100 {
		g.Expect(register.Backoff(failed, random).Seconds()).To(BeNumerically("<=", 0.641))
	}
}

func BenchmarkChange(b *testing.B) {
	c := newCluster(memberA, memberB, memberC)
	p := register.NewProposer(7, []string{"a", "b", "c"})
	content := []byte("....................................")
	change := func(v register.Value) (register.Value, error) {
		content[0]++
		v.Content = append([]byte(nil), content...)
		return v, nil
	}
	for b.Loop() {
		c.run(p, p.Change(change))
	}
}

// A single voter has accepted the change when the change is retried. The retry finds
// the value at that voter and must get it chosen before it returns a result.
func TestChangeIsNotAnsweredFromAnUnchosenValue(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(memberA, memberB, memberC)
	p := register.NewProposer(7, []string{"a", "b", "c"})
	p.Learn(register.InitialEntry([]register.Member{memberA, memberB, memberC}))
	deliver := func(sends []register.OutboundRequest, host string) []register.OutboundRequest {
		for _, s := range sends {
			if s.Host == host {
				effect := c.states[host].Handle(s.Request)
				c.states[host] = effect.State
				return p.Handle(effect.Reply)
			}
		}
		return nil
	}
	prepares := p.Change(set("one"))
	deliver(prepares, "a")
	deliver(deliver(prepares, "b"), "a")

	prepares = p.Retry()
	deliver(prepares, "a")
	accepts := deliver(prepares, "b")
	g.Expect(p.Result()).To(BeNil())
	r := c.run(p, accepts)
	g.Expect(r.Entry.Value.Version).To(Equal(uint64(1)))
	g.Expect(c.states["b"].Accepted.Value.Content).To(Equal([]byte("one")))
}

// The change replaces a voter. The acceptances of the new voter and one other are a
// majority of the new members but not of the former ones.
func TestNewMembersVoteDoesNotCountForAFormerMember(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(memberA, memberB, memberC)
	replacement := register.Member{Host: "c", Identity: 4}
	c.states["c"] = register.State{Host: "c", Identity: 4, MayVote: true}
	p := register.NewProposer(7, []string{"a", "b", "c"})
	p.Learn(register.InitialEntry([]register.Member{memberA, memberB, memberC}))
	var accepts []register.OutboundRequest
	for _, s := range p.Change(func(v register.Value) (register.Value, error) { return v.WithMember(replacement), nil }) {
		accepts = append(accepts, p.Handle(c.states[s.Host].Handle(s.Request).Reply)...)
	}
	g.Expect(accepts).To(HaveLen(1), "only the new voter is asked at first")
	g.Expect(accepts[0].Host).To(Equal("c"))
	ballot := accepts[0].Request.(register.Accept).Entry.Ballot
	p.Handle(register.Acceptance{From: 4, Ballot: ballot})
	p.Handle(register.Acceptance{From: 1, Ballot: ballot})
	g.Expect(p.Result()).To(BeNil())
	p.Handle(register.Acceptance{From: 2, Ballot: ballot})
	g.Expect(p.Result()).NotTo(BeNil())
}

// The disk of c is replaced and then that of b is lost. A new proposer must complete
// a change with a and c, although the former members include the lost disks.
func TestFormerVotersMayFailOnceTheNewMembersAreChosen(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(memberA, memberB, memberC)
	replacement := register.Member{Host: "c", Identity: 4}
	c.states["c"] = register.State{Host: "c", Identity: 4, MayVote: true}
	p := register.NewProposer(7, []string{"a", "b", "c"})
	r := c.run(p, p.Change(func(v register.Value) (register.Value, error) { return v.WithMember(replacement), nil }))
	for host, s := range c.states {
		c.states[host] = s.Handle(register.Learn{Entry: r.Entry}).State
	}
	c.states["b"] = register.State{Host: "b", Identity: 5}
	fresh := register.NewProposer(8, []string{"a", "b", "c"})
	sends := fresh.Change(set("with two"))
	for range 10 {
		var next []register.OutboundRequest
		for _, s := range sends {
			effect := c.states[s.Host].Handle(s.Request)
			c.states[s.Host] = effect.State
			next = append(next, fresh.Handle(effect.Reply)...)
		}
		sends = next
	}
	g.Expect(fresh.Result()).NotTo(BeNil())
	g.Expect(fresh.Result().Changed).To(BeTrue())
}

// changeInProgress returns a cluster in which one of three voters has accepted a change,
// and the requests that are still under way to the others.
func changeInProgress(writer *register.Proposer) (*cluster, []register.OutboundRequest) {
	c := newCluster(memberA, memberB, memberC)
	writer.Learn(register.InitialEntry([]register.Member{memberA, memberB, memberC}))
	var accepts []register.OutboundRequest
	for _, s := range writer.Change(set("one")) {
		accepts = append(accepts, c.handle(writer, s)...)
	}
	c.handle(writer, accepts[0])
	return c, accepts[1:]
}

// handle delivers a request and its reply, and returns the next requests.
func (c *cluster) handle(p *register.Proposer, s register.OutboundRequest) []register.OutboundRequest {
	effect := c.states[s.Host].Handle(s.Request)
	c.states[s.Host] = effect.State
	c.requests++
	if effect.Persist {
		c.persists++
	}
	return p.Handle(effect.Reply)
}

// All hosts confirm their copies about once a second, so a change among many hosts meets
// some of their reads. If these completed the change, they would outbid the proposer and
// each other, and each attempt costs disk writes: with 153 hosts no change was chosen for
// four seconds.
func TestReadsDuringAChangeLeaveItToItsProposer(t *testing.T) {
	for _, readers := range []int{10, 50, 150} {
		g := NewWithT(t)
		writer := register.NewProposer(1, []string{"a", "b", "c"})
		c, accepts := changeInProgress(writer)
		c.persists = 0
		var reads []*register.Proposer
		for i := range readers {
			r := register.NewProposer(uint64(10+i), []string{"a", "b", "c"})
			r.SetPatience(register.NeverComplete)
			r.Learn(register.InitialEntry([]register.Member{memberA, memberB, memberC}))
			for _, s := range r.Read() {
				g.Expect(c.handle(r, s)).To(BeEmpty(), "the read does more than inspect")
			}
			g.Expect(r.Unsettled()).To(BeTrue())
			reads = append(reads, r)
		}
		g.Expect(c.persists).To(BeZero(), "%d readers cost the voters disk writes", readers)
		for _, s := range accepts {
			c.handle(writer, s)
		}
		g.Expect(writer.Result()).NotTo(BeNil(), "the change was outbid")
		for _, r := range reads {
			g.Expect(c.run(r, r.Retry()).Entry.Value.Version).To(Equal(uint64(1)))
		}
	}
}

// The proposer of a change has stopped midway. A read completes the change once its
// patience is used up.
func TestAReadCompletesAnAbandonedChange(t *testing.T) {
	g := NewWithT(t)
	c, _ := changeInProgress(register.NewProposer(1, []string{"a", "b", "c"}))
	r := register.NewProposer(2, []string{"a", "b", "c"})
	r.SetPatience(2)
	r.Learn(register.InitialEntry([]register.Member{memberA, memberB, memberC}))
	requests := r.Read()
	for range 2 {
		for _, s := range requests {
			g.Expect(c.handle(r, s)).To(BeEmpty())
		}
		g.Expect(r.Unsettled()).To(BeTrue())
		requests = r.Retry()
	}
	g.Expect(string(c.run(r, requests).Entry.Value.Content)).To(Equal("one"))
}
