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

func TestAQuietTeamIsServedDuringAFlood(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 1, 2)
	for range 10 {
		_, err := b.submit("flood", "", 100, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	b.pass(time.Second)
	before := b.totalStarts()
	id, err := b.submit("quiet", "", 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	for b.answers[id] == nil && b.totalStarts() < 1000 {
		b.pass(10 * time.Millisecond)
	}
	g.Expect(b.totalStarts() - before).To(BeNumerically("<=", 6))
}

func TestAJobThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 1, 2)
	_, err := b.submit("a", "quote", 20, 0)
	g.Expect(err).NotTo(HaveOccurred())
	b.pass(2 * time.Second)
	_, err = b.submit("a", "quote", 100, 0) // 5 s of work
	g.Expect(err).NotTo(HaveOccurred())
	_, err = b.submit("a", "quote", 1, 2*time.Second)
	g.Expect(failure.KindOf(err)).To(Equal(failure.DeadlineTooShort))
	id, err := b.submit("a", "quote", 1, 7*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	b.pass(7 * time.Second)
	g.Expect(b.answers[id].Outcome).To(Equal(job.Complete))
}

func TestAQuotaBoundsWhatRuns(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Teams = map[string]dispatch.Team{"bounded": {Quota: 3}, "free": {}}
	b := newBench(config, 2, 8)
	for _, team := range []string{"bounded", "free"} {
		_, err := b.submit(team, "", 100, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	b.pass(time.Second)
	g.Expect(b.most).To(Equal(map[string]int{"bounded": 3, "free": 13}))
}

func TestInventedTeamsShareOneTeamsPart(t *testing.T) {
	g := NewWithT(t)
	config := dispatch.DefaultConfig()
	config.Teams = map[string]dispatch.Team{"listed": {}}
	b := newBench(config, 1, 10)
	for i := range 9 {
		_, err := b.submit(fmt.Sprintf("invented-%d", i), "", 100, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := b.submit("listed", "", 200, 0)
	g.Expect(err).NotTo(HaveOccurred())
	b.pass(time.Second)
	g.Expect(b.running["listed"]).To(BeNumerically("~", 5, 1))
}

// TestACancellationWaveLeavesTheOthers withdraws most of a full queue; the
// rest runs as if nothing else had been there.
func TestACancellationWaveLeavesTheOthers(t *testing.T) {
	g := NewWithT(t)
	b := newBench(dispatch.DefaultConfig(), 1, 2)
	for range 4000 {
		_, err := b.submit("a", "", 2, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	for id := dispatch.JobID(2); id < 4000; id++ {
		b.core.Cancel(b.now, id)
	}
	b.take()
	g.Expect(b.core.Queued()).To(Equal(2))
	b.pass(time.Second)
	g.Expect(b.totalStarts()).To(Equal(4))
	g.Expect(b.answers[4000].Outcome).To(Equal(job.Complete))
	g.Expect(b.answers[2].Outcome).To(Equal(job.NotRun))
}

// BenchmarkCancellationWave withdraws the jobs of a full queue, per job.
func BenchmarkCancellationWave(b *testing.B) {
	const jobs = 9000
	for b.Loop() {
		b.StopTimer()
		w := newBench(dispatch.DefaultConfig(), 1, 1)
		for range jobs {
			_, _ = w.submit("a", "", 1, 0)
		}
		b.StartTimer()
		for id := dispatch.JobID(1); id <= jobs; id++ {
			w.core.Cancel(w.now, id)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/job")
}
