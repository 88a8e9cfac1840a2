package register

import "cmp"

// Ballot orders the attempts to change the register. Each attempt has a unique
// ballot.
type Ballot struct {
	Round    uint64
	Proposer uint64 // drawn at random at each start of the proposer's process
}

// Compare returns -1, 0 or 1 if b is lower than, equal to or higher than o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer, o.Proposer))
}

// Next returns the proposer's ballot in the round after b's, which is higher than
// b.
func (b Ballot) Next(proposer uint64) Ballot {
	return Ballot{Round: b.Round + 1, Proposer: proposer}
}

// higher returns the higher of two ballots.
func higher(a, b Ballot) Ballot {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}
