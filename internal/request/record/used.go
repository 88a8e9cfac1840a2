package record

import "time"

const (
	wordBits  = 64
	chunkBits = 64 * wordBits
)

// used is the set of used tickets: one bit a sequence number, in chunks that
// are dropped once every ticket in them has expired.
type used struct {
	chunks map[uint64]*chunk
}

type chunk struct {
	bits    [chunkBits / wordBits]uint64
	expires time.Time // the last expiry among the set bits
}

func newUsed() used {
	return used{chunks: make(map[uint64]*chunk)}
}

func (u used) has(seq uint64) bool {
	c, ok := u.chunks[seq/chunkBits]
	if !ok {
		return false
	}
	return c.bits[seq%chunkBits/wordBits]&(1<<(seq%wordBits)) != 0
}

func (u used) add(seq uint64, expires time.Time) {
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

func (u used) remove(seq uint64) {
	if c, ok := u.chunks[seq/chunkBits]; ok {
		c.bits[seq%chunkBits/wordBits] &^= 1 << (seq % wordBits)
	}
}

func (u used) expire(now time.Time) {
	for i, c := range u.chunks {
		if !now.Before(c.expires) {
			delete(u.chunks, i)
		}
	}
}
