package settings

import "time"

// basePeers is the number of hosts that are asked once in each
// Timing.Exchange.
const basePeers = 2

// DomainPeers returns the other entry hosts of the host's failure domain.
func (s Settings) DomainPeers() []string {
	var names []string
	for _, p := range s.Peers {
		if p.Domain == s.Domain {
			names = append(names, p.Host)
		}
	}
	return names
}

// ExchangeInterval returns the time between two questions to one neighbour. It
// grows with their number, so that a host's control traffic does not.
func (s Settings) ExchangeInterval() time.Duration {
	return s.Timing.BaseExchangeInterval * time.Duration(max(basePeers, len(s.DomainPeers()))) / basePeers
}
