package controller

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/register"
)

const stops = 200 // enough for a select to take each of two ready cases

// gate is a context that holds its caller up until the owner has stopped.
type gate struct {
	context.Context
	stopped <-chan struct{}
}

// Done implements context.Context.
func (g gate) Done() <-chan struct{} {
	<-g.stopped
	return nil
}

// A change that was sent when the host stopped must not be answered as not run.
func TestAStopDoesNotHideAnUndecidedChange(t *testing.T) {
	g := NewWithT(t)
	for range stops {
		c := &Controller{operations: make(chan *operation, 1), stopped: make(chan struct{})}
		go func() {
			o := <-c.operations
			o.done <- outcome{err: o.abandoned(true)}
			close(c.stopped)
		}()
		_, err := c.operate(gate{context.Background(), c.stopped}, func(v register.Value) (register.Value, error) { return v, nil })
		g.Expect(failure.KindOf(err)).To(Equal(failure.Undecided))
	}
}
