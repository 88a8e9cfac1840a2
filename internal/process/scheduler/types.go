package scheduler

import (
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Resources are what a task needs or a target has.
type Resources struct {
	CPUMilli int64 // thousandths of a core
	MemoryMB int64
	GPUs     int64
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.CPUMilli >= o.CPUMilli && r.MemoryMB >= o.MemoryMB && r.GPUs >= o.GPUs
}

// Step is a set of like tasks of a job.
type Step struct {
	Count        int
	Need         Resources     // of each task
	Estimate     time.Duration // of each task; may be far off
	After        []int         // steps that must be done first
	Label        string        // a label that the target must have; empty for none
	DataRack     string        // the rack where tasks run fastest; empty for none
	AntiAffinity int           // most tasks of the step on one target; 0 for no bound
}

// Job is what a caller wants done.
type Job struct {
	ID            string
	Queue         string
	Service       string
	Priority      int
	MaxAttempts   int
	SlackFactor   float64
	TargetLatency time.Duration
	Spec          string
	Steps         []Step
	ArrivedAt     time.Time // at the host that the caller asked
	Deadline      time.Time // the caller stops waiting
	Spilled       bool      // comes from another pool and may not be passed on
}

// TaskCount returns the number of the job's tasks.
func (j Job) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// Run identifies one start of a task.
type Run struct {
	Job    string
	Step   int
	Index  int
	Number int // from 1, rises with each start of the task
}

// TaskID returns the run's task as a text for logs.
func (r Run) TaskID() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Step, r.Index) }

// Target is what a target says of itself.
type Target struct {
	ID          string
	Service     string
	Address     string
	Domain      string
	Incarnation uint64 // Unix milliseconds of its start
	Capacity    Resources
	Labels      []string
	Draining    bool
}

// Outcome is the end of a job.
type Outcome int

// The outcomes.
const (
	Completed Outcome = iota
	Failed            // a task failed too often
	Refused           // nothing of the job has run
	Broken            // the job may have run in part; its end is unknown
	Moved             // another host holds the pool
	Spill             // nothing has run; another pool has room
)

var outcomeNames = map[Outcome]string{
	Completed: "completed", Failed: "failed", Refused: "refused", Broken: "broken", Moved: "moved", Spill: "spill",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is what the caller of a job is told.
type Answer struct {
	Outcome    Outcome
	Kind       failure.Kind  // of a job that was refused or broken
	Reason     string        // what decided, for the log
	RetryAfter time.Duration // for a job that was refused
	Pool       string        // where a spilled job goes
	HandedOver bool          // of a job that moved: the new holder goes on with it
	Holder     string        // the host that holds the pool, for a job that moved; empty if not known
}

// Effect is something to be done outside the core.
type Effect interface{ effect() }

// Start orders a target to start a run.
type Start struct {
	Target string
	Run    Run
	Spec   string
}

// Stop orders a target to stop a run, and never to start it if it comes late.
type Stop struct {
	Target string
	Run    Run
	Reason string
}

// Reply answers a waiting caller.
type Reply struct {
	Waiter uint64
	Job    string
	Answer Answer
}

// LogEntry is a decision for the log that nobody outside has to act upon.
type LogEntry struct {
	Message string
	Job     string
	Target  string
	Reason  string
	Age     time.Duration
}

func (Start) effect()    {}
func (Stop) effect()     {}
func (Reply) effect()    {}
func (LogEntry) effect() {}

// StartResult is a target's answer to a start.
type StartResult int

// The results of a start.
const (
	Started     StartResult = iota
	NoRoom                  // the target has no room
	Outdated                // the run's number is too low there
	TooLate                 // the lease in the order had passed
	Unhealthy               // the target refuses work
	WrongTarget             // another incarnation has the address
	Unanswered              // the run may be there, or come later
	Fenced                  // another holder orders the target
	NotAccepted             // the target cannot read the order
)

var startResultNames = [...]string{
	"started", "no_room", "outdated", "too_late", "unhealthy", "wrong_target", "unanswered", "fenced", "not_accepted",
}

// String returns the result's name.
func (r StartResult) String() string { return startResultNames[r] }

// End says how a run ended.
type End int

// The ends of a run.
const (
	EndDone    End = iota
	EndFailed      // by its own fault or the target's
	EndStopped     // by an order, or with its lease
)
