package history

import (
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Writer appends events to a history. It is safe for concurrent use. A nil
// Writer records nothing.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
	now func() time.Time
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, now: time.Now}
}

// Open returns a Writer that appends to file, and the closer of the file. For an empty
// name it returns a nil Writer.
func Open(file string) (*Writer, io.Closer, error) {
	if file == "" {
		return nil, io.NopCloser(nil), nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, oops.In("history").Wrap(err)
	}
	return NewWriter(f), f, nil
}

// Write appends e as one line with a single write call, so that a killed process leaves
// whole lines. It sets e.At to the current time if e has none. It panics if the event
// cannot be encoded or written.
func (w *Writer) Write(e Event) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.At.IsZero() {
		e.At = w.now()
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic("history: an event has no JSON form: " + err.Error())
	}
	if _, err := w.out.Write(append(line, '\n')); err != nil {
		panic("history: cannot write: " + err.Error())
	}
}
