package settings_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/settings"
)

// TestExchangeRequestRateIsBounded computes how many requests per second a host sends
// to the other hosts of its domain, for domains of 1 to 20 hosts. Requests to other
// domains are not included.
func TestExchangeRequestRateIsBounded(t *testing.T) {
	g := NewWithT(t)
	for hosts := 1; hosts <= 20; hosts++ {
		s := settings.Default()
		s.Domain = "north"
		s.Peers = []settings.Peer{{Host: "b1", Domain: "south"}}
		for i := 1; i < hosts; i++ {
			s.Peers = append(s.Peers, settings.Peer{Host: fmt.Sprint("a", i), Domain: "north"})
		}
		g.Expect(s.DomainPeers()).To(HaveLen(hosts - 1))
		requestsPerSecond := float64(hosts-1) / s.ExchangeInterval().Seconds()
		g.Expect(requestsPerSecond).To(BeNumerically("<=", 8), "%d hosts", hosts)
	}
	g.Expect(settings.Default().ExchangeInterval()).To(Equal(250 * time.Millisecond))
}
