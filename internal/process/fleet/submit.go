package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	holderPollInterval = 20 * time.Millisecond // between two attempts to find a pool's holder
	// A job waits for a holder for at most its objective divided by holderWaitDivisor:
	// a job that is then refused has time left to be served elsewhere.
	holderWaitDivisor = 4
	// handedOverTries is how often a host looks for the holder of a job that the
	// former holder handed over while the job ran. The new holder drops the job if it
	// is not submitted again within 1.15 s, so further attempts are of no use.
	handedOverTries = 50
)

// Submit runs a job and returns its answer. The job is withdrawn when ctx ends.
func (n *Node) Submit(ctx context.Context, j scheduler.Job) scheduler.Answer {
	if n.isEvacuated(n.config.Self.Domain) {
		return n.submitEvacuated(ctx, j)
	}
	loads := n.domainLoads(n.config.Self.Domain)
	if shards.AllSilent(loads) {
		refusal := refusalAnswer(failure.New(failure.NotReady, "the holders of the domain's pools are silent"))
		if a := n.submitToOtherDomain(ctx, j, refusal); a.Outcome != scheduler.Refused {
			return a
		}
	}
	a, inParts := n.submitInParts(ctx, j, loads)
	if !inParts {
		a = n.submitInDomain(ctx, j, loads)
	}
	switch {
	case a.Outcome == scheduler.Spill:
		return n.submitSpilled(ctx, j, a)
	case a.Outcome == scheduler.Refused && a.Kind == failure.NotReady:
		return n.submitToOtherDomain(ctx, j, a)
	}
	return a
}

// submitSpilled sends a job to the pools that its own pool has named, one after the other,
// until one starts it at once, or in parts. If neither, the job's own domain runs or
// refuses it.
func (n *Node) submitSpilled(ctx context.Context, j scheduler.Job, spilled scheduler.Answer) scheduler.Answer {
	j.Spilled = true
	if a, done := n.tryPools(ctx, j, spilled); done {
		return a
	}
	if n.isEvacuated(n.config.Self.Domain) {
		return n.submitEvacuated(ctx, j)
	}
	j.Returned = true
	return n.submitInDomain(ctx, j, n.domainLoads(n.config.Self.Domain))
}

// tryPools sends a spilled job to the pools that were named for it, one after the other,
// until one starts it at once. It runs in parts instead once what the answers told of the
// loads shows that it can. It returns false if neither.
func (n *Node) tryPools(ctx context.Context, j scheduler.Job, spilled scheduler.Answer) (scheduler.Answer, bool) {
	trial := j
	trial.OnlyAtOnce = true
	if a, ok := n.submitInParts(ctx, j, n.domainLoads(n.config.Self.Domain)); ok {
		return a, true
	}
	for _, pool := range spilled.Pools {
		n.log.Info("A job is sent to another pool.", "job", j.ID, "pool", pool, "reason", spilled.Reason, "age", n.since(j.ArrivedAt))
		if a := n.submitToPool(ctx, pool, trial); a.Outcome != scheduler.Refused {
			return a, true
		}
	}
	if a, ok := n.submitInParts(ctx, j, n.domainLoads(n.config.Self.Domain)); ok {
		return a, true
	}
	return scheduler.Answer{}, false
}

// submitToOtherDomain runs a job that no holder in this host's domain accepts in a pool
// of another domain with free capacity for it, or returns the refusal if there is none.
// It answers the load of the seconds after the holder of a domain's only pool was lost or
// froze, until another host holds it.
func (n *Node) submitToOtherDomain(ctx context.Context, j scheduler.Job, refusal scheduler.Answer) scheduler.Answer {
	pool, ok := shards.ChooseFreePool(shards.Responsive(n.loadsOfOtherDomains()), j.TaskCount(), rand.IntN)
	if !ok || ctx.Err() != nil {
		return refusal
	}
	n.log.Info("A job is sent to another domain.", "job", j.ID, "pool", pool, "reason", refusal.Reason, "age", n.since(j.ArrivedAt))
	j.Spilled = true
	return n.submitToPool(ctx, pool, j)
}

// submitInDomain runs a job in one of the pools of this host's domain, whose loads are
// given, or in another of them if the holder of the first cannot be reached.
func (n *Node) submitInDomain(ctx context.Context, j scheduler.Job, loads []shards.Load) scheduler.Answer {
	if !shards.AllSilent(loads) {
		loads = shards.Responsive(loads)
	}
	pool := cmp.Or(shards.ChoosePool(n.preferRack(loads, j, n.now()), j.TaskCount(), rand.IntN), n.config.Self.Domain)
	a := n.submitToPool(ctx, pool, j)
	if a.Outcome != scheduler.Refused || a.Kind != failure.NotReady || len(loads) < 2 {
		return a
	}
	loads = slices.DeleteFunc(loads, func(l shards.Load) bool { return l.Pool == pool })
	pool = shards.ChoosePool(loads, j.TaskCount(), rand.IntN)
	n.log.Info("A job is sent to another pool.", "job", j.ID, "pool", pool, "reason", a.Reason, "age", n.since(j.ArrivedAt))
	return n.submitToPool(ctx, pool, j)
}

// submitToPool runs a job in a pool, through the pool's current holder.
func (n *Node) submitToPool(ctx context.Context, pool string, j scheduler.Job) scheduler.Answer {
	r := route{
		findHolder: func() (string, bool) { return n.holderOf(pool) },
		submitTo: func(address string, handedOver bool) scheduler.Answer {
			resubmitted := j
			resubmitted.Resubmitted = handedOver
			return n.submitToHost(ctx, address, pool, resubmitted)
		},
		pause: func() bool {
			select {
			case <-ctx.Done():
				return false
			case <-time.After(holderPollInterval):
				return true
			}
		},
		maxTries: holderMaxTries(j, n.now()),
	}
	return r.submit(refusalAnswer(failure.New(failure.NotReady, "no host holds the targets of "+pool)))
}

// holderMaxTries returns how often this host looks for a holder for a job: at least
// twice, as a new holder may just have been announced.
func holderMaxTries(j scheduler.Job, now time.Time) int {
	return max(2, int((j.Objective()/holderWaitDivisor-now.Sub(j.ArrivedAt))/holderPollInterval))
}

// submitLocally runs a job in a pool that this host holds.
func (n *Node) submitLocally(ctx context.Context, name string, j scheduler.Job, sender string) scheduler.Answer {
	n.mu.Lock()
	p, ok := n.pools[name]
	n.mu.Unlock()
	if !ok {
		return scheduler.Answer{Outcome: scheduler.Moved, Kind: failure.NotReady, Reason: "this host does not hold the pool"}
	}
	if n.awaitsEvacuations() {
		return scheduler.Answer{Outcome: scheduler.Moved, Kind: failure.NotReady, Reason: "this host does not know yet which domains are evacuated"}
	}
	return p.submit(ctx, j, sender)
}

var callerLeftAnswer = scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.CancelledRunning, Reason: "the caller left"}

// awaitCaller returns the time once it is known whether the caller of a job still waits, and
// whether it does. After a pause of this host, it waits until what had arrived has been read. The
// deadline is compared because the timer of ctx does not count suspensions.
func (n *Node) awaitCaller(ctx context.Context, j scheduler.Job) (now time.Time, ok bool) {
	for now = n.now(); n.pauses.resumedWithin(resumeReadTime, now) && ctx.Err() == nil; now = n.now() {
		select {
		case <-ctx.Done():
		case <-time.After(holderPollInterval):
		}
	}
	return now, ctx.Err() == nil && now.Before(j.Deadline)
}

func (n *Node) submitToHost(ctx context.Context, address, pool string, j scheduler.Job) scheduler.Answer {
	if address == n.config.Self.Address {
		if _, ok := n.awaitCaller(ctx, j); !ok {
			return callerLeftAnswer
		}
		return n.submitLocally(ctx, pool, j, "")
	}
	link, ok := n.link(address)
	if !ok {
		return scheduler.Answer{Outcome: scheduler.Moved, Kind: failure.NotReady, Reason: "the pool's holder is not known"}
	}
	conn := link.Current()
	if !link.WaitConnected(ctx, conn) {
		return scheduler.Answer{Outcome: scheduler.Moved, Kind: failure.NotReady, Reason: "the pool's holder cannot be reached"}
	}
	if j.FirstTask > 0 && !j.Resubmitted && !n.acceptsParts(address) {
		return refusalAnswer(failure.New(failure.NotReady, "the pool's holder does not read parts of jobs"))
	}
	now, ok := n.awaitCaller(ctx, j)
	if !ok {
		return callerLeftAnswer
	}
	n.recordSentTasks(pool, address, j.TaskCount())
	s := outgoing{node: n, address: address, pool: pool, job: j, number: n.lastSubmission.Add(1), link: link}
	reply, err := s.send(ctx, conn, now)
	if err != nil {
		n.withdrawSubmission(address, link, withdrawal{number: s.number, job: j.ID, givenUpAt: n.now()})
	}
	if err != nil && ctx.Err() != nil {
		n.log.Info("A job was withdrawn from a pool.", "job", j.ID, "first_task", j.FirstTask, "peer", address, "pool", pool, "submission", s.number, "age", n.since(j.ArrivedAt))
		return scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.CancelledRunning, Reason: "the job was withdrawn"}
	}
	if err != nil {
		n.log.Warn("The answer to a job was lost.", "job", j.ID, "peer", address, "pool", pool, "submission", s.number, "error", err, "age", n.since(j.ArrivedAt))
		return scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.AnswerLost, Reason: "the pool's holder did not answer"}
	}
	n.recordAnsweredLoad(pool, address, reply)
	for _, l := range n.recordLosses(reply.GetLosses()) {
		n.reportLoss(l, n.config.Self.Domain) // the caller's next attempt comes to a host of this domain
	}
	return answerFrom(reply)
}
