package settings

import "time"

// basePeers is the number of domain peers up to which each of them is sent one
// request per Timing.BaseExchangeInterval.
const basePeers = 2

// DomainPeers returns the names of the other entry hosts of the host's failure domain.
func (s Settings) DomainPeers() []string {
	var names []string
	for _, p := range s.Peers {
		if p.Domain == s.Domain {
			names = append(names, p.Host)
		}
	}
	return names
}

// ExchangeInterval returns the time between two requests to the same domain peer. The
// interval grows in proportion to the number of domain peers, so that the total rate
// of the host's requests does not grow with it.
func (s Settings) ExchangeInterval() time.Duration {
	return s.Timing.BaseExchangeInterval * time.Duration(max(basePeers, len(s.DomainPeers()))) / basePeers
}
