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

func (s *Summary) count(state *jobState) {
	s.Jobs++
	s.Tasks += len(state.tasks)
	switch state.outcome {
	case job.Complete:
		s.Complete++
	case job.Failed:
		s.Failed++
	case job.NotRun:
		s.NotRun++
	default:
		s.Unanswered++
	}
}

// ViolationCount returns the number of violations of rule.
func (s Summary) ViolationCount(rule Rule) int {
	n := 0
	for _, v := range s.Violations {
		if v.Rule == rule {
			n++
		}
	}
	return n
}

// Print writes the summary to out as text, with at most maxPrintedViolations violations.
func (s Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "jobs                %d\n", s.Jobs)
	fmt.Fprintf(out, "  complete          %d\n", s.Complete)
	fmt.Fprintf(out, "  failed            %d\n", s.Failed)
	fmt.Fprintf(out, "  not run           %d\n", s.NotRun)
	fmt.Fprintf(out, "  without answer    %d\n", s.Unanswered)
	fmt.Fprintf(out, "submissions         %d, answers known to be lost %d\n", s.Submissions, s.AnswersLost)
	fmt.Fprintf(out, "tasks submitted     %d\n", s.Tasks)
	fmt.Fprintf(out, "tasks started       %d\n", s.TasksStarted)
	fmt.Fprintf(out, "started twice       %d\n", s.RepeatedStarts)
	fmt.Fprintf(out, "starts refused      %d\n", s.StartsRefused)
	for _, rule := range Rules() {
		fmt.Fprintf(out, "check %-13s %s\n", rule, formatResult(s.ViolationCount(rule)))
	}
	for _, v := range s.Violations[:min(len(s.Violations), maxPrintedViolations)] {
		fmt.Fprintln(out, v)
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
func (s Summary) PrintMessages(out io.Writer) {
	if s.Tasks == 0 {
		return
	}
	sent := float64(s.Submissions+s.TasksStarted+s.StartsRefused) / float64(s.Tasks)
	minimum := float64(s.Jobs+s.Tasks) / float64(s.Tasks)
	fmt.Fprintf(out, "messages per task   %.3f, at least %.3f\n", sent, minimum)
}
