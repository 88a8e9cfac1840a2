package control

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Bounds of the state.
const (
	MaxOpenProposals = 32  // proposals that wait for approval or roll
	MaxVersions      = 64  // versions whose history is kept
	MaxDocuments     = 16  // accepted versions whose document is kept
	MaxOutcomes      = 128 // answers kept for resends
	MaxAuditEntries  = 64  // audit entries kept in the state
	MaxApprovals     = 16  // signatures of one version
	MaxReasonBytes   = 500 // bytes of a command's reason
)

// Status says where a version stands.
type Status string

// The statuses of a version.
const (
	Proposed   Status = "proposed"   // waits for approval or roll
	Accepted   Status = "accepted"   // the version in force
	Superseded Status = "superseded" // was accepted; a newer one has been since
	Withdrawn  Status = "withdrawn"  // ended by an operator before acceptance
	Outdated   Status = "outdated"   // ended because another version was accepted first
)

// Version is a version number with the content that holds it.
type Version struct {
	Number     uint64        `json:"number"`
	BasedOn    uint64        `json:"based_on"`
	Digest     bundle.Digest `json:"digest"`
	Status     Status        `json:"status"`
	Document   string        `json:"document,omitempty"` // exact bytes; dropped when the version is old
	ProposedBy string        `json:"proposed_by"`
	ProposedAt time.Time     `json:"proposed_at"`
	Approvals  []Approval    `json:"approvals,omitempty"`
	EndedBy    string        `json:"ended_by,omitempty"` // who rolled, withdrew or overtook it
	EndedAt    time.Time     `json:"ended_at,omitzero"`
}

// Outcome is the answer given to a request id.
type Outcome struct {
	RequestID   string `json:"request"`
	Fingerprint string `json:"fingerprint"`
	Answer      Answer `json:"answer"`
}

// State is the whole control state. Its zero value is the state before the
// first command.
type State struct {
	Sequence        uint64    `json:"sequence"` // grows by one with each change
	Accepted        uint64    `json:"accepted"` // version in force; 0 before the first
	HighestProposed uint64    `json:"highest"`  // greatest version ever proposed; every number up to it is taken
	Versions        []Version `json:"versions"` // by number, the newest last
	Outcomes        []Outcome `json:"outcomes"` // the newest last
	Head            Head      `json:"head"`     // the audit trail's last entry
	Entries         []Entry   `json:"entries"`  // the audit trail's end, the newest last
}

// Version returns the version of a number, if its history is kept.
func (s State) Version(number uint64) (Version, bool) {
	if i := s.find(number); i >= 0 {
		return s.Versions[i], true
	}
	return Version{}, false
}

// AcceptedVersion returns the accepted version. Its document is always present.
func (s State) AcceptedVersion() (Version, bool) {
	return s.Version(s.Accepted)
}

func (s State) find(number uint64) int {
	for i, v := range s.Versions {
		if v.Number == number {
			return i
		}
	}
	return -1
}

func (s State) open() int {
	count := 0
	for _, v := range s.Versions {
		if v.Status == Proposed {
			count++
		}
	}
	return count
}

// trim drops what is over the state's bounds, the oldest first. The accepted
// version and open proposals stay.
func (s *State) trim() {
	s.Outcomes = lastOf(s.Outcomes, MaxOutcomes)
	s.Entries = lastOf(s.Entries, MaxAuditEntries)
	s.trimVersions()
	s.trimDocuments()
}

func (s *State) trimVersions() {
	excess := len(s.Versions) - MaxVersions
	kept := s.Versions[:0:0]
	for _, v := range s.Versions {
		if excess > 0 && v.Status != Accepted && v.Status != Proposed {
			excess--
			continue
		}
		kept = append(kept, v)
	}
	s.Versions = kept
}

func (s *State) trimDocuments() {
	accepted := 0
	for i := len(s.Versions) - 1; i >= 0; i-- {
		v := &s.Versions[i]
		switch v.Status {
		case Proposed:
			continue
		case Accepted, Superseded:
			accepted++
			if accepted <= MaxDocuments {
				continue
			}
		}
		v.Document = ""
	}
}

func lastOf[T any](items []T, most int) []T {
	return items[max(0, len(items)-most):]
}
