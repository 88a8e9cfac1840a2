package controller

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/register"
)

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

// AttemptTime is attemptTime on a host that holds a value.
func AttemptTime(usual time.Duration, unconfirmed, change bool, failed int) time.Duration {
	return attemptTime(usual, firstReads, unconfirmed, change, failed)
}

// FirstReads is firstReads.
const FirstReads = firstReads

// FirstPauses returns the time between first reads of a host that holds nothing, and
// of one that holds a value.
func FirstPauses() (empty, held time.Duration) {
	c := &Controller{copy: newLocalCopy()}
	empty = c.firstPause()
	c.copy.learn(register.Entry{Ballot: register.Ballot{Round: 1}, Value: register.Value{Version: 1, Members: []register.Member{{Host: "h", Identity: 1}}}})
	return empty, c.firstPause()
}

// Overtaken hands learned versions to a link and returns those that it would skip.
func Overtaken(versions ...uint64) []uint64 {
	l := newPeerLink(Peer{}, 0)
	learn := func(v uint64) register.Learn {
		return register.Learn{Entry: register.Entry{Value: register.Value{Version: v}}}
	}
	for _, v := range versions {
		l.send(learn(v))
	}
	var out []uint64
	for _, v := range versions {
		if l.isOvertaken(learn(v)) {
			out = append(out, v)
		}
	}
	return out
}
