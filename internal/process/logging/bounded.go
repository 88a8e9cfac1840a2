package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriter is an io.Writer that never blocks. Lines wait in a ring until one
// goroutine writes them; when the ring is full, new lines are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	closed  atomic.Bool
	done    chan struct{}
}

const (
	// maxBatchBytes is the size at which a batch of lines gets no more lines and is
	// written.
	maxBatchBytes = 32 << 10
	// batchDelay is how long a line waits for more lines to be written with it. One
	// write per line would be a considerable share of a small host's work. A killed
	// process loses the lines of this period.
	batchDelay = 10 * time.Millisecond
)

// NewBoundedWriter returns a Bounded that writes to out and queues up to
// capacity lines. It starts a goroutine that Close ends.
func NewBoundedWriter(out io.Writer, capacity int) *BoundedWriter {
	b := &BoundedWriter{out: out, queue: make(chan []byte, capacity), done: make(chan struct{})}
	go b.writeLoop()
	return b
}

// Write implements io.Writer. It queues a copy of line, or drops it if the ring is full,
// and never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes the queued lines and returns when they are written. Write must not be
// called after Close.
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
		_, _ = b.out.Write(batch) // a failure to write the log cannot be reported anywhere else
	}
}

// collectBatch returns line followed by the lines queued after it, until the batch has
// maxBatchBytes or more.
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
