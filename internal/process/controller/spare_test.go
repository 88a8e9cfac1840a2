package controller_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/controller"
)

// spareSite is three voters with a fourth disk as a spare.
type spareSite struct {
	*site
	mu   sync.Mutex
	lost map[string]bool
}

func newSpareSite(t *testing.T) *spareSite {
	s := &spareSite{lost: map[string]bool{}}
	s.site = newAdjustedSite(t, quick, 4, 5, func(c *controller.Config) {
		c.InitialVoters = []string{"h0", "h1", "h2"}
		c.VoterCount = 3
		c.Lost = s.isLost
	})
	return s
}

func (s *spareSite) isLost(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost[host]
}

func (s *spareSite) lose(host string) {
	s.halt(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[host] = true
}

// awaitVoters waits until every running host knows these voters.
func (s *spareSite) awaitVoters(voters ...string) {
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
	}, limit, 5*time.Millisecond).Should(BeTrue())
}

func TestASpareTakesTheVoteOfALostHost(t *testing.T) {
	s := newSpareSite(t)
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

func TestAStoppingHostHandsItsVoteToASpare(t *testing.T) {
	s := newSpareSite(t)
	s.awaitVoters("h0", "h1", "h2")
	s.g.Expect(s.nodes["h0"].Leave(context.Background())).To(Succeed())
	s.awaitVoters("h1", "h2", "h3")
	s.halt("h0")
	s.lose("h1")
	s.g.Expect(s.change("h4", "after")).To(Succeed())
}

// A host that starts before its peers can be reached must not wait for the time
// of a whole attempt, here an hour, until it may serve.
func TestTheFirstReadIsRepeatedSoon(t *testing.T) {
	s := newSite(t, quick, 1, 2)
	s.settle()
	s.crash("h1")
	s.timing.AttemptTimeout = time.Hour
	s.bus.setCut("h1", true)
	s.start("h1")
	time.Sleep(20 * time.Millisecond) // lets the first read be lost; without it the test proves less
	s.bus.setCut("h1", false)
	s.g.Eventually(func() time.Duration { return s.nodes["h1"].Status().Age }, 20*time.Second, 5*time.Millisecond).
		Should(BeNumerically(">=", 0))
}
