package controller

import (
	"time"

	"wasabifield.example/wasabifield/internal/version/register"
)

// HostsInPushOrder returns the hosts in the order in which a controller pushes.
func HostsInPushOrder(config Config) []string {
	c := &Controller{config: config}
	for _, p := range config.Peers {
		c.links = append(c.links, newPeerLink(p, 0))
	}
	var hosts []string
	for _, l := range c.linksInPushOrder(nil) {
		hosts = append(hosts, l.Host)
	}
	return hosts
}

// RetryInterval returns retryInterval for a host that holds a value.
func RetryInterval(attemptTimeout time.Duration, unconfirmed, isChange bool, failedAttempts int) time.Duration {
	return retryInterval(attemptTimeout, firstReadInterval, unconfirmed, isChange, failedAttempts)
}

// FirstReadInterval is firstReadInterval.
const FirstReadInterval = firstReadInterval

// UnconfirmedReadIntervals returns unconfirmedReadInterval for a host without a
// value and for one that holds a value.
func UnconfirmedReadIntervals() (empty, held time.Duration) {
	c := &Controller{local: newLocalCopy()}
	empty = c.unconfirmedReadInterval()
	c.local.learn(register.Entry{Ballot: register.Ballot{Round: 1}, Value: register.Value{Version: 1, Members: []register.Member{{Host: "h", Identity: 1}}}})
	return empty, c.unconfirmedReadInterval()
}

// Superseded enqueues a Learn for each version and returns the versions that the
// link would skip.
func Superseded(versions ...uint64) []uint64 {
	l := newPeerLink(Peer{}, 0)
	learn := func(v uint64) register.Learn {
		return register.Learn{Entry: register.Entry{Value: register.Value{Version: v}}}
	}
	for _, v := range versions {
		l.enqueue(learn(v))
	}
	var skipped []uint64
	for _, v := range versions {
		if l.isSuperseded(learn(v)) {
			skipped = append(skipped, v)
		}
	}
	return skipped
}
