package record

import (
	"encoding/binary"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// Snapshot is a Book without its jobs in progress, to be handed to another
// host. The Book that it was taken from must start nothing afterwards.
type Snapshot struct {
	ExpiryHorizon time.Time
	Used          []UsedChunk
	Answers       []StoredAnswer // oldest first
}

// UsedChunk holds the marks of one run of tickets.
type UsedChunk struct {
	Index   uint64
	Bits    []byte // 8 bytes a word, big endian
	Expires time.Time
}

// StoredAnswer is the answer to one ticket's job.
type StoredAnswer struct {
	Seq    uint64
	Digest uint64
	Void   bool
	Answer *job.Answer
}

// Snapshot returns what the Book holds of answered jobs and used tickets.
func (b *Table) Snapshot() Snapshot {
	s := Snapshot{ExpiryHorizon: b.horizon}
	for index, c := range b.used.chunks {
		s.Used = append(s.Used, UsedChunk{Index: index, Bits: c.bytes(), Expires: c.expires})
	}
	for _, seq := range b.stored {
		e := b.entries[seq]
		s.Answers = append(s.Answers, StoredAnswer{Seq: seq, Digest: e.digest, Void: e.void, Answer: e.answer})
	}
	return s
}

// Restore returns a Book with what s holds.
func Restore(config Config, s Snapshot) *Table {
	b := NewTable(config)
	b.horizon = s.ExpiryHorizon
	for _, u := range s.Used {
		b.used.chunks[u.Index] = chunkFrom(u)
	}
	for _, a := range s.Answers {
		b.entries[a.Seq] = &entry{digest: a.Digest, void: a.Void}
		b.Finish(a.Seq, a.Answer)
	}
	return b
}

func (c *chunk) bytes() []byte {
	out := make([]byte, 0, chunkBits/8)
	for _, word := range c.bits {
		out = binary.BigEndian.AppendUint64(out, word)
	}
	return out
}

func chunkFrom(u UsedChunk) *chunk {
	c := &chunk{expires: u.Expires}
	for i := range c.bits {
		if len(u.Bits) >= (i+1)*8 {
			c.bits[i] = binary.BigEndian.Uint64(u.Bits[i*8:])
		}
	}
	return c
}
