package controller

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/register"
)

const repetitions = 200 // enough for a select to choose each of two ready cases

// blockUntilStopped is a context whose Done blocks until the run loop has stopped.
type blockUntilStopped struct {
	context.Context
	stopped <-chan struct{}
}

// Done implements context.Context.
func (g blockUntilStopped) Done() <-chan struct{} {
	<-g.stopped
	return nil
}

// A change that had been sent to voters when the host stopped must be reported as
// undecided, not as unchanged.
func TestStopReportsASentChangeAsUndecided(t *testing.T) {
	g := NewWithT(t)
	for range repetitions {
		c := &Controller{operations: make(chan *operation, 1), stopped: make(chan struct{})}
		go func() {
			o := <-c.operations
			o.done <- outcome{err: o.abandonError(true)}
			close(c.stopped)
		}()
		_, err := c.runOperation(blockUntilStopped{context.Background(), c.stopped}, func(v register.Value) (register.Value, error) { return v, nil })
		g.Expect(failure.KindOf(err)).To(Equal(failure.Undecided))
	}
}
