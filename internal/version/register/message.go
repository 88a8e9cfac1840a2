package register

// Request is a request to a host: Prepare, Accept, Inspect or Learn.
type Request interface{ isRequest() }

// Reply is the answer to a request: Promise, Acceptance, Report or Learned.
type Reply interface{ isReply() }

// Prepare asks a voter to promise that it accepts nothing below the ballot.
type Prepare struct {
	To     uint64 // the voter's identity
	Ballot Ballot
	Urgent bool // other proposers are asked to let this one finish; no decision of the register depends on it
}

// Accept asks a voter to accept an entry.
type Accept struct {
	To    uint64 // the voter's identity
	Entry Entry
}

// Inspect asks a host for a Report and doesn't change the host's state.
type Inspect struct {
	Ballot Ballot // identifies the read that the report is for
	Known  Ballot // the report may leave out a value accepted under this ballot
}

// Learn informs a host of a chosen entry.
type Learn struct{ Entry Entry }

// Verdict is a voter's decision on a ballot.
type Verdict int

// The verdicts.
const (
	Granted  Verdict = iota
	Outbid           // the voter has promised a higher ballot
	NotVoter         // the host has another identity, or holds no chosen value yet
)

// Promise answers Prepare.
type Promise struct {
	From     uint64 // the voter's identity
	Ballot   Ballot // the ballot that was prepared
	Verdict  Verdict
	Promised Ballot // the highest ballot that the voter has promised
	Accepted Entry  // the entry that the voter last accepted, if granted
	Chosen   bool   // the voter knows that Accepted is chosen
}

// Acceptance answers Accept.
type Acceptance struct {
	From     uint64 // the voter's identity
	Ballot   Ballot // the ballot of the entry
	Verdict  Verdict
	Promised Ballot // the highest ballot that the voter has promised
}

// Report answers Inspect.
type Report struct {
	From       Member // the identity is 0 for a host without a disk
	Ballot     Ballot // as in the Inspect
	MayVote    bool   // the host has a disk that holds a chosen value
	SameBallot bool   // the accepted entry has the ballot in Inspect.Known; Accepted is left out
	Accepted   Entry
	Chosen     bool // the host knows that the accepted entry is chosen
}

// Learned answers Learn.
type Learned struct {
	Version uint64 // the newest version that the host knows to be chosen
}

func (Prepare) isRequest()  {}
func (Accept) isRequest()   {}
func (Inspect) isRequest()  {}
func (Learn) isRequest()    {}
func (Promise) isReply()    {}
func (Acceptance) isReply() {}
func (Report) isReply()     {}
func (Learned) isReply()    {}
