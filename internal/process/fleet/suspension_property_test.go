package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// machineStep is what a step does to the machines, and the job that it submits.
type machineStep struct {
	pause fleet.Pause
	tasks int
	beats []int // lengths of the pauses of a series, milliseconds
}

const (
	callerPatience = 2500 * time.Millisecond // for which a caller waits for an answer
	callerTries    = 4
)

func drawMachineSteps(rt *rapid.T, kinds []string) []takeoverStep {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) takeoverStep {
		step := drawTakeoverStep(rt, kinds)
		step.machine = &machineStep{
			pause: fleet.Pause{
				Length:    time.Duration(rapid.IntRange(300, 4000).Draw(rt, "length")) * time.Millisecond,
				Suspended: rapid.IntRange(0, 3).Draw(rt, "suspended") > 0,
				StopDelay: time.Duration(rapid.SampledFrom([]int{0, 2, 30}).Draw(rt, "stop delay")) * time.Millisecond,
				ReadDelay: time.Duration(rapid.SampledFrom([]int{0, 5, 30, 80}).Draw(rt, "read delay")) * time.Millisecond,
			},
			tasks: rapid.SampledFrom([]int{1, 3, 12}).Draw(rt, "tasks"),
			beats: rapid.SliceOfN(rapid.IntRange(20, 100), 3, 12).Draw(rt, "beats"),
		}
		return step
	}), 10, 40).Draw(rt, "steps")
}

// applyMachineStep applies the kinds of steps that concern machines.
func (w *takeover) applyMachineStep(step takeoverStep) {
	hosts, m := w.allHosts(), step.machine
	pool := shards.Pool{Domain: "north", Shard: step.target % 3}
	switch step.kind {
	case "pause":
		hosts[step.host].Pause(m.pause)
	case "pause holder":
		if h := w.holderOf(pool.String()); h != nil {
			h.Pause(m.pause)
		}
	case "quota":
		for _, ms := range m.beats {
			for _, h := range hosts {
				h.Pause(fleet.Pause{Length: time.Duration(ms) * time.Millisecond})
			}
			time.Sleep(100 * time.Millisecond)
			w.exchange(-1)
		}
	case "cut pair":
		pair := hostTarget{step.host, lifeOf(step.target, 1).ID}
		w.cut.Store(pair, true)
		time.AfterFunc(m.pause.Length, func() { w.cut.Delete(pair) })
	case "call":
		go w.call(fmt.Sprint("call", w.stepAt), step.host, m.tasks, pool.String())
	case "call pools":
		other := shards.Pool{Domain: "north", Shard: (pool.Shard + 1) % 3}
		go w.call(fmt.Sprint("call", w.stepAt), step.host, m.tasks, pool.String(), other.String())
	case "lose stops":
		id := unanswered{"stop", lifeOf(step.target, 1).ID}
		w.cut.Store(id, true)
		time.AfterFunc(m.pause.Length, func() { w.cut.Delete(id) })
	}
}

// call sends a job as its caller does: again, under its id, to the next host and pool, resendDelay
// after it got no answer.
func (w *takeover) call(id string, home, tasks int, pools ...string) {
	for try := 0; try < callerTries && w.ctx.Err() == nil; try++ {
		h := w.allHosts()[(home+try)%takeoverHosts]
		if a := w.callHost(h, job(id, tasks), pools[try%len(pools)]); a.Outcome != scheduler.Broken {
			return
		}
		time.Sleep(resendDelay)
	}
}

// callHost sends a job to a host and waits for callerPatience. A host that is killed closes the
// connection.
func (w *takeover) callHost(h *fleet.MemoryHost, j scheduler.Job, pool string) scheduler.Answer {
	ctx, leave := context.WithCancel(w.ctx)
	answer := make(chan scheduler.Answer, 1)
	h.Deliver(func() { go func() { answer <- w.serve(ctx, h, j, pool) }() })
	for end := time.Now().Add(callerPatience); time.Now().Before(end) && h.Alive() && w.ctx.Err() == nil; {
		select {
		case a := <-answer:
			leave()
			return a
		case <-time.After(20 * time.Millisecond):
		}
	}
	h.Deliver(leave)
	return scheduler.Answer{Outcome: scheduler.Broken}
}

// serve runs a job that a host has read from a connection of its caller, until the host's timer
// tells that the caller has left.
func (w *takeover) serve(ctx context.Context, h *fleet.MemoryHost, j scheduler.Job, pool string) scheduler.Answer {
	j.ArrivedAt = h.Now()
	j.Deadline = h.EarliestArrival(j.ArrivedAt).Add(callerPatience)
	if !j.ArrivedAt.Before(j.Deadline) {
		return scheduler.Answer{Outcome: scheduler.Refused}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for end := h.MonotonicNow().Add(j.Deadline.Sub(j.ArrivedAt)); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
			if h.Runs() && !h.MonotonicNow().Before(end) {
				cancel()
			}
		}
	}()
	return w.route(ctx, h, j, pool)
}

// route passes a job on to the holder of a pool, as far as the host of its caller knows, and
// follows hand-overs.
func (w *takeover) route(ctx context.Context, h *fleet.MemoryHost, j scheduler.Job, pool string) scheduler.Answer {
	for range 60 {
		if address, ok := h.HolderOf(pool); ok {
			a := w.submitAt(ctx, h, address, pool, j)
			if j.Resubmitted && a.Outcome == scheduler.Refused {
				return scheduler.Answer{Outcome: scheduler.Broken}
			}
			if a.Outcome != scheduler.Moved {
				return a
			}
			j.Resubmitted = j.Resubmitted || a.HandedOver
		}
		select {
		case <-ctx.Done():
			return scheduler.Answer{Outcome: scheduler.Broken}
		case <-time.After(30 * time.Millisecond):
		}
	}
	if j.Resubmitted {
		return scheduler.Answer{Outcome: scheduler.Broken}
	}
	return scheduler.Answer{Outcome: scheduler.Refused}
}

func (w *takeover) submitAt(ctx context.Context, h *fleet.MemoryHost, address, pool string, j scheduler.Job) scheduler.Answer {
	if address == h.Self().Address {
		return h.SubmitTo(ctx, pool, j)
	}
	for _, to := range w.allHosts() {
		if to.Self().Address == address && to.Alive() {
			return h.ForwardTo(ctx, to, pool, j)
		}
	}
	return scheduler.Answer{Outcome: scheduler.Moved}
}

// Machines are suspended, frozen, or run for a part of each tenth of a second, while pools
// change hands and callers send their jobs again.
func TestNoTaskRunsTwiceAtOnceWhenMachinesAreSuspended(t *testing.T) {
	kinds := []string{
		"pause", "pause holder", "pause holder", "pause holder", "quota", "cut pair", "cut pair", "call", "call", "call", "call", "call", "call",
		"hand over", "split", "lose target", "lose host", "claim",
	}
	checkCallersComeBack(t, 2*time.Second, nil, kinds)
}

// checkCallersComeBack plays the first steps and drawn ones, among them calls whose callers send
// their jobs again, and fails if a task runs twice at once.
func checkCallersComeBack(t *testing.T, runDuration time.Duration, first []takeoverStep, kinds []string) {
	m, late, tasksStarted := metrics.NewMetrics(nil), new(atomic.Int64), 0
	rapid.Check(t, func(rt *rapid.T) {
		seed, steps := rapid.Uint64().Draw(rt, "seed"), drawMachineSteps(rt, kinds)
		steps = append(slices.Clone(first), steps...)
		var overlapping []string
		synctest.Test(t, func(t *testing.T) {
			w := &takeover{seed: seed, metrics: m, targets: newFakeTargets(runDuration), states: map[string]int{}, late: late}
			overlapping = w.play(t, steps)
			tasksStarted += len(w.targets.starts)
		})
		if len(overlapping) > 0 {
			rt.Fatalf("tasks ran twice at once: %v", overlapping)
		}
	})
	NewWithT(t).Expect(tasksStarted).To(BeNumerically(">", 0))
	t.Log(tasksStarted, late.Load())
}

// Stops stay unanswered for seconds, while callers whose patience their runs outlast send their
// jobs again to another pool.
func TestNoTaskRunsTwiceAtOnceWhenStopsStayUnanswered(t *testing.T) {
	split := takeoverStep{kind: "split", pauseMS: 2000}
	checkCallersComeBack(t, 4*time.Second, []takeoverStep{split}, []string{
		"call pools", "call pools", "call pools", "call pools", "lose stops", "lose stops", "lose stops", "lose stops", "hand over", "cut pair", "lose host",
	})
}
