package fleet

import (
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// A frozen holder counts as alive for 0.9 s, and its connections stay open, so jobs sent
// to it would wait until they are lost. It is known to be silent after two missed hello
// messages.
func TestThePoolOfASilentHolderIsNotResponsive(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	})
	g.Expect(err).NotTo(HaveOccurred())
	now := time.Now()
	for address, age := range map[string]time.Duration{"frozen": 3 * helloEntryInterval, "busy": helloEntryInterval, "gone": 2 * aliveTimeout} {
		n.hostTable.Record(discovery.Host{Address: address, Domain: "north", Entry: true}, age, now)
	}
	n.shardCounts["north"] = 4
	for shard, holder := range []string{"frozen", "busy", "gone"} {
		pool := shards.Pool{Domain: "north", Shard: shard}.String()
		n.recordClaim(&fleetpb.Claim{Pool: pool, Holder: holder, FencingToken: 1, Parts: 4})
	}
	loads := n.domainLoads("north")
	g.Expect(loads).To(HaveLen(2), "the pool of a host that is not alive: %v", loads)
	responsive := shards.Responsive(loads)
	g.Expect(responsive).To(HaveLen(1))
	g.Expect(responsive[0].Pool).To(Equal("north#1"))
}

// Loads that are up to 250 ms old would plan parts for pools that are full by now. What a
// holder reports with an answer counts, and so does what this host has sent there since; a
// host of a former release reports nothing, and a domain with one pool has nothing to plan.
func TestLoadsFollowAnswersAndSentTasks(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		Self: discovery.Host{Address: "self", Domain: "north", Entry: true}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	})
	g.Expect(err).NotTo(HaveOccurred())
	n.hostTable.Record(discovery.Host{Address: "holder", Domain: "north", Entry: true}, 0, time.Now())
	n.recordClaim(&fleetpb.Claim{Pool: "north", Holder: "holder", FencingToken: 1, Parts: 1, FreeSlots: 9})
	n.recordSentTasks("north", "holder", 4)
	g.Expect(n.FreeTasksOf("north")).To(Equal(9), "a domain with one pool")
	n.shardCounts["north"] = 2
	n.recordSentTasks("north", "holder", 4)
	g.Expect(n.FreeTasksOf("north")).To(Equal(5))
	n.recordAnsweredLoad("north", "holder", &fleetpb.JobReply{FreeSlots: 8, Queued: 1})
	g.Expect(n.FreeTasksOf("north")).To(Equal(7))
	n.recordAnsweredLoad("north", "holder", &fleetpb.JobReply{})
	g.Expect(n.FreeTasksOf("north")).To(Equal(7), "a host of a former release")
	state := &fleetpb.PoolState{Jobs: []*fleetpb.RunningJob{{Request: &fleetpb.JobRequest{Id: "j"}}, {Request: &fleetpb.JobRequest{Id: "j", FirstTask: 3}}}}
	n.dropUnreadableParts("holder", state)
	g.Expect(state.GetJobs()).To(HaveLen(1), "the holder would run the part's tasks under other indexes")
}

// A caller leaves, or another part of its job fails, while the pool is handed over. The
// submission was applied after the hand-over, and its tasks ran for nobody.
func TestASubmissionWithdrawnDuringAHandoverIsNotApplied(t *testing.T) {
	g := NewWithT(t)
	p, now := newHeldTestPool(t)
	p.handingOver = true
	answer := make(chan scheduler.Answer, 1)
	submitEvent{id: 7, job: handoverTestJob("j", now), waiter: waiter{jobID: "j", waitingSince: now, answer: answer}}.apply(p, now)
	withdrawEvent{id: 7}.apply(p, now)
	handedOverEvent{outcome: handoverRefused, done: make(chan struct{})}.apply(p, now)
	g.Expect(answer).NotTo(Receive(), "the submission was applied")
}
