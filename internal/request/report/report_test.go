package report_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/report"
)

var start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func errorAnswer(outcome job.Outcome, kind failure.Kind) *job.Answer {
	return &job.Answer{Outcome: outcome, Error: &job.Error{Kind: string(kind)}}
}

func newRecorder(host string) *report.Recorder {
	r := report.NewRecorder(host, start)
	r.RecordBundleInForce(start, 1, "one")
	r.CountAnswer(start, &job.Answer{Outcome: job.Complete})
	r.CountAnswer(start.Add(time.Minute), errorAnswer(job.Failed, failure.TaskFailed))
	r.RecordBundleInForce(start.Add(90*time.Second), 2, "two")
	r.CountAnswer(start.Add(2*time.Minute), errorAnswer(job.NotRun, failure.OverQuota))
	r.CountAnswer(start.Add(2*time.Minute), errorAnswer(job.NotRun, failure.OverQuota))
	r.CountAnswer(start.Add(2*time.Minute), errorAnswer(job.NotRun, failure.Draining))
	return r
}

func TestReportCountsOnlyItsPeriod(t *testing.T) {
	g := NewWithT(t)
	r := newRecorder("a1")
	all := r.Report(start, start.Add(time.Hour))
	g.Expect(all.Complete).To(Equal(uint64(1)))
	g.Expect(all.Failed).To(Equal([]report.Count{{Kind: failure.TaskFailed, Jobs: 1}}))
	g.Expect(all.NotRun).To(Equal([]report.Count{{Kind: failure.OverQuota, Jobs: 2}, {Kind: failure.Draining, Jobs: 1}}))
	g.Expect(all.Bundles).To(HaveLen(2))

	late := r.Report(start.Add(2*time.Minute), start.Add(3*time.Minute))
	g.Expect(late.Complete).To(BeZero())
	g.Expect(report.Total(late.NotRun)).To(Equal(uint64(3)))
	g.Expect(late.Bundles).To(HaveLen(1))
	g.Expect(late.Bundles[0].Version).To(Equal(uint64(2)))
}

func TestMergedReportSumsTheHosts(t *testing.T) {
	g := NewWithT(t)
	a := newRecorder("a1").Report(start, start.Add(time.Hour))
	b := newRecorder("b1").Report(start, start.Add(time.Hour))
	sum := a.Merge(b)
	g.Expect(sum.Hosts).To(Equal([]string{"a1", "b1"}))
	g.Expect(sum.Complete).To(Equal(uint64(2)))
	g.Expect(report.Total(sum.NotRun)).To(Equal(uint64(6)))
	g.Expect(sum.Bundles).To(HaveLen(4))
}

func TestAnswersBeyondTheRetentionAreDropped(t *testing.T) {
	g := NewWithT(t)
	r := newRecorder("a1")
	later := start.Add(8 * 24 * time.Hour)
	r.CountAnswer(later, &job.Answer{Outcome: job.Complete})
	g.Expect(r.Report(start, later.Add(time.Minute)).Complete).To(Equal(uint64(1)))
}

func TestEveryKindHasItsOwnDescription(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for _, kind := range failure.Kinds() {
		seen[report.Description(kind)] = true
	}
	g.Expect(seen).To(HaveLen(len(failure.Kinds())))
}
