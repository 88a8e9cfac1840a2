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

// answerOutbox queues the answers that are copied to another host with the next
// exchange. When it is full the oldest answers are dropped. That is safe: a
// copy that is found proves how a job ended, a missing one proves nothing.
type answerOutbox struct {
	mu        sync.Mutex
	limit     int // greatest number of answers
	waiting   []*peerpb.AnswerCopy
	bytes     int                        // encoded size of the queued answers
	successor func(now time.Time) string // returns the host that receives the copies, empty if there is none
}

// Copy implements dispatch.Copier.
func (o *answerOutbox) Copy(key record.TicketID, digest uint64, answer *job.Answer) {
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

// takeFor removes and returns the copies to send to host: all of them if host
// receives the copies of this host's answers, none otherwise. Copies whose
// exchange fails are not sent again.
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
// answers: the next available one in the order of names, and after the last
// name the first, so that the hosts of a domain keep each other's copies. It
// returns an empty name if no other host is available.
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
		h.log.Warn("A copied answer could not be decoded.", "error", err)
		return
	}
	issuer := ticket.Issuer{Host: c.GetHost(), Incarnation: c.GetIncarnation()}
	err := h.loop.StoreCopy(record.TicketID{Issuer: issuer, Seq: c.GetSeq()}, c.GetDigest(), answer)
	if err != nil {
		h.log.Warn("The loop did not accept a copied answer.", "error", err)
	}
}
