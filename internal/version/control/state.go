package control

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

// Limits of the state and of a command. MaxReasonBytes is in bytes, the others
// are counts.
const (
	MaxOpenProposals = 32  // proposals that wait for approval or acceptance
	MaxVersions      = 64  // versions whose history is kept
	MaxDocuments     = 16  // accepted versions whose document is kept
	MaxOutcomes      = 128 // answers kept for resends
	MaxAuditEntries  = 64  // newest audit entries kept in the state
	MaxApprovals     = 16  // signatures of one version, and of one command
	MaxReasonBytes   = 500 // length of a command's reason
)

// Status is the state of a version in its life cycle.
type Status string

// The statuses of a version.
const (
	Proposed   Status = "proposed"   // waits for approval or acceptance
	Accepted   Status = "accepted"   // the version in force
	Superseded Status = "superseded" // was accepted before a newer version was
	Withdrawn  Status = "withdrawn"  // ended by an operator before acceptance
	Outdated   Status = "outdated"   // ended because another version was accepted
)

// Version is a version number with the content that it belongs to.
type Version struct {
	Number     uint64        `json:"number"`
	BasedOn    uint64        `json:"based_on"`
	Digest     bundle.Digest `json:"digest"`
	Status     Status        `json:"status"`
	Document   string        `json:"document,omitempty"` // exact bytes; empty if the version is old, withdrawn or outdated
	ProposedBy string        `json:"proposed_by"`
	ProposedAt time.Time     `json:"proposed_at"`
	Approvals  []Approval    `json:"approvals,omitempty"`
	EndedBy    string        `json:"ended_by,omitempty"` // who accepted it, withdrew it or accepted another version instead
	EndedAt    time.Time     `json:"ended_at,omitzero"`  // time of that acceptance or withdrawal
}

// Outcome is the first answer to a request id, kept for resends.
type Outcome struct {
	RequestID   string `json:"request"`
	Fingerprint string `json:"fingerprint"`
	Answer      Answer `json:"answer"`
}

// State is the complete control state. Its zero value is the state before the
// first command.
type State struct {
	Sequence        uint64    `json:"sequence"` // incremented by each change
	Accepted        uint64    `json:"accepted"` // version in force; 0 before the first
	HighestProposed uint64    `json:"highest"`  // highest number ever proposed; every number up to it is used
	Versions        []Version `json:"versions"` // in ascending order of their numbers
	Outcomes        []Outcome `json:"outcomes"` // oldest first
	Head            Head      `json:"head"`     // the last entry of the audit trail
	Entries         []Entry   `json:"entries"`  // the last entries of the audit trail, oldest first

	Evacuations evacuation.Set `json:"evacuations,omitempty"` // failure domains whose targets get no new work
}

// Version returns the version with a number. It returns false if there is none or
// its history is no longer kept.
func (s State) Version(number uint64) (Version, bool) {
	if i := s.indexOf(number); i >= 0 {
		return s.Versions[i], true
	}
	return Version{}, false
}

// AcceptedVersion returns the version in force, whose document is always present.
// It returns false before the first acceptance.
func (s State) AcceptedVersion() (Version, bool) {
	return s.Version(s.Accepted)
}

// indexOf returns the index of a number in Versions, or -1.
func (s State) indexOf(number uint64) int {
	for i, v := range s.Versions {
		if v.Number == number {
			return i
		}
	}
	return -1
}

// countProposals returns the number of open proposals.
func (s State) countProposals() int {
	count := 0
	for _, v := range s.Versions {
		if v.Status == Proposed {
			count++
		}
	}
	return count
}

// trim removes the oldest outcomes, audit entries, versions and documents that
// exceed the limits of the state. It keeps the accepted version and all open
// proposals.
func (s *State) trim() {
	s.Outcomes = lastN(s.Outcomes, MaxOutcomes)
	s.Entries = lastN(s.Entries, MaxAuditEntries)
	s.trimVersions()
	s.trimDocuments()
}

// trimVersions removes the oldest versions above MaxVersions that are neither
// accepted nor open.
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

// trimDocuments removes the documents of withdrawn and outdated versions, and of
// accepted and superseded versions older than the last MaxDocuments ones.
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

func lastN[T any](items []T, n int) []T {
	return items[max(0, len(items)-n):]
}
