package record

import "time"

const (
	wordBits  = 64
	chunkBits = 64 * wordBits
)

// usedSet is the set of used tickets. It has one bit per sequence number, in chunks
// that are dropped once every marked ticket in them has expired.
type usedSet struct {
	chunks map[uint64]*chunk // by sequence number divided by chunkBits
}

type chunk struct {
	bits    [chunkBits / wordBits]uint64
	expires time.Time // latest expiry of the marked tickets
}

func newUsedSet() usedSet {
	return usedSet{chunks: make(map[uint64]*chunk)}
}

func (u usedSet) has(seq uint64) bool {
	c, ok := u.chunks[seq/chunkBits]
	if !ok {
		return false
	}
	return c.bits[seq%chunkBits/wordBits]&(1<<(seq%wordBits)) != 0
}

func (u usedSet) add(seq uint64, expires time.Time) {
	c, ok := u.chunks[seq/chunkBits]
	if !ok {
		c = &chunk{}
		u.chunks[seq/chunkBits] = c
	}
	c.bits[seq%chunkBits/wordBits] |= 1 << (seq % wordBits)
	if expires.After(c.expires) {
		c.expires = expires
	}
}

func (u usedSet) remove(seq uint64) {
	if c, ok := u.chunks[seq/chunkBits]; ok {
		c.bits[seq%chunkBits/wordBits] &^= 1 << (seq % wordBits)
	}
}

func (u usedSet) expire(now time.Time) {
	for i, c := range u.chunks {
		if !now.Before(c.expires) {
			delete(u.chunks, i)
		}
	}
}
