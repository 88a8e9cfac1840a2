package history

import (
	"fmt"
	"io"

	"wasabifield.example/wasabifield/internal/request/job"
)

// Summary sums up a history.
type Summary struct {
	Jobs           int
	Complete       int
	Failed         int
	NotRun         int
	Unanswered     int // jobs without any answer
	Submissions    int // requests of callers, resubmissions among them
	AnswersLost    int // submissions known to be cut
	Tasks          int // tasks of all jobs
	TasksStarted   int
	RepeatedStarts int
	TasksEnded     int
	StartsRefused  int // starts that a target refused
	Violations     []Violation
}

func (a *Summary) count(state *jobState) {
	a.Jobs++
	a.Tasks += len(state.tasks)
	switch state.outcome {
	case job.Complete:
		a.Complete++
	case job.Failed:
		a.Failed++
	case job.NotRun:
		a.NotRun++
	default:
		a.Unanswered++
	}
}

// ViolationCount returns how many faults breach rule.
func (a Summary) ViolationCount(rule Rule) int {
	n := 0
	for _, f := range a.Violations {
		if f.Rule == rule {
			n++
		}
	}
	return n
}

// Print writes a plain account to out.
func (a Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "jobs                %d\n", a.Jobs)
	fmt.Fprintf(out, "  complete          %d\n", a.Complete)
	fmt.Fprintf(out, "  failed            %d\n", a.Failed)
	fmt.Fprintf(out, "  not run           %d\n", a.NotRun)
	fmt.Fprintf(out, "  without answer    %d\n", a.Unanswered)
	fmt.Fprintf(out, "submissions         %d, answers known to be lost %d\n", a.Submissions, a.AnswersLost)
	fmt.Fprintf(out, "tasks submitted     %d\n", a.Tasks)
	fmt.Fprintf(out, "tasks started       %d\n", a.TasksStarted)
	fmt.Fprintf(out, "started twice       %d\n", a.RepeatedStarts)
	fmt.Fprintf(out, "starts refused      %d\n", a.StartsRefused)
	for _, rule := range Rules() {
		fmt.Fprintf(out, "check %-13s %s\n", rule, formatResult(a.ViolationCount(rule)))
	}
	for _, f := range a.Violations[:min(len(a.Violations), maxPrintedViolations)] {
		fmt.Fprintln(out, f)
	}
}

const maxPrintedViolations = 20 // faults in an account

func formatResult(broken int) string {
	if broken == 0 {
		return "holds"
	}
	return fmt.Sprintf("BROKEN %d times", broken)
}

// PrintMessages writes how many messages each task cost: the submissions and
// the starts that were sent, refused ones among them, with their answers left
// out. The least is one start for each task and one submission for each job.
func (a Summary) PrintMessages(out io.Writer) {
	if a.Tasks == 0 {
		return
	}
	sent := float64(a.Submissions+a.TasksStarted+a.StartsRefused) / float64(a.Tasks)
	least := float64(a.Jobs+a.Tasks) / float64(a.Tasks)
	fmt.Fprintf(out, "messages per task   %.3f, at least %.3f\n", sent, least)
}
