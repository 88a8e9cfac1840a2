package bundle

import "time"

// Bundle states how the service behaves. Version 0 is the built-in default and
// is never proposed.
type Bundle struct {
	Version        uint64        `yaml:"version" json:"version"`
	BasedOn        uint64        `yaml:"based_on" json:"based_on"` // accepted version that this one was written on top of
	Limits         Limits        `yaml:"limits" json:"limits"`
	Teams          []Team        `yaml:"teams" json:"teams"`
	OtherTeams     Quota         `yaml:"other_teams" json:"other_teams"` // quota that all teams share that Teams does not name
	Retry          Retry         `yaml:"retry" json:"retry"`
	Routing        Routing       `yaml:"routing" json:"routing"`
	Deadlines      Deadlines     `yaml:"deadlines" json:"deadlines"`
	AttemptTimeout time.Duration `yaml:"attempt_timeout" json:"attempt_timeout"` // greatest time of one task start, answer included
	Ejection       Ejection      `yaml:"ejection" json:"ejection"`
	Rollout        Rollout       `yaml:"roll" json:"roll"`
}

// Limits bound one job.
type Limits struct {
	TasksPerJob  int   `yaml:"tasks_per_job" json:"tasks_per_job"`
	PayloadBytes int64 `yaml:"payload_bytes" json:"payload_bytes"` // of one task
	OutputBytes  int64 `yaml:"output_bytes" json:"output_bytes"`   // of one task
}

// Quota bounds what one team holds in one failure domain; 0 is no bound.
type Quota struct {
	InProgress int `yaml:"in_progress" json:"in_progress"` // task starts in progress
	Queued     int `yaml:"queued" json:"queued"`           // tasks waiting for a slot
}

// Team is a team with its quota.
type Team struct {
	Name  string `yaml:"name" json:"name"`
	Quota `yaml:",inline"`
}

// Retry says when a task is started again.
type Retry struct {
	// RestartIdempotent allows a task of an idempotent job to be started again
	// after an unknown outcome.
	RestartIdempotent bool `yaml:"restart_idempotent" json:"restart_idempotent"`
	// Attempts is the greatest number of starts tried for one task, those
	// proven not started included.
	Attempts int `yaml:"attempts" json:"attempts"`
}

// SlotPolicy names how the entry hosts of a failure domain share the slots of
// its targets.
type SlotPolicy string

// The slot policies.
const (
	Shares        SlotPolicy = "shares"         // slots move to where tasks wait, with the fewest messages
	SharesProbing SlotPolicy = "shares_probing" // the same, but hosts ask each other often, for the least wait
)

// Routing says where tasks run.
type Routing struct {
	SlotPolicy SlotPolicy      `yaml:"slot_policy" json:"slot_policy"` // of a domain that Domains does not name
	Domains    []DomainRouting `yaml:"domains" json:"domains"`
	Spill      Spill           `yaml:"spill" json:"spill"`
}

// DomainRouting sets the slot policy of one failure domain.
type DomainRouting struct {
	Name       string     `yaml:"name" json:"name"`
	SlotPolicy SlotPolicy `yaml:"slot_policy" json:"slot_policy"`
}

// Spill says when a job goes to another failure domain: if the own one refuses
// it for want of targets or time, or lets it wait long.
type Spill struct {
	Enabled bool          `yaml:"enabled" json:"enabled"`
	After   time.Duration `yaml:"after" json:"after"` // expected wait for a slot above which a job spills
}

// Deadlines bound the time to a whole answer.
type Deadlines struct {
	Default  time.Duration `yaml:"default" json:"default"`   // of a job that states none
	Greatest time.Duration `yaml:"greatest" json:"greatest"` // that a job may state
}

// Ejection says when a target that fails its tasks gets no work for a time.
type Ejection struct {
	Failures        int           `yaml:"failures" json:"failures"`                 // in a row, of tasks that rarely fail elsewhere, that eject a target
	Pause           time.Duration `yaml:"pause" json:"pause"`                       // first time without work; doubles with each ejection in a row
	GreatestPause   time.Duration `yaml:"greatest_pause" json:"greatest_pause"`     // bound of the doubling
	GreatestPercent int           `yaml:"greatest_percent" json:"greatest_percent"` // of a domain's targets that may be ejected at once
}

// Rollout orders the failure domains that take a new version.
type Rollout struct {
	Order []string      `yaml:"order" json:"order"` // domains not named follow the last one
	Pause time.Duration `yaml:"pause" json:"pause"` // between a domain and the next
}

// Default returns the built-in bundle, version 0.
func Default() Bundle {
	return Bundle{
		Limits:         Limits{TasksPerJob: 210, PayloadBytes: 256 << 10, OutputBytes: 1 << 20},
		OtherTeams:     Quota{InProgress: 1_000, Queued: 10_000},
		Retry:          Retry{Attempts: 20},
		Routing:        Routing{SlotPolicy: Shares, Spill: Spill{Enabled: true, After: 500 * time.Millisecond}},
		Deadlines:      Deadlines{Default: 10 * time.Second, Greatest: time.Minute},
		AttemptTimeout: 30 * time.Second,
		Ejection: Ejection{
			Failures:        3,
			Pause:           5 * time.Second,
			GreatestPause:   5 * time.Minute,
			GreatestPercent: 33,
		},
	}
}

// QuotaOf returns the quota of a team.
func (b Bundle) QuotaOf(team string) Quota {
	for _, t := range b.Teams {
		if t.Name == team {
			return t.Quota
		}
	}
	return b.OtherTeams
}

// Share returns the part of q that one of the given number of entry hosts
// enforces. Parts are rounded up, so that each host can serve the team.
func (q Quota) Share(hosts int) Quota {
	hosts = max(1, hosts)
	return Quota{
		InProgress: (q.InProgress + hosts - 1) / hosts,
		Queued:     (q.Queued + hosts - 1) / hosts,
	}
}

// SlotPolicyOf returns the slot policy of a failure domain.
func (b Bundle) SlotPolicyOf(domain string) SlotPolicy {
	for _, d := range b.Routing.Domains {
		if d.Name == domain {
			return d.SlotPolicy
		}
	}
	return b.Routing.SlotPolicy
}

// RolloutDelay returns how long after its acceptance the bundle comes into force
// in a failure domain.
func (b Bundle) RolloutDelay(domain string) time.Duration {
	for i, name := range b.Rollout.Order {
		if name == domain {
			return time.Duration(i) * b.Rollout.Pause
		}
	}
	return time.Duration(len(b.Rollout.Order)) * b.Rollout.Pause
}
