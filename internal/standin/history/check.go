package history

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// Rule names an invariant.
type Rule string

// The invariants that Check verifies.
const (
	StartedOnce Rule = "started_once" // no task starts twice
	WholeAnswer Rule = "whole_answer" // an answer holds every output or none
	OwnAnswer   Rule = "own_answer"   // outputs belong to the job and task that were submitted
	RanAsTold   Rule = "ran_as_told"  // what an answer says about starts agrees with the starts
	LeftAlone   Rule = "left_alone"   // a leaving target is offered no task after a bound
	NothingLost Rule = "nothing_lost" // each submission is answered or known to be cut
	BundleKept  Rule = "bundle_kept"  // a host never answers by an older bundle than before
)

// Rules returns every Rule.
func Rules() []Rule {
	return []Rule{StartedOnce, WholeAnswer, OwnAnswer, RanAsTold, LeftAlone, NothingLost, BundleKept}
}

// Fault is one breach of an invariant.
type Fault struct {
	Rule   Rule
	Job    string
	Task   string
	Detail string
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s: job %q task %q: %s", f.Rule, f.Job, f.Task, f.Detail)
}

// CheckConfig holds the bounds of Check.
type CheckConfig struct {
	// LeaveWithin is how long after its leaving a target may still be offered
	// tasks.
	LeaveWithin time.Duration
}

// Check verifies events, which are in the order of time.
func Check(events []Event, config CheckConfig) Account {
	c := newChecker(config)
	for _, e := range events {
		c.add(e)
	}
	c.finish()
	return c.account
}

type taskKey struct{ job, task string }

type attemptKey struct {
	job     string
	attempt int
}

// checker replays a history.
type checker struct {
	config   CheckConfig
	account  Account
	starts   map[taskKey]int
	jobStart map[string]time.Time // first start of a job
	open     map[attemptKey]sent  // submissions without an answer so far
	jobs     map[string]*jobState
	leaving  map[string]Event  // by target
	bundles  map[string]uint64 // greatest version in an answer, by host
}

// sent is a submission and the bundles that were seen before it.
type sent struct {
	Event
	bundles map[string]uint64
}

// jobState is what the checker knows of one job.
type jobState struct {
	tasks    []string
	attempts int
	outcome  job.Outcome // of the last answer; empty if there was none
}

func newChecker(config CheckConfig) *checker {
	return &checker{
		config:   config,
		starts:   map[taskKey]int{},
		jobStart: map[string]time.Time{},
		open:     map[attemptKey]sent{},
		jobs:     map[string]*jobState{},
		leaving:  map[string]Event{},
		bundles:  map[string]uint64{},
	}
}

func (c *checker) add(e Event) {
	switch e.What {
	case Submit:
		c.submit(e)
	case Answer:
		c.answer(e)
	case Lost:
		c.account.LostAnswers++
		delete(c.open, attemptKey{e.Job, e.Attempt})
	case Leaving:
		c.leaving[e.Target] = e
	case Start:
		c.start(e)
	case Refuse:
		c.account.Refused++
		c.offered(e)
	case End:
		c.account.Ended++
	}
}

func (c *checker) fault(rule Rule, e Event, format string, args ...any) {
	f := Fault{Rule: rule, Job: e.Job, Task: e.Task, Detail: fmt.Sprintf(format, args...)}
	c.account.Faults = append(c.account.Faults, f)
}

func (c *checker) submit(e Event) {
	c.account.Submissions++
	c.open[attemptKey{e.Job, e.Attempt}] = sent{e, maps.Clone(c.bundles)}
	state, ok := c.jobs[e.Job]
	if !ok {
		state = &jobState{tasks: e.Tasks}
		c.jobs[e.Job] = state
	}
	state.attempts++
}

func (c *checker) start(e Event) {
	c.account.Started++
	c.offered(e)
	if e.Job == "" {
		return
	}
	key := taskKey{e.Job, e.Task}
	c.starts[key]++
	if c.starts[key] > 1 {
		c.account.StartedTwice++
		c.fault(StartedOnce, e, "start %d is at %s under %s", c.starts[key], e.Target, e.Header)
	}
	if _, ok := c.jobStart[e.Job]; !ok {
		c.jobStart[e.Job] = e.At
	}
}

// offered checks that e's target was not leaving for longer than the bound. A
// leaving holds for the rest of an incarnation; a lapsed lease may state it for
// a time at which the next incarnation serves.
func (c *checker) offered(e Event) {
	left, ok := c.leaving[e.Target]
	if !ok || e.Incarnation > left.Incarnation {
		return
	}
	after := e.At.Sub(left.At)
	if after > c.config.LeaveWithin {
		c.fault(LeftAlone, e, "%s was offered a task %s after its leaving", e.Target, after)
	}
}

func (c *checker) answer(e Event) {
	key := attemptKey{e.Job, e.Attempt}
	submission, ok := c.open[key]
	if !ok {
		c.fault(NothingLost, e, "attempt %d was answered without a submission, or twice", e.Attempt)
	}
	delete(c.open, key)
	state, ok := c.jobs[e.Job]
	if !ok || e.Answer == nil {
		c.fault(WholeAnswer, e, "attempt %d has no answer document", e.Attempt)
		return
	}
	state.outcome = e.Answer.Outcome
	c.bundle(e, submission)
	if e.Answer.Outcome == job.Complete {
		c.complete(e, state)
		return
	}
	c.incomplete(e, state)
}

// bundle checks that the host had not answered by a newer bundle before the
// submission was sent. A host that does not know yet which one is in force
// states none.
func (c *checker) bundle(e Event, submission sent) {
	if e.Answer.BundleVersion == nil {
		return
	}
	host, version := e.Answer.Host, *e.Answer.BundleVersion
	if before := submission.bundles[host]; version < before {
		c.fault(BundleKept, e, "host %s answered by version %d after version %d", host, version, before)
	}
	c.bundles[host] = max(c.bundles[host], version)
}

func (c *checker) complete(e Event, state *jobState) {
	var ids []string
	for _, o := range e.Answer.Outputs {
		ids = append(ids, o.ID)
		c.output(e, o)
	}
	if !slices.Equal(ids, state.tasks) {
		c.fault(WholeAnswer, e, "complete with outputs of %d tasks, %d were submitted", len(ids), len(state.tasks))
	}
	if e.Answer.Error != nil {
		c.fault(WholeAnswer, e, "complete with error %s", e.Answer.Error.Kind)
	}
	for _, id := range state.tasks {
		if c.starts[taskKey{e.Job, id}] == 0 {
			c.fault(RanAsTold, e, "complete, but task %s was never started", id)
		}
	}
}

// output checks that o is the output of e's job.
func (c *checker) output(e Event, o job.Output) {
	var output Output
	if err := json.Unmarshal(o.Output, &output); err != nil {
		c.fault(OwnAnswer, e, "output of %s cannot be read: %v", o.ID, err)
		return
	}
	if output.Task != o.ID || output.Echo.Task != o.ID || output.Echo.Job != e.Job {
		c.fault(OwnAnswer, e, "output of %s is from job %q task %q", o.ID, output.Echo.Job, output.Echo.Task)
	}
}

func (c *checker) incomplete(e Event, state *jobState) {
	if len(e.Answer.Outputs) > 0 {
		c.fault(WholeAnswer, e, "%s with %d outputs", e.Answer.Outcome, len(e.Answer.Outputs))
	}
	if e.Answer.Error == nil {
		c.fault(WholeAnswer, e, "%s without an error", e.Answer.Outcome)
		return
	}
	_, started := c.jobStart[e.Job]
	if !started {
		return
	}
	kind := e.Answer.Error.Kind
	if e.Answer.Error.JobRan == "no" || e.Answer.Outcome == job.NotRun {
		c.fault(RanAsTold, e, "%s says that the job did not run, but it did", kind)
	}
	if e.Answer.Error.AttemptRan == "no" && state.attempts == 1 {
		c.fault(RanAsTold, e, "%s says that the only attempt did not run, but it did", kind)
	}
}

func (c *checker) finish() {
	for key, e := range c.open {
		c.fault(NothingLost, e.Event, "attempt %d at %s has no answer", key.attempt, e.Entry)
	}
	for _, state := range c.jobs {
		c.account.count(state)
	}
	slices.SortFunc(c.account.Faults, func(a, b Fault) int {
		return strings.Compare(a.String(), b.String())
	})
}
