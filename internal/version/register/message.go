package register

// Request is a message to a host: Prepare, Accept, Inspect or Learn.
type Request interface{ isRequest() }

// Reply is the answer to a request: Promise, Acceptance, Report or Learned.
type Reply interface{ isReply() }

// Prepare asks a voter to accept nothing below the ballot from now on.
type Prepare struct {
	To     uint64 // the voter's identity
	Ballot Ballot
}

// Accept asks a voter to accept an entry.
type Accept struct {
	To    uint64 // the voter's identity
	Entry Entry
}

// Inspect asks a host for what it holds and changes nothing there.
type Inspect struct {
	Ballot Ballot // names the read that the report belongs to
	Known  Ballot // the report may leave out a value accepted under this ballot
}

// Learn tells a host of a chosen entry.
type Learn struct{ Entry Entry }

// Verdict is a voter's answer to a ballot.
type Verdict int

// The verdicts.
const (
	Granted  Verdict = iota
	Outbid           // the voter has promised a higher ballot
	NotVoter         // the host has another identity or holds no chosen value yet
)

// Promise answers Prepare.
type Promise struct {
	From     uint64
	Ballot   Ballot // the ballot that was prepared
	Verdict  Verdict
	Promised Ballot // the highest ballot that the voter has promised
	Accepted Entry  // the entry that it last accepted, if granted
	Chosen   bool   // the voter knows that entry to be chosen
}

// Acceptance answers Accept.
type Acceptance struct {
	From     uint64
	Ballot   Ballot // the ballot of the entry
	Verdict  Verdict
	Promised Ballot // the highest ballot that the voter has promised
}

// Report answers Inspect.
type Report struct {
	From       Member // its identity is 0 on a host without a disk
	Ballot     Ballot // as in the Inspect
	MayVote    bool   // whether the host may vote
	SameBallot bool   // the entry has the ballot that Inspect named; its value is left out
	Accepted   Entry
	Chosen     bool // the host knows the entry to be chosen
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
