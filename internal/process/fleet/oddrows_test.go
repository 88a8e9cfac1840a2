package fleet

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// stubbornTarget counts the requests to stop a run and answers none of them.
type stubbornTarget struct {
	silentTargets
	stops *atomic.Int64
}

func (t stubbornTarget) Stop(ctx context.Context, _ TargetRef, _ scheduler.Run, _ uint64) error {
	t.stops.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// Each report began another series of stop requests for a run that a target goes on listing.
func TestARunThatDoesNotStopIsNotStoppedByEachReportAnew(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	target := stubbornTarget{stops: new(atomic.Int64)}
	p.node.config.Targets = target
	s := newSession(p, deskTargetAnnouncement(1, 4000, now))
	s.ctx, s.cancel = context.WithCancel(t.Context())
	odd := TargetReport{Running: []RunningRun{{Run: scheduler.Run{Job: "a b", Step: -1, Index: 7, Number: 1}}}}
	const reports = 500
	for range reports {
		p.handleReport(s, odd, now)
	}
	g.Eventually(target.stops.Load).Should(BeNumerically(">", 0))
	g.Consistently(target.stops.Load, "50ms", "10ms").Should(BeNumerically("<", reports/10))
	s.close()
}

// A row that cannot be read may name a run of the former holder, until its lease has expired.
func TestATargetWithUnreadableRowsGetsWorkOnceFormerLeasesHaveExpired(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.node.config.Targets = idleTargets{}
	p.handleAnnouncement(deskTargetAnnouncement(1, 16000, now), now)
	s := p.sessions["t"]
	s.close()
	report := TargetReport{Unreadable: 1, FirstError: errors.New("odd")}
	submitTestJob(p, "j", now)
	p.handleReport(s, report, now.Add(10*time.Millisecond))
	g.Expect(s.clearing.Load()).To(BeTrue())
	p.handleReport(s, report, time.Now().Add(p.node.longestLease()))
	g.Expect(s.clearing.Load()).To(BeFalse())
}
