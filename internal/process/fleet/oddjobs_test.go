package fleet

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// oddSteps are steps that no host of this release passes on.
var oddSteps = map[string][]*fleetpb.Step{
	"none":                        nil,
	"no task":                     {{Count: 0}},
	"more tasks than fit":         {{Count: math.MaxUint32}},
	"too many tasks in all steps": {{Count: 6000}, {Count: 6000}},
	"a negative need":             {{Count: 1, CpuMilli: math.MinInt64}},
	"a later step before":         {{Count: 1, After: []uint32{math.MaxUint32}}},
}

func TestAJobThatNoHostMayPassOnIsRefused(t *testing.T) {
	t.Parallel()
	for name, steps := range oddSteps {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newHeldTestPool(t)
			p.node.pools[p.name] = p
			go func() { _ = p.run(t.Context()) }()
			m := jobMessage(handoverTestJob("j", now), now)
			m.Pool, m.Steps = p.name, steps
			reply, err := (&service{node: p.node}).Submit(t.Context(), m)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.GetKind()).To(Equal(string(failure.InvalidRequest)), reply.GetReason())
		})
	}
}

func TestAnOddJobOfAHandoverIsDroppedAndTheOthersGoOn(t *testing.T) {
	t.Parallel()
	for name, steps := range oddSteps {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newTestPool(t, "127.0.0.1:2"), time.Now()
			odd, good := jobMessage(handoverTestJob("odd", now), now), jobMessage(handoverTestJob("good", now), now)
			odd.Steps = steps
			message := &fleetpb.PoolState{Pool: "north", FencingToken: 7, Jobs: []*fleetpb.RunningJob{
				{Request: odd, Ran: true, Tasks: []*fleetpb.Task{{}}}, {Request: good, Ran: true, Tasks: []*fleetpb.Task{{}, {Index: 1}}},
			}}
			answer := make(chan receivedPool, 1)
			receivePoolEvent{message: message, answer: answer}.apply(p, now)
			g.Expect((<-answer).err).NotTo(HaveOccurred())
			g.Expect(exportJobs(p)).To(HaveLen(1))
			g.Expect(exportJobs(p)[0].Job.ID).To(Equal("good"))
		})
	}
}
