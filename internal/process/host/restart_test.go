package host_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/version/control"
)

const (
	rollouts               = 50 // bundle versions rolled out, with 3 changes of the control state each
	diskHostStopsAtVersion = 10 // c1 stops before this version is rolled out
)

// auditTrail reads the whole audit trail that a host serves, page by page, and
// verifies it up to the head of the last page.
func (f *fleet) auditTrail(name string) (entries []control.Entry, err error) {
	for {
		var page wire.AuditPage
		f.getJSON(name, fmt.Sprintf("%s?from=%d", wire.PathAudit, len(entries)+1), &page)
		entries = append(entries, page.Entries...)
		if len(page.Entries) == 0 || uint64(len(entries)) >= page.Head.Index {
			return entries, control.VerifyTo(page.Head, entries)
		}
	}
}

// TestHostsRecoverBundleAndTrailAfterRestart stops one disk host, makes more
// changes than the control state keeps entries, and then restarts all hosts at
// once. The disk host must fetch the missing entries from another.
func TestHostsRecoverBundleAndTrailAfterRestart(t *testing.T) {
	g := NewWithT(t)
	f := startFleetWith(t, withDisks(t, "a1", "b1", "c1"), "a1", "a2", "b1", "c1")
	for version := uint64(1); version <= rollouts; version++ {
		if version == diskHostStopsAtVersion {
			f.drainHost["c1"]()
		}
		f.rollOut("a2", version, version-1)
	}
	for _, name := range []string{"a1", "a2", "b1"} {
		f.drainHost[name]()
	}
	for _, s := range f.hosts {
		f.startHost(s)
	}
	for name := range f.hosts {
		g.Eventually(func() int { return f.countAliveHosts(name) }, eventuallyTimeout, pollInterval).Should(Equal(len(f.hosts)-1), name)
		g.Eventually(func() uint64 { return f.bundleInForce(name) }, eventuallyTimeout, pollInterval).Should(BeEquivalentTo(rollouts), name)
	}
	for _, name := range []string{"a1", "b1", "c1"} {
		g.Eventually(func(g Gomega) {
			entries, err := f.auditTrail(name)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(entries)).To(BeNumerically(">=", 3*rollouts))
		}, eventuallyTimeout, pollInterval).Should(Succeed(), name)
	}
}
