package host_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// TestTaskTakesOneStartRequestAtLightLoad submits jobs one at a time through one
// of two hosts that share a target, and counts the start requests at the target
// and its refusals.
func TestTaskTakesOneStartRequestAtLightLoad(t *testing.T) {
	const jobs = 50
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "history")
	out, err := os.Create(file) // stays open: the target writes to it until the test's end
	g.Expect(err).NotTo(HaveOccurred())
	f := startFleet(t, "a1", "a2")
	f.startTargetWithHistory(history.NewWriter(out), "a", "a1", "a2")
	for range jobs {
		g.Expect(f.submit("a1", f.issueTicket("a1")).Outcome).To(Equal(job.Complete))
	}
	text, err := os.Open(file)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = text.Close() }()
	events, err := history.Read(text)
	g.Expect(err).NotTo(HaveOccurred())
	counts := map[history.EventKind]int{}
	for _, e := range events {
		counts[e.Kind]++
	}
	g.Expect(counts[history.Start]).To(Equal(jobs))
	g.Expect(counts[history.Refuse]).To(BeZero())
}
