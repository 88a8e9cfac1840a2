package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Bounded is a writer that never blocks: lines wait in a ring for one goroutine
// to write them, and a line that finds the ring full is dropped and counted.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closed  atomic.Bool
	done    chan struct{}
}

const (
	// writeBatch is how many bytes of lines are written at once at the most.
	writeBatch = 32 << 10
	// writePause is how long a line waits for others: a write for each line
	// would be a good part of what a small host does. A process that is killed
	// loses the lines of this time.
	writePause = 10 * time.Millisecond
)

// NewBounded returns a Bounded with room for the given number of lines.
func NewBounded(out io.Writer, lines int) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Close writes what waits. Nothing may be written after it.
func (b *Bounded) Close() {
	b.closed.Store(true)
	close(b.lines)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	var told uint64
	for line := range b.lines {
		if !b.closed.Load() {
			time.Sleep(writePause)
		}
		batch := b.gather(line)
		if dropped := b.dropped.Load(); dropped > told {
			batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped.\",\"lines\":%d}\n", dropped-told)
			told = dropped
		}
		_, _ = b.out.Write(batch) // there is no other place to say that the log fails
	}
}

// gather returns the line with those that wait behind it.
func (b *Bounded) gather(line []byte) []byte {
	batch := line
	for len(batch) < writeBatch {
		select {
		case next, ok := <-b.lines:
			if !ok {
				return batch
			}
			batch = append(batch, next...)
		default:
			return batch
		}
	}
	return batch
}
