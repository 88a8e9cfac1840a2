package wire

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

// Paths served to operators by an entry host. A failed request is answered with a
// control.Answer whose Kind is set.
const (
	PathControl  = "/v1/control/"         // POST PathControl+action: a control.Command, answered by a control.Answer
	PathStatus   = "/v1/control/status"   // GET: ControlStatus
	PathHistory  = "/v1/control/history"  // GET: History
	PathVersions = "/v1/control/versions" // GET PathVersions/N: VersionDocument
	PathDiff     = "/v1/control/diff"     // GET ?from=N&to=N: Diff
	PathAudit    = "/v1/control/audit"    // GET ?from=N: AuditPage

	PathEvacuations = "/v1/control/evacuations" // GET: Evacuations

	PathReport = "/v1/report" // GET ?from=TIME&to=TIME (RFC 3339): report.Report
)

// DryRunParam is the query parameter with which a command is checked and answered but
// not carried out.
const DryRunParam = "dry_run"

// Freshness states which host answered and whether its answer is known to be the
// newest.
type Freshness struct {
	Host      string `json:"host"`      // the entry host that answered
	Confirmed bool   `json:"confirmed"` // a quorum of the disk hosts confirmed the state that was read
	AgeMS     int64  `json:"age_ms"`    // time since a quorum last confirmed the state, ms
}

// VersionStatus describes one bundle version.
type VersionStatus struct {
	Version    uint64         `json:"version"`
	BasedOn    uint64         `json:"based_on"`
	Digest     bundle.Digest  `json:"digest"`
	Status     control.Status `json:"status"`
	ProposedBy string         `json:"proposed_by"`
	ProposedAt time.Time      `json:"proposed_at"`
	ApprovedBy []string       `json:"approved_by"`
	EndedBy    string         `json:"ended_by,omitempty"` // operator who rolled the version out, withdrew it or rolled out another one first
	EndedAt    time.Time      `json:"ended_at,omitzero"`
}

// NewVersionStatus returns the description of a version that operators get.
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

// ControlStatus is the answer to PathStatus.
type ControlStatus struct {
	Freshness
	Accepted          *VersionStatus  `json:"accepted"` // null before the first version is accepted
	OpenProposals     []VersionStatus `json:"open"`     // proposed versions that wait for approvals or for being rolled out
	NextVersion       uint64          `json:"next_version"`
	RequiredApprovals int             `json:"approvals"` // number of approvals that a version needs
	Audit             control.Head    `json:"audit"`     // last entry of the audit trail
}

// History is the answer to PathHistory, with the newest version first.
type History struct {
	Freshness
	Versions []VersionStatus `json:"versions"`
}

// VersionDocument is the answer to PathVersions.
type VersionDocument struct {
	Freshness
	VersionStatus
	Document []byte `json:"document"` // exact bytes of the bundle
}

// Diff is the answer to PathDiff.
type Diff struct {
	Freshness
	From  uint64        `json:"from"`
	To    uint64        `json:"to"`
	Lines []bundle.Line `json:"lines"`
}

// AuditPage is the answer to PathAudit: a section of the audit trail.
type AuditPage struct {
	Freshness
	Entries []control.Entry `json:"entries"` // in order, from the first requested entry that the host holds
	Head    control.Head    `json:"head"`    // last entry of the whole audit trail
}

// Evacuations is the answer to PathEvacuations.
type Evacuations struct {
	Freshness
	Evacuations []evacuation.Evacuation `json:"evacuations"` // ordered by domain
}
