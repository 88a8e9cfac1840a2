package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

func TestTeamWithOneTaskIsServedDuringAnotherTeamsFlood(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 1, 2)
	for range 10 {
		_, err := sim.submit("flood", "", 100, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	sim.advance(time.Second)
	before := sim.totalStarts()
	id, err := sim.submit("quiet", "", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	for sim.answers[id] == nil && sim.totalStarts() < 1000 {
		sim.advance(10 * time.Millisecond)
	}
	g.Expect(sim.totalStarts() - before).To(BeNumerically("<=", 6))
}

func TestJobThatCannotMeetItsDeadlineIsRefusedAtSubmission(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 1, 2)
	_, err := sim.submit("a", "quote", 20, 0)
	g.Expect(err).NotTo(HaveOccurred())
	sim.advance(2 * time.Second)
	_, err = sim.submit("a", "quote", 100, 0) // 5 s of work
	g.Expect(err).NotTo(HaveOccurred())
	_, err = sim.submit("a", "quote", 1, 2*time.Second)
	g.Expect(failure.KindOf(err)).To(Equal(failure.DeadlineTooShort))
	id, err := sim.submit("a", "quote", 1, 7*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	sim.advance(7 * time.Second)
	g.Expect(sim.answers[id].Outcome).To(Equal(job.Complete))
}

func TestQuotaLimitsRunningTasks(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Teams = map[string]dispatch.Team{"bounded": {Quota: 3}, "free": {}}
	sim := newSimulator(config, 2, 8)
	for _, team := range []string{"bounded", "free"} {
		_, err := sim.submit(team, "", 100, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	sim.advance(time.Second)
	g.Expect(sim.maxRunning).To(Equal(map[string]int{"bounded": 3, "free": 13}))
}

func TestUnlistedTeamsShareTheSlotsOfOneTeam(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Teams = map[string]dispatch.Team{"listed": {}}
	sim := newSimulator(config, 1, 10)
	for i := range 9 {
		_, err := sim.submit(fmt.Sprintf("invented-%d", i), "", 100, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := sim.submit("listed", "", 200, 0)
	g.Expect(err).NotTo(HaveOccurred())
	sim.advance(time.Second)
	g.Expect(sim.running["listed"]).To(BeNumerically("~", 5, 1))
}

// TestMassCancellationLeavesOtherJobsUnaffected cancels all but two of 4000 jobs: the
// remaining jobs run as if the cancelled jobs had not been submitted.
func TestMassCancellationLeavesOtherJobsUnaffected(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulator(dispatch.DefaultConfig(), 1, 2)
	for range 4000 {
		_, err := sim.submit("a", "", 2, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	for id := dispatch.JobID(2); id < 4000; id++ {
		sim.core.Cancel(sim.now, id)
	}
	sim.applyEffects()
	g.Expect(sim.core.QueuedTasks()).To(Equal(2))
	sim.advance(time.Second)
	g.Expect(sim.totalStarts()).To(Equal(4))
	g.Expect(sim.answers[4000].Outcome).To(Equal(job.Complete))
	g.Expect(sim.answers[2].Outcome).To(Equal(job.NotRun))
}

// BenchmarkMassCancellation measures the cancellation of 9000 queued jobs, per job.
func BenchmarkMassCancellation(b *testing.B) {
	const jobs = 9000
	for b.Loop() {
		b.StopTimer()
		sim := newSimulator(dispatch.DefaultConfig(), 1, 1)
		for range jobs {
			_, _ = sim.submit("a", "", 1, 0)
		}
		b.StartTimer()
		for id := dispatch.JobID(1); id <= jobs; id++ {
			sim.core.Cancel(sim.now, id)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/job")
}
