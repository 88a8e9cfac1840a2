package register

import (
	"errors"
	"slices"
)

// ErrMemberChange is the error of a change that adds or removes more than one
// member, or removes the last one.
var ErrMemberChange = errors.New("the members change one at a time")

// Change returns the value that replaces current. It may alter the content and
// the members; the proposer sets the version. It may be called several times,
// also with a value that already includes its own result; it must detect this and
// return current unchanged. An error refuses the change.
type Change func(current Value) (Value, error)

// OutboundRequest is a request together with the host to send it to.
type OutboundRequest struct {
	Host    string
	Request Request
}

// Result is the outcome of a read or a change.
type Result struct {
	Entry   Entry // a chosen entry that was current at some time after the operation started
	Changed bool  // whether Entry is the result of the change
	Chosen  bool  // whether this operation got Entry chosen, or proved it chosen while no replying voter knew
	Err     error // the error of the change itself, or ErrMemberChange
}

// phase is the phase of the proposer's current attempt.
type phase int

const (
	idle phase = iota
	inspecting
	preparing
	accepting
)

// Proposer reads and changes the register, one operation at a time. Messages may
// be lost, duplicated and reordered. The caller must call Retry when an attempt
// makes no progress. A Proposer is not safe for concurrent use.
type Proposer struct {
	id            uint64
	seeds         []string // hosts to inspect in addition to the known voters
	patience      int      // see SetPatience
	highestBallot Ballot   // the highest ballot seen so far
	newestChosen  Entry    // the newest entry known to be chosen
	voters        []Member // the newest known voters

	phase             phase
	change            Change           // nil for a read
	ballot            Ballot           // of the current attempt
	attemptBase       Entry            // newestChosen at the start of the attempt
	votes             map[uint64]Entry // entries reported or promised in this phase, by voter identity
	asked             map[Member]bool  // voters asked in this phase; with identity 0 while inspecting
	proposal          Entry
	acceptedBy        map[uint64]bool // identities of the voters that accepted the proposal
	proposalHasChange bool            // the proposal is the result of the change, not the completion of another value
	changeProposed    bool            // a proposal with the change was made in this operation
	chosenBallot      Ballot          // of the last entry that this operation got chosen or proved chosen
	outbid            bool            // a voter has promised a higher ballot
	voterReplaced     bool            // a voter has replied NotVoter, mostly because its identity has changed
	unsettledCount    int             // inspections of this operation that found an entry of which it is not known whether it is chosen
	unsettled         bool            // the last inspection found one, and is to be repeated
	result            *Result
}

// NewProposer returns a Proposer. The caller draws id at random at each start of
// the process; seeds are the hosts with a disk.
func NewProposer(id uint64, seeds []string) *Proposer {
	return &Proposer{id: id, seeds: seeds}
}

// SetSeeds replaces the hosts to inspect in addition to the known voters.
func (p *Proposer) SetSeeds(seeds []string) { p.seeds = seeds }

// NeverComplete is the patience of a proposer whose reads complete no entries of others.
const NeverComplete = -1

// SetPatience sets how many inspections of a read may find a newer entry that is not
// known to be chosen before the read completes that entry itself. A proposer that is
// about to get it chosen mostly exists. To complete the entry, a read outbids that
// proposer and costs each voter disk writes. With patience 0, the reads of many hosts
// that fall into one change outbid each other and the change for seconds.
func (p *Proposer) SetPatience(inspections int) { p.patience = inspections }

// Learn informs the proposer of an entry that is known to be chosen.
func (p *Proposer) Learn(e Entry) {
	if e.newerThan(p.newestChosen) {
		p.newestChosen = e
		p.voters = e.Value.Voters()
	}
	p.highestBallot = higher(p.highestBallot, e.Ballot)
}

// Read starts a read and returns its first requests.
func (p *Proposer) Read() []OutboundRequest {
	p.startOperation(nil)
	return p.Retry()
}

// Change starts a change and returns its first requests.
func (p *Proposer) Change(c Change) []OutboundRequest {
	p.startOperation(c)
	return p.Retry()
}

// Retry starts another attempt at the operation under a higher ballot and returns
// its requests. Without an operation it returns none.
func (p *Proposer) Retry() []OutboundRequest {
	if p.phase == idle {
		return nil
	}
	if p.change == nil || len(p.voters) == 0 || p.voterReplaced {
		return p.startInspecting()
	}
	return p.startPreparing()
}

// Abandon ends the operation without a result. It reports whether the change may
// still take effect.
func (p *Proposer) Abandon() (undecided bool) {
	p.phase = idle
	return p.changeProposed
}

// Result returns the result of the operation, or nil while there is none.
func (p *Proposer) Result() *Result { return p.result }

// Outbid reports whether a voter has promised a higher ballot, so that the attempt
// should be retried after a random delay.
func (p *Proposer) Outbid() bool { return p.outbid }

// Unsettled reports whether a read waits for another proposer to get an entry chosen.
// The caller should call Retry after about the duration of a change.
func (p *Proposer) Unsettled() bool { return p.unsettled }

// Handle processes a reply and returns the next requests.
func (p *Proposer) Handle(r Reply) []OutboundRequest {
	switch r := r.(type) {
	case Report:
		return p.handleReport(r)
	case Promise:
		return p.handlePromise(r)
	case Acceptance:
		return p.handleAcceptance(r)
	}
	return nil
}

func (p *Proposer) startOperation(c Change) {
	p.phase = preparing
	p.change = c
	p.result = nil
	p.changeProposed = false
	p.chosenBallot = Ballot{}
	p.unsettledCount = 0
}

// startAttempt starts a phase under a new ballot.
func (p *Proposer) startAttempt(next phase) {
	p.highestBallot = p.highestBallot.Next(p.id)
	p.ballot = p.highestBallot
	p.phase = next
	p.attemptBase = p.newestChosen
	p.votes = map[uint64]Entry{}
	p.asked = map[Member]bool{}
	p.outbid = false
	p.voterReplaced = false
	p.unsettled = false
}

func (p *Proposer) startInspecting() []OutboundRequest {
	p.startAttempt(inspecting)
	out := p.requestsTo(p.voters)
	for _, host := range p.seeds {
		out = append(out, p.requestsTo([]Member{{Host: host}})...)
	}
	return out
}

func (p *Proposer) startPreparing() []OutboundRequest {
	p.startAttempt(preparing)
	return p.requestsTo(p.voters)
}

// requestsTo returns the request of the current phase for each of the voters that
// has not been asked in this phase.
func (p *Proposer) requestsTo(voters []Member) []OutboundRequest {
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
			out = append(out, OutboundRequest{m.Host, Inspect{Ballot: p.ballot, Known: p.attemptBase.Ballot}})
		} else {
			out = append(out, OutboundRequest{m.Host, Prepare{To: m.Identity, Ballot: p.ballot}})
		}
	}
	return out
}

func (p *Proposer) handleReport(r Report) []OutboundRequest {
	if p.phase != inspecting || r.Ballot != p.ballot || !r.MayVote {
		return nil
	}
	if r.SameBallot {
		r.Accepted = p.attemptBase
	}
	p.highestBallot = higher(p.highestBallot, r.Accepted.Ballot)
	p.recordVote(r.From.Identity, r.Accepted, r.Chosen)
	newest, requests := p.newestWithQuorum()
	if newest.IsZero() {
		return requests
	}
	if p.change == nil {
		if p.isChosen(newest) {
			p.recordChosen(newest)
			p.finish(Result{Entry: newest})
			return nil
		}
		if p.unsettled {
			return nil
		}
		if p.unsettledCount++; p.patience == NeverComplete || p.unsettledCount <= p.patience {
			p.unsettled = true // a later report of this inspection may still prove the entry chosen
			return requests
		}
	}
	p.voters = newest.Value.Voters()
	return p.startPreparing()
}

func (p *Proposer) handlePromise(r Promise) []OutboundRequest {
	if p.phase != preparing || r.Ballot != p.ballot {
		return nil
	}
	if !p.recordVerdict(r.Verdict, r.Promised) {
		return nil
	}
	p.recordVote(r.From, r.Accepted, r.Chosen)
	newest, requests := p.newestWithQuorum()
	if newest.IsZero() {
		return requests
	}
	if !p.isChosen(newest) {
		return p.propose(newest.Value, false)
	}
	p.recordChosen(newest)
	return p.applyChange(newest)
}

// recordVote records the entry that a voter holds. chosen states that the voter knows
// the entry to be chosen.
func (p *Proposer) recordVote(identity uint64, e Entry, chosen bool) {
	p.votes[identity] = e
	if chosen {
		p.Learn(e)
	}
}

// recordChosen learns an entry for which isChosen is true and records its ballot in
// chosenBallot unless the entry was already known to be chosen.
func (p *Proposer) recordChosen(e Entry) {
	if !p.isNewestChosen(e) {
		p.chosenBallot = e.Ballot
	}
	p.Learn(e)
}

// recordVerdict records a voter's verdict and its promised ballot, and reports
// whether the voter granted the request.
func (p *Proposer) recordVerdict(v Verdict, promised Ballot) bool {
	p.highestBallot = higher(p.highestBallot, promised)
	p.outbid = p.outbid || v == Outbid
	p.voterReplaced = p.voterReplaced || v == NotVoter
	return v == Granted
}

// newestWithQuorum returns the newest entry among the votes once a quorum of that
// entry's own voters has voted. Until then it returns the requests that are still
// to be sent. The former members of an entry that is known to be chosen are not
// needed for the quorum, as they may have been lost since.
func (p *Proposer) newestWithQuorum() (Entry, []OutboundRequest) {
	newest := p.newestChosen
	for _, e := range p.votes {
		if e.newerThan(newest) {
			newest = e
		}
	}
	voted := func(id uint64) bool { _, ok := p.votes[id]; return ok }
	voters := newest.Value
	if p.isNewestChosen(newest) {
		voters.FormerMembers = nil
	}
	if newest.IsZero() || !voters.hasQuorum(voted) {
		return Entry{}, p.requestsTo(newest.Value.Voters())
	}
	return newest, nil
}

func (p *Proposer) isNewestChosen(e Entry) bool {
	return !p.newestChosen.IsZero() && e.Ballot == p.newestChosen.Ballot
}

// isChosen reports whether the votes or newestChosen prove that the entry is
// chosen.
func (p *Proposer) isChosen(e Entry) bool {
	if p.isNewestChosen(e) {
		return true
	}
	return e.Value.hasQuorum(func(id uint64) bool {
		v, ok := p.votes[id]
		return ok && !v.IsZero() && v.Ballot == e.Ballot
	})
}

// applyChange applies the change to a chosen entry and proposes the result. It
// finishes the operation if this is a read, or if the change is refused or changes
// nothing.
func (p *Proposer) applyChange(current Entry) []OutboundRequest {
	if p.change == nil {
		p.finish(Result{Entry: current})
		return nil
	}
	next, err := p.change(current.Value)
	if err == nil && !isSingleMemberChange(current.Value.Members, next.Members) {
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

// propose returns the requests to accept v under the attempt's ballot. If the change
// adds a voter, only that voter is asked at first, because its vote counts only once
// it holds the value.
func (p *Proposer) propose(v Value, hasChange bool) []OutboundRequest {
	p.phase = accepting
	p.proposal = Entry{Ballot: p.ballot, Value: v}
	p.acceptedBy = map[uint64]bool{}
	p.proposalHasChange = hasChange
	p.changeProposed = p.changeProposed || hasChange
	if added := v.addedMembers(); hasChange && len(added) > 0 {
		return p.acceptRequests(added)
	}
	return p.acceptRequests(v.Voters())
}

func (p *Proposer) acceptRequests(to []Member) []OutboundRequest {
	var out []OutboundRequest
	for _, m := range to {
		out = append(out, OutboundRequest{m.Host, Accept{To: m.Identity, Entry: p.proposal}})
	}
	return out
}

func (p *Proposer) handleAcceptance(r Acceptance) []OutboundRequest {
	if p.phase != accepting || r.Ballot != p.ballot {
		return nil
	}
	if !p.recordVerdict(r.Verdict, r.Promised) || p.acceptedBy[r.From] {
		return nil
	}
	p.acceptedBy[r.From] = true
	added := p.proposal.Value.addedMembers()
	if p.proposalHasChange && len(added) > 0 && p.acceptedBy[added[0].Identity] && len(p.acceptedBy) == 1 {
		return p.acceptRequests(membersNotIn(p.proposal.Value.Voters(), added))
	}
	if !p.proposal.Value.hasQuorum(func(id uint64) bool { return p.acceptedBy[id] }) {
		return nil
	}
	p.Learn(p.proposal)
	p.chosenBallot = p.ballot
	if !p.proposalHasChange && p.change != nil {
		return p.startPreparing()
	}
	p.finish(Result{Entry: p.proposal, Changed: p.proposalHasChange})
	return nil
}

func (p *Proposer) finish(r Result) {
	p.Learn(r.Entry)
	r.Chosen = p.chosenBallot != (Ballot{}) && p.chosenBallot == r.Entry.Ballot
	p.phase = idle
	p.result = &r
}
