package fleet

import (
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/parts"
)

// A pool that was handed over brings runs with leases that the former holder gave.
// If the target does not answer the new one, they count as ended only after a
// lease's time.
func TestANewSessionCountsOnLeasesOfBefore(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, MaxLease: time.Second,
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	})
	g.Expect(err).NotTo(HaveOccurred())
	s := newSession(newPool(n, parts.Pool{Domain: "north"}), Announcement{Received: time.Now()})
	now := time.Now()
	g.Expect(s.leaseOver(now)).To(BeFalse())
	g.Expect(s.leaseOver(now.Add(n.config.MaxLease))).To(BeFalse())
	g.Expect(s.leaseOver(now.Add(n.config.MaxLease + 2*leaseMargin))).To(BeTrue())
}
