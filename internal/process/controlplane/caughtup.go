package controlplane

import "sync"

// Report is what another host of the domain reported about its control state.
type Report struct {
	Version  uint64 // of the control state that the host holds
	CaughtUp bool   // whether the host is caught up
}

// caughtUpTracker decides whether a host may serve with the bundle it holds. It is
// safe for concurrent use.
type caughtUpTracker struct {
	mu       sync.Mutex
	peers    []string          // the other hosts of the domain
	reports  map[string]Report // by host; received since the start of this process
	caughtUp bool              // never reset: a host that has caught up remains caught up
}

func newCaughtUpTracker(peers []string) *caughtUpTracker {
	return &caughtUpTracker{peers: peers, reports: make(map[string]Report)}
}

// recordReport stores the latest report of a host.
func (i *caughtUpTracker) recordReport(host string, r Report) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reports[host] = r
}

// isCaughtUp reports whether update has found the host caught up before.
func (i *caughtUpTracker) isCaughtUp() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.caughtUp
}

// update re-evaluates whether this host, which holds the given version, is caught
// up, and returns the result. confirmed states that a quorum has confirmed the
// version since the start of the process.
func (i *caughtUpTracker) update(version uint64, confirmed bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.caughtUp = i.caughtUp || confirmed || i.matchesCaughtUpPeer(version) || i.isNewestInDomain(version)
	return i.caughtUp
}

// matchesCaughtUpPeer reports whether version is at least as new as that of a host
// of the domain that is caught up.
func (i *caughtUpTracker) matchesCaughtUpPeer(version uint64) bool {
	for _, peer := range i.peers {
		if r, ok := i.reports[peer]; ok && r.CaughtUp && r.Version <= version {
			return true
		}
	}
	return false
}

// isNewestInDomain reports whether all other hosts of the domain have reported and
// none has a newer version than this host has on its own disk. Version 0 means that
// this host holds no version and never suffices.
func (i *caughtUpTracker) isNewestInDomain(version uint64) bool {
	if version == 0 {
		return false
	}
	for _, peer := range i.peers {
		if r, ok := i.reports[peer]; !ok || r.Version > version {
			return false
		}
	}
	return true
}
