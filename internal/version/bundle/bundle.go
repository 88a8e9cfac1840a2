package bundle

import "time"

// Bundle is the configuration of the service's behaviour. Version 0 is the built-in
// default and is never proposed.
type Bundle struct {
	Version        uint64        `yaml:"version" json:"version"`
	BasedOn        uint64        `yaml:"based_on" json:"based_on"` // accepted version that this one was derived from
	Limits         Limits        `yaml:"limits" json:"limits"`
	Teams          []Team        `yaml:"teams" json:"teams"`
	OtherTeams     Quota         `yaml:"other_teams" json:"other_teams"` // quota shared by all teams that Teams does not name
	Retry          Retry         `yaml:"retry" json:"retry"`
	Routing        Routing       `yaml:"routing" json:"routing"`
	Deadlines      Deadlines     `yaml:"deadlines" json:"deadlines"`
	AttemptTimeout time.Duration `yaml:"attempt_timeout" json:"attempt_timeout"` // maximum time from a task's start request to its answer
	Ejection       Ejection      `yaml:"ejection" json:"ejection"`
	Rollout        Rollout       `yaml:"roll" json:"roll"`
}

// Limits restricts the size of one job.
type Limits struct {
	TasksPerJob  int   `yaml:"tasks_per_job" json:"tasks_per_job"`
	PayloadBytes int64 `yaml:"payload_bytes" json:"payload_bytes"` // maximum of one task
	OutputBytes  int64 `yaml:"output_bytes" json:"output_bytes"`   // maximum of one task
}

// Quota limits the tasks of one team in one failure domain; 0 means no limit.
type Quota struct {
	InProgress int `yaml:"in_progress" json:"in_progress"` // started tasks without an answer
	Queued     int `yaml:"queued" json:"queued"`           // tasks waiting for a slot
}

// Team is a team with a quota of its own.
type Team struct {
	Name  string `yaml:"name" json:"name"`
	Quota `yaml:",inline"`
}

// Retry configures when a task is started again.
type Retry struct {
	// RestartIdempotent allows a task of an idempotent job to be started again
	// after an unknown outcome.
	RestartIdempotent bool `yaml:"restart_idempotent" json:"restart_idempotent"`
	// Attempts is the maximum number of attempts to start one task. It includes
	// attempts after which the task is known not to have started.
	Attempts int `yaml:"attempts" json:"attempts"`
}

// SlotPolicy names how the entry hosts of a failure domain share the slots of
// its targets.
type SlotPolicy string

// The slot policies.
const (
	Shares        SlotPolicy = "shares"         // slot shares move to the hosts where tasks wait, with the fewest messages
	SharesProbing SlotPolicy = "shares_probing" // as Shares, but hosts ask each other often, which gives the shortest wait
)

// Routing configures where tasks run.
type Routing struct {
	SlotPolicy SlotPolicy      `yaml:"slot_policy" json:"slot_policy"` // of the domains that Domains does not name
	Domains    []DomainRouting `yaml:"domains" json:"domains"`
	Spill      Spill           `yaml:"spill" json:"spill"`
}

// DomainRouting sets the slot policy of one failure domain.
type DomainRouting struct {
	Name       string     `yaml:"name" json:"name"`
	SlotPolicy SlotPolicy `yaml:"slot_policy" json:"slot_policy"`
}

// Spill configures when a job is sent to another failure domain: if its own domain
// refuses it for lack of targets or time, or if the expected wait exceeds After.
type Spill struct {
	Enabled bool          `yaml:"enabled" json:"enabled"`
	After   time.Duration `yaml:"after" json:"after"` // expected wait for a slot above which a job spills
}

// Deadlines limits the time from the receipt of a job to its complete answer.
type Deadlines struct {
	Default  time.Duration `yaml:"default" json:"default"`   // for a job that states none
	Greatest time.Duration `yaml:"greatest" json:"greatest"` // maximum that a job may state
}

// Ejection configures when a target whose tasks fail is ejected, that is, gets no work
// for some time.
type Ejection struct {
	Failures        int           `yaml:"failures" json:"failures"`                 // consecutive failures, of tasks that rarely fail on other targets, that eject a target
	Pause           time.Duration `yaml:"pause" json:"pause"`                       // duration of a first ejection; doubles with each consecutive ejection
	GreatestPause   time.Duration `yaml:"greatest_pause" json:"greatest_pause"`     // maximum of the doubled duration
	GreatestPercent int           `yaml:"greatest_percent" json:"greatest_percent"` // maximum share of a domain's targets that may be ejected at the same time
}

// Rollout orders the failure domains that take a new version.
type Rollout struct {
	Order []string      `yaml:"order" json:"order"` // domains that are not named follow after the last one
	Pause time.Duration `yaml:"pause" json:"pause"` // between one domain and the next
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

// Share returns the share of q that each of the given number of entry hosts enforces.
// Shares are rounded up, so that each host can serve the team; 0 stays 0, no limit.
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

// RolloutDelay returns the time from the acceptance of the bundle until it comes into
// force in a failure domain.
func (b Bundle) RolloutDelay(domain string) time.Duration {
	for i, name := range b.Rollout.Order {
		if name == domain {
			return time.Duration(i) * b.Rollout.Pause
		}
	}
	return time.Duration(len(b.Rollout.Order)) * b.Rollout.Pause
}
