package controlplane

import "sync"

// Report is what another host of the domain said of its control state.
type Report struct {
	Version  uint64
	CaughtUp bool
}

// informed decides whether a host's bundle may be served. It is safe for
// concurrent use.
type informed struct {
	mu    sync.Mutex
	peers []string          // the other hosts of the domain
	said  map[string]Report // since this host's start
	done  bool              // once informed, a host stays so
}

func newInformed(peers []string) *informed {
	return &informed{peers: peers, said: make(map[string]Report)}
}

// hear takes in what a host said of itself.
func (i *informed) hear(host string, r Report) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.said[host] = r
}

// already reports whether the host was found informed before.
func (i *informed) already() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.done
}

// check reports whether a host that holds a version is informed. Confirmed
// says that a quorum confirmed the version since the host's start.
func (i *informed) check(version uint64, confirmed bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.done = i.done || confirmed || i.fromPeer(version) || i.fromDisk(version)
	return i.done
}

// fromPeer reports whether the host caught up with an informed one.
func (i *informed) fromPeer(version uint64) bool {
	for _, peer := range i.peers {
		if r, ok := i.said[peer]; ok && r.CaughtUp && r.Version <= version {
			return true
		}
	}
	return false
}

// fromDisk reports whether the version on the host's own disk is as new as
// that of every other host of the domain.
func (i *informed) fromDisk(version uint64) bool {
	if version == 0 {
		return false
	}
	for _, peer := range i.peers {
		if r, ok := i.said[peer]; !ok || r.Version > version {
			return false
		}
	}
	return true
}
