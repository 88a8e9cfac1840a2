package controller

import (
	"bytes"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/version/register"
)

// localCopy is the newest chosen entry that this host knows. The run loop
// writes it; any goroutine may read it.
type localCopy struct {
	mu          sync.Mutex
	entry       register.Entry
	confirmedAt time.Time   // when the entry was last known to be current
	updates     chan []byte // holds the newest content that has not been received yet
}

func newLocalCopy() *localCopy { return &localCopy{updates: make(chan []byte, 1)} }

// learn stores a chosen entry if it is newer than the stored one. It publishes
// an update only if the content differs.
func (c *localCopy) learn(e register.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.entry.IsZero() && e.Ballot.Compare(c.entry.Ballot) <= 0 {
		return
	}
	changed := !bytes.Equal(c.entry.Value.Content, e.Value.Content)
	c.entry = e
	if !changed {
		return
	}
	select {
	case <-c.updates: // discards an update that was not received
	default:
	}
	c.updates <- e.Value.Content
}

// confirm records that e was current at the given time, if e is the stored
// entry.
func (c *localCopy) confirm(e register.Entry, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Ballot == c.entry.Ballot && at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// get returns the entry and when it was last known to be current, zero if
// never since the process started.
func (c *localCopy) get() (register.Entry, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry, c.confirmedAt
}
