package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// stopRecorder records when stop requests are sent, and answers none.
type stopRecorder struct {
	silentTargets
	sentAt *[]time.Time
}

func (r stopRecorder) Stop(ctx context.Context, _ TargetRef, _ scheduler.Run, _ uint64) error {
	*r.sentAt = append(*r.sentAt, time.Now())
	<-ctx.Done()
	return ctx.Err()
}

// Starts that stayed unanswered held the copies of stops back, until the lease of the target ended.
func TestAStopWaitsForTheBudgetOfCopies(t *testing.T) {
	n := newTestPool(t, "127.0.0.1:1").node
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(n, shards.Pool{Domain: "north"})
		var sentAt []time.Time
		p.node.config.Targets = stopRecorder{sentAt: &sentAt}
		p.answerTimer.Observe(time.Millisecond, time.Now())
		for p.answerTimer.TryCharge() {
		}
		s := newSession(p, deskTargetAnnouncement(1, 4000, time.Now()))
		ctx, cancel := context.WithCancel(t.Context())
		s.ctx = ctx
		s.requestStop(scheduler.Run{Job: "j", Number: 1}, false)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		for i, at := range sentAt[1:] {
			g.Expect(at.Sub(sentAt[i])).To(BeNumerically("<=", 100*time.Millisecond), "a tenth of a second is the bound, request %d", i+1)
		}
		g.Expect(len(sentAt)).To(BeNumerically(">=", 10))
	})
}
