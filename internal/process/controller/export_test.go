package controller

// PushOrder returns the hosts in the order in which a controller pushes.
func PushOrder(config Config) []string {
	c := &Controller{config: config}
	for _, p := range config.Peers {
		c.links = append(c.links, newPeerLink(p, 0))
	}
	var hosts []string
	for _, l := range c.inOrder(nil) {
		hosts = append(hosts, l.Host)
	}
	return hosts
}

// AttemptTime is attemptTime.
var AttemptTime = attemptTime

// FirstReads is firstReads.
const FirstReads = firstReads
