package scheduler

import (
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Resources is the amount that a task requires or a target offers.
type Resources struct {
	CPUMilli int64 // thousandths of a core
	MemoryMB int64
	GPUs     int64
}

// String returns the resources for logs.
func (r Resources) String() string {
	return fmt.Sprintf("%d millicores, %d MB, %d GPUs", r.CPUMilli, r.MemoryMB, r.GPUs)
}

// Plus returns the componentwise sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Minus returns the componentwise difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Min returns the componentwise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUMilli, o.CPUMilli), min(r.MemoryMB, o.MemoryMB), min(r.GPUs, o.GPUs)}
}

// Covers reports whether r is at least o in each component.
func (r Resources) Covers(o Resources) bool {
	return r.CPUMilli >= o.CPUMilli && r.MemoryMB >= o.MemoryMB && r.GPUs >= o.GPUs
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count        int
	Need         Resources     // of each task
	Estimate     time.Duration // run time of each task as declared; may be far off
	After        []int         // indexes of the steps that must end first
	Label        string        // label that the target must have; empty for none
	DataRack     string        // preferred rack, where tasks run fastest; empty for none
	AntiAffinity int           // maximum tasks of the step on one target; 0 for no limit
}

// Job is a unit of work that a caller submitted and that gets one answer.
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
	ArrivedAt     time.Time // at the host that the caller submitted it to
	Deadline      time.Time // when the caller stops waiting
	Spilled       bool      // came from another pool; not to be spilled again
	OnlyAtOnce    bool      // spilled on trial: to be refused unless all its tasks can start at once
	Returned      bool      // refused by the pools that it was spilled to; its demand is counted already
	FirstTask     int       // index in the whole job of the first task, for a part of a job; its only step's Count is the part's
	Resubmitted   bool      // the pool's former holder handed the job over; to be continued, but never started again
}

// TaskCount returns the number of tasks in all steps of the job.
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
	Number int // starts at 1 and increases with each start of the task
}

// TaskID returns the identity of the run's task, job.step.index, for logs.
func (r Run) TaskID() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Step, r.Index) }

// Target is a target's description of itself.
type Target struct {
	ID          string
	Service     string
	Address     string
	Domain      string
	Incarnation uint64 // time of the target's start in Unix milliseconds
	Capacity    Resources
	Labels      []string
	// LabelsUnknown is set for a target that has restarted and not announced itself since. It
	// may be of another kind, so it gets no task that needs a label, and its Capacity is assumed.
	LabelsUnknown bool
	Draining      bool
	ColdUntil     time.Time // the target is slow until then, after its start; zero if it is not
}

// Outcome is how a job ended.
type Outcome int

// The outcomes of a job.
const (
	Completed Outcome = iota
	Failed            // a task failed in all its attempts
	Refused           // no task of the job has run
	Broken            // the job may have run in part; its outcome is unknown
	Moved             // another host holds the pool
	Spill             // no task has run; another pool has free capacity
)

var outcomeNames = map[Outcome]string{
	Completed: "completed", Failed: "failed", Refused: "refused", Broken: "broken", Moved: "moved", Spill: "spill",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the scheduler's result for the caller of a job.
type Answer struct {
	Outcome    Outcome
	Kind       failure.Kind  // set for Refused, Broken, Failed and some Moved jobs
	Reason     string        // why, for the log
	RetryAfter time.Duration // for a refused job: delay before the next attempt
	Pools      []string      // for a spilled job: the pools to try, the most promising one first
	HandedOver bool          // for a moved job: the new holder continues it
	Holder     string        // for a moved job: the host that holds the pool; empty if unknown
}

// Effect is an action that the caller of Core carries out.
type Effect interface{ effect() }

// Start is a request to a target to start a run.
type Start struct {
	Target      string
	Incarnation uint64 // of the target, as far as it is known
	Run         Run
	Spec        string
	Label       string  // that the target must have; empty for none
	Former      Release // end of the task's former run here
}

// Stop is a request to a target to stop a run, and to reject a start request for
// that run that arrives later.
type Stop struct {
	Target     string
	Run        Run
	Reason     string
	Unanswered bool // the start request was not answered, so the run is probably not there
}

// Reply delivers the answer of a job to a waiting caller.
type Reply struct {
	Waiter uint64
	Job    string
	Answer Answer
}

// LogEntry reports a decision or event that only needs to be logged.
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

// StartResult is a target's answer to a start request.
type StartResult int

// The results of a start request.
const (
	Started        StartResult = iota
	NoRoom                     // the target has no free capacity
	Outdated                   // the target has seen a higher run number of the task
	TooLate                    // the lease in the request had expired on arrival
	Unhealthy                  // the target accepts no work
	WrongTarget                // another incarnation has the address
	Unanswered                 // the run may have started, or may still start
	Fenced                     // the target obeys a holder with a higher fencing token
	NotAccepted                // the target could not parse the request
	NotSent                    // the request did not reach the target and is not under way
	StartedByOther             // another incarnation of the target than the intended one started the run
)

var startResultNames = [...]string{
	"started", "no_room", "outdated", "too_late", "unhealthy", "wrong_target", "unanswered", "fenced", "not_accepted",
	"not_sent", "started_by_other",
}

// String returns the result's name.
func (r StartResult) String() string { return startResultNames[r] }

// End is how a run ended.
type End int

// The ends of a run.
const (
	EndDone    End = iota
	EndFailed      // the task or its target failed
	EndStopped     // by a stop request, or because its lease expired
)
