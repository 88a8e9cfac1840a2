package wire

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

// Paths served to operators by an entry host. A request that fails is answered
// with a control.Answer whose Kind is set.
const (
	PathControl  = "/v1/control/"         // POST PathControl+action: a control.Command, answered by a control.Answer
	PathStatus   = "/v1/control/status"   // GET: ControlStatus
	PathHistory  = "/v1/control/history"  // GET: History
	PathVersions = "/v1/control/versions" // GET PathVersions/N: VersionDocument
	PathDiff     = "/v1/control/diff"     // GET ?from=N&to=N: Diff
	PathAudit    = "/v1/control/audit"    // GET ?from=N: AuditPage
	PathReport   = "/v1/report"           // GET ?from=TIME&to=TIME (RFC 3339): report.Report
)

// DryRunParam is the query parameter that makes a command be judged and not
// carried out.
const DryRunParam = "dry_run"

// Freshness says how far a host's answer can be trusted to be the newest.
type Freshness struct {
	Host      string `json:"host"`      // the entry host that answered
	Confirmed bool   `json:"confirmed"` // whether a quorum of the disk hosts confirmed it
	AgeMS     int64  `json:"age_ms"`    // since a quorum last confirmed it
}

// VersionStatus is what is known of one bundle version.
type VersionStatus struct {
	Version    uint64         `json:"version"`
	BasedOn    uint64         `json:"based_on"`
	Digest     bundle.Digest  `json:"digest"`
	Status     control.Status `json:"status"`
	ProposedBy string         `json:"proposed_by"`
	ProposedAt time.Time      `json:"proposed_at"`
	ApprovedBy []string       `json:"approved_by"`
	EndedBy    string         `json:"ended_by,omitempty"` // who rolled, withdrew or overtook it
	EndedAt    time.Time      `json:"ended_at,omitzero"`
}

// NewVersionStatus returns what operators see of a version.
func NewVersionStatus(v control.Version) VersionStatus {
	s := VersionStatus{
		Version:    v.Number,
		BasedOn:    v.BasedOn,
		Digest:     v.Digest,
		Status:     v.Status,
		ProposedBy: v.ProposedBy,
		ProposedAt: v.ProposedAt,
		ApprovedBy: []string{},
		EndedBy:    v.EndedBy,
		EndedAt:    v.EndedAt,
	}
	for _, a := range v.Approvals {
		s.ApprovedBy = append(s.ApprovedBy, a.Operator)
	}
	return s
}

// ControlStatus is the answer of PathStatus.
type ControlStatus struct {
	Freshness
	Accepted          *VersionStatus  `json:"accepted"` // null before the first
	OpenProposals     []VersionStatus `json:"open"`     // proposals that wait for approval or roll
	NextVersion       uint64          `json:"next_version"`
	RequiredApprovals int             `json:"approvals"` // that a version needs
	Audit             control.Head    `json:"audit"`     // the audit trail's last entry
}

// History is the answer of PathHistory, the newest version first.
type History struct {
	Freshness
	Versions []VersionStatus `json:"versions"`
}

// VersionDocument is the answer of PathVersions.
type VersionDocument struct {
	Freshness
	VersionStatus
	Document []byte `json:"document"` // exact bytes
}

// Diff is the answer of PathDiff.
type Diff struct {
	Freshness
	From  uint64        `json:"from"`
	To    uint64        `json:"to"`
	Lines []bundle.Line `json:"lines"`
}

// AuditPage is a part of the audit trail.
type AuditPage struct {
	Freshness
	Entries []control.Entry `json:"entries"` // in their order, from the first one asked for that the host holds
	Head    control.Head    `json:"head"`    // the trail's last entry
}
