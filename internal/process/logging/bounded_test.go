package logging_test

import (
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/logging"
)

// slowOutput takes nothing until it is opened.
type slowOutput struct {
	entered chan struct{} // closed by the first write
	open    chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (o *slowOutput) Write(p []byte) (int, error) {
	select {
	case <-o.entered:
	default:
		close(o.entered)
	}
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func TestAFullLogDropsLinesAndSaysHowMany(t *testing.T) {
	g := NewWithT(t)
	out := &slowOutput{entered: make(chan struct{}), open: make(chan struct{})}
	log := logging.NewBounded(out, 4)
	write := func() {
		n, err := log.Write([]byte("line\n"))
		g.Expect(n).To(Equal(5))
		g.Expect(err).NotTo(HaveOccurred())
	}
	write()
	<-out.entered
	for range 100 {
		write()
	}
	g.Expect(log.Dropped()).To(Equal(uint64(96)))
	close(out.open)
	log.Close()
	lines := strings.Count(out.text.String(), "line\n")
	g.Expect(lines).To(Equal(5))
	g.Expect(out.text.String()).To(ContainSubstring("Log lines were dropped."))
}
