package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// submitInParts runs a job in parts over several pools of this host's domain and returns
// its answer. It reports false if the job is to go to one pool, because parts are switched
// off, it cannot be split, a pool has capacity for all of it, the pools together have too
// little or the domain is evacuated. loads are those of the domain's pools.
func (n *Node) submitInParts(ctx context.Context, j scheduler.Job, loads []shards.Load) (scheduler.Answer, bool) {
	if !n.config.JobParts || !j.Splittable() || len(loads) < 2 || n.isEvacuated(n.config.Self.Domain) {
		return scheduler.Answer{}, false
	}
	loads = shards.Responsive(loads)
	plan := shards.PlanParts(loads, j.TaskCount())
	if plan == nil {
		return scheduler.Answer{}, false
	}
	parted, submissions := scheduler.NewPartedJob(j, plan, n.now())
	n.log.Info("A job is sent in parts.", "job", j.ID, "tasks", j.TaskCount(), "parts", parted.Pools(), "loads", describeLoads(loads),
		"reason", "no pool of the domain has capacity for the whole job", "age", n.since(j.ArrivedAt))
	n.partsMetrics.planned.Inc(int64(len(plan)))
	a := n.runParts(ctx, j, parted, submissions)
	if a.Outcome == scheduler.Broken && ctx.Err() == nil {
		n.partsMetrics.broken.Inc(1)
	}
	n.log.Info("A job in parts was answered.", "job", j.ID, "parts", parted.Pools(), "outcome", a.Outcome.String(), "kind", a.Kind,
		"reason", a.Reason, "age", n.since(j.ArrivedAt))
	return a, true
}

// partAnswer is the answer to a part of a job.
type partAnswer struct {
	part   int
	answer scheduler.Answer
}

// runParts submits the parts of a job until its answer is decided. It then withdraws the
// parts that are pending.
func (n *Node) runParts(ctx context.Context, j scheduler.Job, parted *scheduler.PartedJob, submissions []scheduler.PartSubmission) scheduler.Answer {
	partsCtx, withdraw := context.WithCancel(ctx)
	defer withdraw()
	answers := make(chan partAnswer, len(submissions)) // one submission of a part is pending at a time
	submit := func(s scheduler.PartSubmission) {
		go func() { answers <- partAnswer{s.Part, n.submitToPool(partsCtx, s.Pool, s.Job)} }()
	}
	for _, s := range submissions {
		submit(s)
	}
	for {
		answer, decideAt, decided := parted.Answer(n.now())
		if decided {
			return answer
		}
		var decide <-chan time.Time
		if !decideAt.IsZero() {
			decide = time.After(decideAt.Sub(n.now()))
		}
		select {
		case a := <-answers:
			next, again := parted.HandleAnswer(a.part, a.answer, shards.Responsive(n.domainLoads(n.config.Self.Domain)), n.now())
			if a.answer.Outcome == scheduler.Refused {
				n.recordRefusedPart(j, a, next, again)
			}
			if again {
				submit(next)
			}
		case <-decide:
		case <-ctx.Done():
			return scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.CancelledRunning, Reason: "the caller left"}
		}
	}
}

// recordRefusedPart counts and logs the refusal of a part and what follows from it.
func (n *Node) recordRefusedPart(j scheduler.Job, a partAnswer, next scheduler.PartSubmission, again bool) {
	n.partsMetrics.refused.Inc(1)
	if !again {
		n.log.Info("A part of a job was refused.", "job", j.ID, "part", a.part, "reason", a.answer.Reason, "age", n.since(j.ArrivedAt))
		return
	}
	n.partsMetrics.triedAgain.Inc(1)
	n.log.Info("A part of a job is sent to another pool.", "job", j.ID, "part", a.part, "first_task", next.Job.FirstTask, "tasks", next.Job.TaskCount(),
		"pool", next.Pool, "attempt", next.Attempt, "reason", a.answer.Reason, "age", n.since(j.ArrivedAt))
}

func describeLoads(loads []shards.Load) []string {
	var out []string
	for _, l := range loads {
		out = append(out, fmt.Sprintf("%s: %d free, %d queued, %v old", l.Pool, l.FreeTasks, l.QueuedTasks, l.Age.Round(time.Millisecond)))
	}
	return out
}

// isSplit reports whether a pool's domain has several pools. Only there loads are kept
// between hello messages, as a job may run in parts.
func (n *Node) isSplit(pool string) bool {
	id, err := shards.ParsePool(pool)
	return err == nil && n.shardCount(id.Domain) > 1
}

// recordSentTasks subtracts the tasks of a job that is being sent to a pool of another
// host from what that host reported last.
func (n *Node) recordSentTasks(pool, holder string, tasks int) {
	if !n.isSplit(pool) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.claims[pool]; ok && c.claim.Holder == holder {
		c.freeTasks -= tasks
		n.claims[pool] = c
	}
}

// recordAnsweredLoad records the load of a pool that its holder told with an answer. A
// host of a former release reports none.
func (n *Node) recordAnsweredLoad(pool, holder string, reply *fleetpb.JobReply) {
	if reply.GetFreeSlots() == 0 || reply.GetQueued() == 0 || !n.isSplit(pool) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.claims[pool]; ok && c.claim.Holder == holder {
		c.freeTasks, c.queuedTasks, c.reportedAt = int(reply.GetFreeSlots())-1, int(reply.GetQueued())-1, n.now()
		n.claims[pool] = c
	}
}

// setLoad adds the load of a pool that this host holds to an answer.
func (n *Node) setLoad(reply *fleetpb.JobReply, pool string) {
	n.mu.Lock()
	p, ok := n.pools[pool]
	n.mu.Unlock()
	if !ok {
		return
	}
	if c := p.publishedClaim.Load(); c != nil {
		reply.FreeSlots, reply.Queued = c.GetFreeSlots()+1, c.GetQueued()+1
	}
}

// publishLoad publishes the load after a job was accepted or answered, so that planned
// parts fit what is free. A pool that is the only one of its domain publishes it with each
// tick.
func (p *pool) publishLoad(now time.Time) {
	if p.heldHere.Load() && !p.handingOver && p.node.shardCount(p.id.Domain) > 1 {
		p.publishClaim(now)
	}
}

// recordAcceptsParts records whether the sender of a hello message reads the first task of
// a job. The caller holds the lock.
func (n *Node) recordAcceptsParts(hello *fleetpb.Greeting) {
	n.partsAccepted[hello.GetFrom().GetAddress()] = hello.GetAcceptsParts()
}

// acceptsParts reports whether another host reads the first task of a job.
func (n *Node) acceptsParts(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partsAccepted[address]
}

// dropUnreadableParts removes parts from the state of a pool for a host of a former
// release, which would run their tasks under other indexes. It stops their runs as
// unknown, and answers that it does not know them.
func (n *Node) dropUnreadableParts(to string, m *fleetpb.PoolState) {
	isLaterPart := func(j *fleetpb.RunningJob) bool { return j.GetRequest().GetFirstTask() > 0 }
	if !slices.ContainsFunc(m.GetJobs(), isLaterPart) || n.learnAcceptsParts(to) {
		return
	}
	m.Jobs = slices.DeleteFunc(m.Jobs, func(j *fleetpb.RunningJob) bool {
		if isLaterPart(j) {
			n.log.Warn("A part of a job is not handed over.", "job", j.GetRequest().GetId(), "first_task", j.GetRequest().GetFirstTask(),
				"pool", m.GetPool(), "peer", to, "reason", "the host does not read parts")
		}
		return isLaterPart(j)
	})
}

// learnAcceptsParts reports whether another host reads the first task of a job. It sends a
// hello message to a host that has not said so: one that has just started may be known
// from the lists of others only.
func (n *Node) learnAcceptsParts(address string) bool {
	link, ok := n.link(address)
	if n.acceptsParts(address) || !ok {
		return n.acceptsParts(address)
	}
	ctx, cancel := context.WithTimeout(n.runCtx, helloTimeout)
	defer cancel()
	reply, err := fleetpb.NewFleetClient(link.Current()).Exchange(ctx, n.helloMessage(nil, 0))
	if err != nil {
		return false
	}
	n.receiveHello(reply)
	return reply.GetAcceptsParts()
}
