package register

import (
	"errors"
	"slices"
)

// ErrMemberChange refuses a change of more than one member, or of all.
var ErrMemberChange = errors.New("the members change one at a time")

// Change returns the value that shall follow current. It may alter the
// content and the members; the version is set by the proposer. It may be
// called several times, also on a value that holds its own result already: it
// must recognise that and return current unchanged. An error refuses the
// change.
type Change func(current Value) (Value, error)

// OutboundRequest is a request on its way to a host.
type OutboundRequest struct {
	Host    string
	Request Request
}

// Result is the outcome of a read or a change.
type Result struct {
	Entry   Entry // a chosen entry that was current after the start
	Changed bool  // whether the change made it
	Chosen  bool  // whether this operation got it chosen, or found it so while no voter knew
	Err     error // the refusal by the change itself
}

type phase int

const (
	idle phase = iota
	inspecting
	preparing
	accepting
)

// Proposer reads and changes the register, one operation at a time. Messages
// may be lost, repeated and reordered; the caller repeats an attempt that
// makes no progress with Retry.
type Proposer struct {
	id      uint64
	seeds   []string // hosts to ask while the voters are unknown
	highest Ballot   // the highest ballot seen
	known   Entry    // the newest entry known to be chosen
	voters  []Member // the newest voters heard of

	phase    phase
	change   Change           // nil for a read
	ballot   Ballot           // of this attempt
	base     Entry            // the known entry at the start of the attempt
	votes    map[uint64]Entry // entries reported or promised in this phase, by identity
	asked    map[Member]bool  // voters asked in this phase; without identity while inspecting
	proposal Entry
	accepted map[uint64]bool // voters that accepted the proposal
	own      bool            // the proposal is the change's result
	sent     bool            // such a proposal has been sent
	chosen   Ballot          // of the last entry that this operation got or found chosen
	outbid   bool            // a voter has promised a higher ballot
	replaced bool            // a voter has another identity by now
	result   *Result
}

// NewProposer returns a Proposer. The id is drawn at random at each start of
// the process; seeds are the hosts with a disk.
func NewProposer(id uint64, seeds []string) *Proposer {
	return &Proposer{id: id, seeds: seeds}
}

// SetSeeds replaces the hosts to ask while the voters are unknown.
func (p *Proposer) SetSeeds(seeds []string) { p.seeds = seeds }

// Learn tells the proposer of an entry known to be chosen.
func (p *Proposer) Learn(e Entry) {
	if e.newerThan(p.known) {
		p.known = e
		p.voters = e.Value.Voters()
	}
	p.highest = higher(p.highest, e.Ballot)
}

// Read starts a read.
func (p *Proposer) Read() []OutboundRequest {
	p.begin(nil)
	return p.Retry()
}

// Change starts a change.
func (p *Proposer) Change(c Change) []OutboundRequest {
	p.begin(c)
	return p.Retry()
}

// Retry starts another attempt at the operation under a higher ballot.
func (p *Proposer) Retry() []OutboundRequest {
	if p.phase == idle {
		return nil
	}
	if p.change == nil || len(p.voters) == 0 || p.replaced {
		return p.inspect()
	}
	return p.prepare()
}

// Abandon gives up the operation. It reports whether the change may still take
// effect.
func (p *Proposer) Abandon() (undecided bool) {
	p.phase = idle
	return p.sent
}

// Result returns the outcome of the operation, or nil while there is none.
func (p *Proposer) Result() *Result { return p.result }

// Outbid reports whether the attempt met a higher ballot and should be
// repeated after a random delay.
func (p *Proposer) Outbid() bool { return p.outbid }

// Handle takes a reply and returns the next requests.
func (p *Proposer) Handle(r Reply) []OutboundRequest {
	switch r := r.(type) {
	case Report:
		return p.onReport(r)
	case Promise:
		return p.onPromise(r)
	case Acceptance:
		return p.onAcceptance(r)
	}
	return nil
}

func (p *Proposer) begin(c Change) {
	p.phase = preparing
	p.change = c
	p.result = nil
	p.sent = false
	p.chosen = Ballot{}
}

// attempt starts a phase under a new ballot.
func (p *Proposer) attempt(next phase) {
	p.highest = p.highest.Next(p.id)
	p.ballot = p.highest
	p.phase = next
	p.base = p.known
	p.votes = map[uint64]Entry{}
	p.asked = map[Member]bool{}
	p.outbid = false
	p.replaced = false
}

func (p *Proposer) inspect() []OutboundRequest {
	p.attempt(inspecting)
	out := p.ask(p.voters)
	for _, host := range p.seeds {
		out = append(out, p.ask([]Member{{Host: host}})...)
	}
	return out
}

func (p *Proposer) prepare() []OutboundRequest {
	p.attempt(preparing)
	return p.ask(p.voters)
}

// ask sends the phase's request to those voters that have not had it yet.
func (p *Proposer) ask(voters []Member) []OutboundRequest {
	var out []OutboundRequest
	for _, m := range voters {
		if p.phase == inspecting {
			m.Identity = 0
		}
		if p.asked[m] {
			continue
		}
		p.asked[m] = true
		if p.phase == inspecting {
			out = append(out, OutboundRequest{m.Host, Inspect{Ballot: p.ballot, Known: p.base.Ballot}})
		} else {
			out = append(out, OutboundRequest{m.Host, Prepare{To: m.Identity, Ballot: p.ballot}})
		}
	}
	return out
}

func (p *Proposer) onReport(r Report) []OutboundRequest {
	if p.phase != inspecting || r.Ballot != p.ballot || !r.MayVote {
		return nil
	}
	if r.SameBallot {
		r.Accepted = p.base
	}
	p.highest = higher(p.highest, r.Accepted.Ballot)
	p.vote(r.From.Identity, r.Accepted, r.Chosen)
	best, more := p.best()
	if best.IsZero() {
		return more
	}
	if p.change == nil && p.isChosen(best) {
		p.found(best)
		p.finish(Result{Entry: best})
		return nil
	}
	p.voters = best.Value.Voters()
	return p.prepare()
}

func (p *Proposer) onPromise(r Promise) []OutboundRequest {
	if p.phase != preparing || r.Ballot != p.ballot {
		return nil
	}
	if !p.granted(r.Verdict, r.Promised) {
		return nil
	}
	p.vote(r.From, r.Accepted, r.Chosen)
	best, more := p.best()
	if best.IsZero() {
		return more
	}
	if !p.isChosen(best) {
		return p.propose(best.Value, false)
	}
	p.found(best)
	return p.derive(best)
}

// vote notes what a voter holds.
func (p *Proposer) vote(identity uint64, e Entry, chosen bool) {
	p.votes[identity] = e
	if chosen {
		p.Learn(e)
	}
}

// found takes in an entry that the votes prove to be chosen.
func (p *Proposer) found(e Entry) {
	if !p.isKnown(e) {
		p.chosen = e.Ballot
	}
	p.Learn(e)
}

// granted notes a higher ballot and reports whether the voter agreed.
func (p *Proposer) granted(v Verdict, promised Ballot) bool {
	p.highest = higher(p.highest, promised)
	p.outbid = p.outbid || v == Outbid
	p.replaced = p.replaced || v == NotVoter
	return v == Granted
}

// best returns the newest entry among the votes once a quorum of its own
// voters has voted. Until then it returns the requests that are still to be
// sent. The former voters of an entry that is known to be chosen are not
// needed: they may be lost by then.
func (p *Proposer) best() (Entry, []OutboundRequest) {
	best := p.known
	for _, e := range p.votes {
		if e.newerThan(best) {
			best = e
		}
	}
	voted := func(id uint64) bool { _, ok := p.votes[id]; return ok }
	voters := best.Value
	if p.isKnown(best) {
		voters.FormerMembers = nil
	}
	if best.IsZero() || !voters.hasQuorum(voted) {
		return Entry{}, p.ask(best.Value.Voters())
	}
	return best, nil
}

func (p *Proposer) isKnown(e Entry) bool {
	return !p.known.IsZero() && e.Ballot == p.known.Ballot
}

// isChosen reports whether the votes or an earlier operation prove that the
// entry is chosen.
func (p *Proposer) isChosen(e Entry) bool {
	if p.isKnown(e) {
		return true
	}
	return e.Value.hasQuorum(func(id uint64) bool {
		v, ok := p.votes[id]
		return ok && !v.IsZero() && v.Ballot == e.Ballot
	})
}

// derive applies the change to a chosen entry.
func (p *Proposer) derive(current Entry) []OutboundRequest {
	if p.change == nil {
		p.finish(Result{Entry: current})
		return nil
	}
	next, err := p.change(current.Value)
	if err == nil && !isOneStep(current.Value.Members, next.Members) {
		err = ErrMemberChange
	}
	if err != nil || next.equal(current.Value) {
		p.finish(Result{Entry: current, Err: err})
		return nil
	}
	next.Version = current.Value.Version + 1
	next.FormerMembers = nil
	if !slices.Equal(next.Members, current.Value.Members) {
		next.FormerMembers = current.Value.Members
	}
	return p.propose(next, true)
}

// propose asks for acceptance under the attempt's ballot. A voter that the
// value adds is asked first: it counts only once it holds the value.
func (p *Proposer) propose(v Value, own bool) []OutboundRequest {
	p.phase = accepting
	p.proposal = Entry{Ballot: p.ballot, Value: v}
	p.accepted = map[uint64]bool{}
	p.own = own
	p.sent = p.sent || own
	if first := v.joiners(); own && len(first) > 0 {
		return p.sendAccept(first)
	}
	return p.sendAccept(v.Voters())
}

func (p *Proposer) sendAccept(to []Member) []OutboundRequest {
	var out []OutboundRequest
	for _, m := range to {
		out = append(out, OutboundRequest{m.Host, Accept{To: m.Identity, Entry: p.proposal}})
	}
	return out
}

func (p *Proposer) onAcceptance(r Acceptance) []OutboundRequest {
	if p.phase != accepting || r.Ballot != p.ballot {
		return nil
	}
	if !p.granted(r.Verdict, r.Promised) || p.accepted[r.From] {
		return nil
	}
	p.accepted[r.From] = true
	joiners := p.proposal.Value.joiners()
	if p.own && len(joiners) > 0 && p.accepted[joiners[0].Identity] && len(p.accepted) == 1 {
		return p.sendAccept(missing(p.proposal.Value.Voters(), joiners))
	}
	if !p.proposal.Value.hasQuorum(func(id uint64) bool { return p.accepted[id] }) {
		return nil
	}
	p.Learn(p.proposal)
	p.chosen = p.ballot
	if !p.own && p.change != nil {
		return p.prepare()
	}
	p.finish(Result{Entry: p.proposal, Changed: p.own})
	return nil
}

func (p *Proposer) finish(r Result) {
	p.Learn(r.Entry)
	r.Chosen = p.chosen != (Ballot{}) && p.chosen == r.Entry.Ballot
	p.phase = idle
	p.result = &r
}
