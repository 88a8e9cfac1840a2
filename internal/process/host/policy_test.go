package host

import (
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

func bundleWithVersion(version uint64) bundle.Bundle {
	b := bundle.Default()
	b.Version = version
	return b
}

func TestBundleInForceNeverReverts(t *testing.T) {
	g := NewWithT(t)
	s := settings.Default()
	s.Host, s.Domain = "a1", "north"
	h, err := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct{ offered, inForce uint64 }{{3, 3}, {2, 3}, {3, 3}, {7, 7}, {0, 7}} {
		h.setBundle(bundleWithVersion(c.offered), "")
		g.Expect(*h.BundleVersion()).To(Equal(c.inForce))
	}
}

func TestJobOverBundleLimitsIsRefusedNamingTheField(t *testing.T) {
	b := bundleWithVersion(1)
	b.Limits.TasksPerJob = 2
	b.Limits.PayloadBytes = 4
	b.Deadlines.Greatest = time.Second
	cases := map[string]*job.Spec{
		"":                 {DeadlineMS: 1000, Tasks: []job.Task{{}, {Payload: []byte(`1234`)}}},
		"tasks":            {Tasks: make([]job.Task, 3)},
		"deadline_ms":      {DeadlineMS: 1001},
		"tasks[1].payload": {Tasks: []job.Task{{}, {Payload: []byte(`12345`)}}},
	}
	for field, spec := range cases {
		t.Run(field, func(t *testing.T) {
			g := NewWithT(t)
			err := (&bundleInForce{Bundle: b}).checkLimits(spec)
			if field == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			refusal, ok := failure.As(err)
			g.Expect(ok).To(BeTrue())
			g.Expect(refusal.Field).To(Equal(field))
		})
	}
}

func TestTeamQuotasOfTheBundleReachTheCore(t *testing.T) {
	g := NewWithT(t)
	b := bundleWithVersion(1)
	b.Teams = []bundle.Team{{Name: "huts", Quota: bundle.Quota{InProgress: 10, Queued: 20}}}
	b.OtherTeams = bundle.Quota{InProgress: 3, Queued: 4}
	c := dispatchConfig(b, settings.Default())
	g.Expect(c.Teams).To(Equal(map[string]dispatch.Team{
		"huts":              {Quota: 10, MaxQueued: 20},
		dispatch.OtherTeams: {Quota: 3, MaxQueued: 4},
	}))
}
