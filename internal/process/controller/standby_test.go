package controller_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/version/store/storetest"
)

// standbySite has three voters and a fourth disk as a standby.
type standbySite struct {
	*site
	mu   sync.Mutex
	lost map[string]bool
}

func newStandbySite(t *testing.T) *standbySite {
	s := &standbySite{lost: map[string]bool{}}
	s.site = newAdjustedSite(t, fastTiming, 4, 5, func(c *controller.Config) {
		c.InitialVoters = []string{"h0", "h1", "h2"}
		c.VoterCount = 3
		c.Lost = s.isLost
	})
	return s
}

func (s *standbySite) isLost(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost[host]
}

func (s *standbySite) lose(host string) {
	s.shutdown(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[host] = true
}

// awaitVoters waits until the local copy of every running host names these voters.
func (s *standbySite) awaitVoters(voters ...string) {
	s.t.Helper()
	s.g.Eventually(func() bool {
		for _, n := range s.nodes {
			var names []string
			for _, m := range n.Status().Members {
				names = append(names, m.Host)
			}
			if !slices.Equal(names, voters) {
				return false
			}
		}
		return true
	}, waitTimeout, 5*time.Millisecond).Should(BeTrue())
}

func TestStandbyReplacesALostVoter(t *testing.T) {
	s := newStandbySite(t)
	s.awaitVoters("h0", "h1", "h2")
	s.g.Expect(s.change("h4", "before")).To(Succeed())
	s.lose("h0")
	s.awaitVoters("h1", "h2", "h3")
	s.lose("h1")
	s.g.Expect(s.change("h4", "after")).To(Succeed())
	content, confirmed, _, err := s.nodes["h3"].Read(context.Background())
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(confirmed).To(BeTrue())
	s.g.Expect(string(content)).To(Equal("before;after;"))
}

func TestStandbyReplacesALeavingVoter(t *testing.T) {
	s := newStandbySite(t)
	s.awaitVoters("h0", "h1", "h2")
	s.g.Expect(s.nodes["h0"].Leave(context.Background())).To(Succeed())
	s.awaitVoters("h1", "h2", "h3")
	s.shutdown("h0")
	s.lose("h1")
	s.g.Expect(s.change("h4", "after")).To(Succeed())
}

// A host that starts before it can reach its peers must not wait for a whole
// attempt timeout, here one hour, before it may serve.
func TestUnconfirmedReadIsRetriedBeforeTheAttemptTimeout(t *testing.T) {
	s := newSite(t, fastTiming, 1, 2)
	s.awaitConvergence()
	s.crash("h1")
	s.timing.AttemptTimeout = time.Hour
	s.bus.setDisconnected("h1", true)
	s.start("h1")
	time.Sleep(20 * time.Millisecond) // lets the first read be lost; otherwise the test would not cover the retry
	s.bus.setDisconnected("h1", false)
	s.g.Eventually(func() time.Duration { return s.nodes["h1"].Status().Age }, 20*time.Second, 5*time.Millisecond).
		Should(BeNumerically(">=", 0))
}

// The voters must not be fewer while the standby's disk is full: then one more full disk
// refuses all changes, and one lost disk blocks the register for good.
func TestLeavingVoterDoesNotShrinkTheQuorumWhileTheStandbysDiskIsFull(t *testing.T) {
	s := newStandbySite(t)
	s.awaitVoters("h0", "h1", "h2")
	s.g.Expect(s.change("h4", "before")).To(Succeed())
	s.disks["h3"].SetFull(true, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.nodes["h0"].Leave(ctx)
	s.shutdown("h0")
	s.disks["h3"].SetFull(false, 0)
	s.disks["h1"].SetFull(true, 0)
	s.start("h0")
	changeCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := s.nodes["h4"].Change(changeCtx, appendWord("while h1 is full"))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.shutdown("h1")
	s.disks["h1"] = storetest.NewFS()
	for _, name := range []string{"h0", "h2", "h3", "h4"} {
		s.crash(name)
	}
	for _, name := range s.hosts {
		s.start(name)
	}
	_, err = s.nodes["h4"].Change(changeCtx, appendWord("after h1 lost its disk"))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(string(s.nodes["h4"].Status().Content)).To(Equal("before;while h1 is full;after h1 lost its disk;"))
}
