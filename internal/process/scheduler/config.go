package scheduler

import (
	"time"

	"wasabifield.example/wasabifield/internal/process/losses"
)

// Config configures a Core.
type Config struct {
	LearnedRunTimeWeight float64       // weight of a queue's learned run time against the declared one, 0 to 1
	UsableFraction       float64       // share of the targets' cores that tasks can fill; the rest is too small for a task
	SpillTries           int           // other pools that a spilled job is sent to at most, one after the other; a try takes a round trip
	Losses               *losses.Table // shared by the pools of a host; nil for a table of the Core's own
	EvacuationGrace      time.Duration // for which tasks of started jobs may still start after the pool is evacuated
	RemoteFactor         float64       // how many times as long a task takes outside its data rack; up to 1 if nothing is known of that
	MaxLocalWait         time.Duration // longest wait for a target in a task's data rack; 0 for none
	ResubmitDelay        time.Duration // after which a caller whose attempt has ended sends its job again; 0 for defaultResubmitDelay
	LimitLeases          bool          // the caller of Core follows LeaseLimit and records which callers wait
}

// DefaultConfig returns the values for tasks whose estimates are off by up to
// two fifths and whose run times vary by as much again.
func DefaultConfig() Config {
	return Config{LearnedRunTimeWeight: 0.5, UsableFraction: 0.65, SpillTries: 3}
}
