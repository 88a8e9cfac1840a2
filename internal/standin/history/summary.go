package history

import (
	"fmt"
	"io"

	"wasabifield.example/wasabifield/internal/request/job"
)

// Summary holds the counts of a history and the violations found in it.
type Summary struct {
	Jobs           int
	Complete       int
	Failed         int
	NotRun         int
	Unanswered     int // jobs without any answer
	Submissions    int // requests of callers, including resubmissions
	AnswersLost    int // submissions whose answer is known to be lost
	Tasks          int // tasks of all jobs
	TasksStarted   int
	RepeatedStarts int
	TasksEnded     int
	StartsRefused  int // starts refused by a target
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

// ViolationCount returns the number of violations of rule.
func (a Summary) ViolationCount(rule Rule) int {
	n := 0
	for _, f := range a.Violations {
		if f.Rule == rule {
			n++
		}
	}
	return n
}

// Print writes the summary to out as text, with at most maxPrintedViolations violations.
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

const maxPrintedViolations = 20 // in one printed summary

func formatResult(violations int) string {
	if violations == 0 {
		return "holds"
	}
	return fmt.Sprintf("BROKEN %d times", violations)
}

// PrintMessages writes the number of messages per task. Messages are the submissions
// and the start requests, including refused ones, but not their answers. The minimum is
// one start request for each task and one submission for each job.
func (a Summary) PrintMessages(out io.Writer) {
	if a.Tasks == 0 {
		return
	}
	sent := float64(a.Submissions+a.TasksStarted+a.StartsRefused) / float64(a.Tasks)
	minimum := float64(a.Jobs+a.Tasks) / float64(a.Tasks)
	fmt.Fprintf(out, "messages per task   %.3f, at least %.3f\n", sent, minimum)
}
