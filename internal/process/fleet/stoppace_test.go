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
	sentAt chan<- time.Time // buffered for all of them
}

func (r stopRecorder) Stop(ctx context.Context, _ TargetRef, _ scheduler.Run, _ uint64) error {
	r.sentAt <- time.Now()
	<-ctx.Done()
	return ctx.Err()
}

// Starts that stayed unanswered held the copies of stops back, until the lease of the target ended.
func TestAStopWaitsForTheBudgetOfCopies(t *testing.T) {
	n := newTestPool(t, "127.0.0.1:1").node
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(n, shards.Pool{Domain: "north"})
		sent := make(chan time.Time, 100)
		p.node.config.Targets = stopRecorder{sentAt: sent}
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
		close(sent)
		requests, former := 0, time.Time{}
		for at := range sent {
			if requests++; requests > 1 {
				g.Expect(at.Sub(former)).To(BeNumerically("<=", 100*time.Millisecond), "a tenth of a second is the bound, request %d", requests)
			}
			former = at
		}
		g.Expect(requests).To(BeNumerically(">=", 10))
	})
}
