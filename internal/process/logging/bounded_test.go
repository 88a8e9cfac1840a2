package logging_test

import (
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/logging"
)

// blockedWriter blocks each write until unblocked is closed.
type blockedWriter struct {
	writing   chan struct{} // closed by the first write
	unblocked chan struct{}
	mu        sync.Mutex
	text      strings.Builder
}

func (o *blockedWriter) Write(p []byte) (int, error) {
	select {
	case <-o.writing:
	default:
		close(o.writing)
	}
	<-o.unblocked
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func TestFullLogDropsLinesAndReportsTheirCount(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{writing: make(chan struct{}), unblocked: make(chan struct{})}
	log := logging.NewBoundedWriter(out, 4)
	write := func() {
		n, err := log.Write([]byte("line\n"))
		g.Expect(n).To(Equal(5))
		g.Expect(err).NotTo(HaveOccurred())
	}
	write()
	<-out.writing
	for range 100 {
		write()
	}
	g.Expect(log.Dropped()).To(Equal(uint64(96)))
	close(out.unblocked)
	log.Close()
	lines := strings.Count(out.text.String(), "line\n")
	g.Expect(lines).To(Equal(5))
	g.Expect(out.text.String()).To(ContainSubstring("Log lines were dropped."))
}
