package host

import (
	"encoding/json"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

const maxOutboxBytes = 16 << 20

// answerOutbox holds the answers that wait to be copied with the next exchange. When
// it is full the oldest is dropped: a copy proves something only where it is
// found.
type answerOutbox struct {
	mu      sync.Mutex
	limit   int // answers
	waiting []*peerpb.AnswerCopy
	bytes   int                        // of the answers
	successor    func(now time.Time) string // the host that gets the copies, empty if none
}

// Copy implements dispatch.Copier.
func (o *answerOutbox) Copy(key record.CopyKey, digest uint64, answer *job.Answer) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bytes += len(encoded)
	o.waiting = append(o.waiting, &peerpb.AnswerCopy{
		Host:        key.Host,
		Incarnation: key.Incarnation,
		Seq:         key.Seq,
		Digest:      digest,
		Answer:      encoded,
	})
	for len(o.waiting) > o.limit || o.bytes > maxOutboxBytes {
		o.bytes -= len(o.waiting[0].GetAnswer())
		o.waiting = o.waiting[1:]
	}
}

// takeFor returns the copies to send to a host: all of them if it is the heir.
func (o *answerOutbox) takeFor(host string) []*peerpb.AnswerCopy {
	if o.successor(time.Now()) != host {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	copies := o.waiting
	o.waiting = nil
	o.bytes = 0
	return copies
}

// copyReceiver returns the host of the domain that keeps copies of this host's
// answers: the next by name that is alive, so that the hosts of a domain keep
// each other's.
func (h *Host) copyReceiver(now time.Time) string {
	candidates := h.peerHosts.availableHosts(now, h.settings.Domain)
	for _, name := range candidates {
		if name > h.settings.Host {
			return name
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0]
}

func (h *Host) storeCopy(c *peerpb.AnswerCopy) {
	answer := &job.Answer{}
	if err := json.Unmarshal(c.GetAnswer(), answer); err != nil {
		h.log.Warn("A copied answer could not be read.", "error", err)
		return
	}
	issuer := ticket.Issuer{Host: c.GetHost(), Incarnation: c.GetIncarnation()}
	err := h.loop.PutCopy(record.CopyKey{Issuer: issuer, Seq: c.GetSeq()}, c.GetDigest(), answer)
	if err != nil {
		h.log.Warn("A copied answer was not kept.", "error", err)
	}
}
