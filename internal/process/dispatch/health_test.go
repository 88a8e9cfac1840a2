package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/health"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/job"
)

// steady submits a job of one task every 5 ms and returns the jobs that failed.
func (b *bench) steady(d time.Duration, kind string) int {
	var ids []dispatch.JobID
	for range d / (5 * time.Millisecond) {
		if id, err := b.submit("a", kind, 1, 0); err == nil {
			ids = append(ids, id)
		}
		b.pass(5 * time.Millisecond)
	}
	b.pass(time.Second)
	failed := 0
	for _, id := range ids {
		if a := b.answers[id]; a == nil || a.Outcome != job.Complete {
			failed++
		}
	}
	return failed
}

// TestATargetThatFailsFastSpoilsLittle compares the jobs that a target spoils
// which fails at once with those that it would get if it worked.
func TestATargetThatFailsFastSpoilsLittle(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 10, 8)
	g.Expect(b.steady(2*time.Second, "quote")).To(BeZero())
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	failed := b.steady(30*time.Second, "quote") // 6000 jobs
	g.Expect(failed).To(BeNumerically("<=", 15))
	g.Expect(b.core.State(b.now, "t3")).NotTo(Equal(health.Healthy))
}

// TestATargetThatFailsFastAttractsNoLoad looks at the time before the target
// is judged: it gets no more starts than one that works.
func TestATargetThatFailsFastAttractsNoLoad(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Health.MaxEjected = 0
	b := newBench(config, 10, 8)
	b.steady(2*time.Second, "quote")
	clear(b.started)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Target == "t3" || s.Target == "t4" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	b.steady(10*time.Second, "quote") // 2000 jobs, 200 for each target
	g.Expect(b.started["t3"] + b.started["t4"]).To(BeNumerically("<", 500))
}

func TestABrokenKindEjectsNobody(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 10, 8)
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		if s.Task.Kind == "broken" {
			return dispatch.TaskError, time.Millisecond
		}
		return dispatch.Done, 100 * time.Millisecond
	}
	b.steady(time.Second, "quote")
	g.Expect(b.steady(2*time.Second, "broken")).To(Equal(400))
	g.Expect(b.steady(2*time.Second, "quote")).To(BeZero())
	for _, target := range b.core.Targets() {
		g.Expect(b.core.State(b.now, target.Target)).To(Equal(health.Healthy))
	}
}

// TestAStragglerIsGivenUpByWhatItsKindTakes bounds how long a start may stay
// without answer once the kind's run times are known.
func TestAStragglerIsGivenUpByWhatItsKindTakes(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 2, 8)
	var limit time.Duration
	b.serve = func(s dispatch.Start) (dispatch.Outcome, time.Duration) {
		limit = s.Deadline.Sub(b.now)
		return dispatch.Done, 100 * time.Millisecond
	}
	_, err := b.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(limit).To(Equal(30 * time.Second))
	b.steady(time.Second, "quote")
	_, err = b.submit("a", "quote", 1, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(limit).To(Equal(2 * time.Second))
}
