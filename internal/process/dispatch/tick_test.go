package dispatch_test

import (
	"testing"
	"time"

	"wasabifield.example/wasabifield/internal/process/dispatch"
)

// BenchmarkTick measures a tick of a Core with 9000 queued jobs and 154 targets.
func BenchmarkTick(b *testing.B) {
	sim := newSimulator(dispatch.DefaultConfig(), 154, 8)
	for range 9000 {
		_, _ = sim.submit("a", "", 1, time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		sim.core.Tick(sim.now)
		sim.core.TakeEffects()
	}
}

// BenchmarkStart measures a job of one task from submission to answer, with 154
// targets.
func BenchmarkStart(b *testing.B) {
	sim := newSimulator(dispatch.DefaultConfig(), 154, 8)
	sim.serve = func(dispatch.Start) (dispatch.Outcome, time.Duration) { return dispatch.Done, time.Millisecond }
	b.ReportAllocs()
	for b.Loop() {
		_, _ = sim.submit("a", "quote", 1, 0)
		sim.advance(time.Millisecond)
	}
}
