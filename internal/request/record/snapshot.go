package record

import (
	"encoding/binary"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// Snapshot is the content of a Table without its jobs in progress, for the handover
// to another host. Once it is taken, no job may be started from the original Table,
// since both hosts could then start the same job.
type Snapshot struct {
	ExpiryHorizon time.Time
	Used          []UsedChunk
	Answers       []StoredAnswer // oldest answer first
}

// UsedChunk holds the used marks of chunkBits consecutive sequence numbers.
type UsedChunk struct {
	Index   uint64    // sequence number divided by chunkBits
	Bits    []byte    // chunkBits bits in words of 8 bytes, big endian
	Expires time.Time // latest expiry of the marked tickets
}

// StoredAnswer is the answer to the job of one ticket.
type StoredAnswer struct {
	Seq    uint64
	Digest uint64 // of the job's content; 0 if Void
	Void   bool   // the ticket was voided: the answer applies to any job content
	Answer *job.Answer
}

// Snapshot returns the answered jobs and the used tickets.
func (t *Table) Snapshot() Snapshot {
	s := Snapshot{ExpiryHorizon: t.expiryHorizon}
	for index, c := range t.used.chunks {
		s.Used = append(s.Used, UsedChunk{Index: index, Bits: c.encodeBits(), Expires: c.expires})
	}
	for _, seq := range t.answeredSeqs {
		e := t.entries[seq]
		s.Answers = append(s.Answers, StoredAnswer{Seq: seq, Digest: e.digest, Void: e.void, Answer: e.answer})
	}
	return s
}

// Restore returns a Table with the content of a Snapshot. The limits in config apply
// to its answers.
func Restore(config Config, s Snapshot) *Table {
	t := NewTable(config)
	t.expiryHorizon = s.ExpiryHorizon
	for _, u := range s.Used {
		t.used.chunks[u.Index] = decodeChunk(u)
	}
	for _, a := range s.Answers {
		t.entries[a.Seq] = &entry{digest: a.Digest, void: a.Void}
		t.Finish(a.Seq, a.Answer)
	}
	return t
}

func (c *chunk) encodeBits() []byte {
	out := make([]byte, 0, chunkBits/8)
	for _, word := range c.bits {
		out = binary.BigEndian.AppendUint64(out, word)
	}
	return out
}

func decodeChunk(u UsedChunk) *chunk {
	c := &chunk{expires: u.Expires}
	for i := range c.bits {
		if len(u.Bits) >= (i+1)*8 {
			c.bits[i] = binary.BigEndian.Uint64(u.Bits[i*8:])
		}
	}
	return c
}
