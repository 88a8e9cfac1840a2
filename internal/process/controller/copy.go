package controller

import (
	"bytes"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/version/register"
)

// localCopy is the newest chosen entry that the host holds. The owner writes
// it; any goroutine reads it.
type localCopy struct {
	mu        sync.Mutex
	entry     register.Entry
	confirmed time.Time   // when the entry was last known to be current
	updates   chan []byte // holds the newest content that was not taken yet
}

func newLocalCopy() *localCopy { return &localCopy{updates: make(chan []byte, 1)} }

// learn takes in a chosen entry unless a newer one is held. An update is
// published only if the content differs.
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
	case <-c.updates: // nobody took the update before
	default:
	}
	c.updates <- e.Value.Content
}

// confirm notes that the held entry was current at a time, if it is the given
// one or newer.
func (c *localCopy) confirm(e register.Entry, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Ballot == c.entry.Ballot && at.After(c.confirmed) {
		c.confirmed = at
	}
}

// get returns the entry and when it was last known to be current, zero if
// never since the process started.
func (c *localCopy) get() (register.Entry, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry, c.confirmed
}
