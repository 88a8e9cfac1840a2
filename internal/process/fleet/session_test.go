package fleet

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// renewRecorder records the waits that renew requests ask targets for.
type renewRecorder struct {
	TargetClient
	waits chan time.Duration
}

func (r renewRecorder) Renew(_ context.Context, _ TargetRef, asked RenewRequest) (TargetReport, error) {
	r.waits <- asked.MaxWait
	return TargetReport{}, nil
}

// Deployments differ in the longest lease. If a target could delay its answer for
// nearly as long as the lease, the lease of its runs would expire before the next
// renewal.
func TestARenewalIsSentWellBeforeTheLeaseExpires(t *testing.T) {
	g := NewWithT(t)
	for lease, want := range map[time.Duration]time.Duration{
		time.Second: renewMaxWait, 5 * time.Second: renewMaxWait, 450 * time.Millisecond: 150 * time.Millisecond,
	} {
		client := renewRecorder{waits: make(chan time.Duration, 1)}
		n, err := New(Config{
			Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, MaxLease: lease, Targets: client,
			Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
		})
		g.Expect(err).NotTo(HaveOccurred())
		s := newSession(newPool(n, shards.Pool{Domain: "north"}), Announcement{ReceivedAt: time.Now()})
		s.ctx = context.Background()
		s.clearing.Store(false)
		s.activeRuns.Store(1)
		_, err = s.renew()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(<-client.waits).To(Equal(want))
	}
}

// A pool that was handed over brings runs with leases from the former holder. If the
// target does not answer the new holder, these runs count as ended only after the
// duration of a lease.
func TestANewSessionWaitsForLeasesOfTheFormerHolder(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, MaxLease: time.Second,
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	})
	g.Expect(err).NotTo(HaveOccurred())
	s := newSession(newPool(n, shards.Pool{Domain: "north"}), Announcement{ReceivedAt: time.Now()})
	now := time.Now()
	g.Expect(s.leaseExpired(now)).To(BeFalse())
	g.Expect(s.leaseExpired(now.Add(n.config.MaxLease))).To(BeFalse())
	g.Expect(s.leaseExpired(now.Add(n.config.MaxLease + 2*leaseMargin))).To(BeTrue())
}
