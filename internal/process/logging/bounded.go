package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriter is a writer that never blocks: lines wait in a ring for one goroutine
// to write them, and a line that finds the ring full is dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	closed  atomic.Bool
	done    chan struct{}
}

const (
	// maxBatchBytes is how many bytes of lines are written at once at the most.
	maxBatchBytes = 32 << 10
	// batchDelay is how long a line waits for others: a write for each line
	// would be a good part of what a small host does. A process that is killed
	// loses the lines of this time.
	batchDelay = 10 * time.Millisecond
)

// NewBoundedWriter returns a Bounded with room for the given number of lines.
func NewBoundedWriter(out io.Writer, capacity int) *BoundedWriter {
	b := &BoundedWriter{out: out, queue: make(chan []byte, capacity), done: make(chan struct{})}
	go b.writeLoop()
	return b
}

// Write implements io.Writer. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes what waits. Nothing may be written after it.
func (b *BoundedWriter) Close() {
	b.closed.Store(true)
	close(b.queue)
	<-b.done
}

func (b *BoundedWriter) writeLoop() {
	defer close(b.done)
	var reported uint64
	for line := range b.queue {
		if !b.closed.Load() {
			time.Sleep(batchDelay)
		}
		batch := b.collectBatch(line)
		if dropped := b.dropped.Load(); dropped > reported {
			batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped.\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
		_, _ = b.out.Write(batch) // there is no other place to say that the log fails
	}
}

// collectBatch returns the line with those that wait behind it.
func (b *BoundedWriter) collectBatch(line []byte) []byte {
	batch := line
	for len(batch) < maxBatchBytes {
		select {
		case next, ok := <-b.queue:
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
