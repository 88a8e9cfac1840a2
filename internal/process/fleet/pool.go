package fleet

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/process/repeat"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// pool holds this host's state of one pool of targets: who holds the pool and, while
// this host does, the scheduler and the sessions with the targets. The fields belong to
// the goroutine of run unless marked otherwise.
type pool struct {
	node    *Node
	id      shards.Pool
	name    string // id as a string
	log     *slog.Logger
	events  chan event
	stopped chan struct{}

	heldHere       atomic.Bool                   // this host holds the pool; read by any goroutine
	publishedClaim atomic.Pointer[fleetpb.Claim] // for hello messages, read by any goroutine; nil while another host holds the pool
	lastWaiterID   atomic.Uint64                 // incremented by any goroutine
	handedOver     atomic.Pointer[fleetpb.Claim] // of the host that this host handed the pool over to last; read by any goroutine

	holderView         *holder.View
	core               *scheduler.Core
	sessions           map[string]*session
	closedSessions     map[string]closedSession // by target; see raiseTokenFor
	waiters            map[uint64]waiter
	tokenRaisedAt      time.Time     // when the token was last raised
	fencedAt           time.Time     // when the pool was given up because a target obeyed another holder
	handingOver        bool          // the jobs are being sent to another holder
	acceptedToken      uint64        // fencing token of the state that was last accepted in a handover; 0 if none was
	parkedSubmits      []submitEvent // submitted during a handover, applied after it
	probedAt           time.Time     // when a target was last asked whether it can be reached
	targetAnsweredAt   time.Time     // when a target last answered such a probe
	targetsAnswerSince time.Time     // first of a series of probe answers without a gap longer than probeValidity; zero if no target answers
	homeHostSince      time.Time     // since when an entry host of the pool's own domain is heard from
	formerPoolUntil    time.Time     // targets of this new shard are left to their former pool until then; zero if there is none
	orphansCheckedAt   time.Time     // when orphaned domains were last looked for
	callersSeenAt      time.Time     // when this host last looked which callers wait
	targetsCountedAt   time.Time     // when the targets of the domain were last counted
	unbalancedSince    time.Time     // since when this host holds several pools while a host that could take over this one holds none; zero if that is not so
	balanceCheckedAt   time.Time
	forgottenDroppedAt time.Time // when forgotten targets were last dropped
	shardsAtRelease    int       // number of shards of the domain when targets were last released
	metrics            *poolMetrics
	answerTimer        repeat.Timer // of starts and stops; used by any goroutine

	splitTimer shards.SplitTimer // how long the domain has had too many targets
	balancer   shards.Balancer   // in a domain of uneven hosts

	resumption resumption    // after a pause of this host
	refresh    targetRefresh // since this host took the pool over

	withoutHolderSince time.Time // since when no host that is alive holds the pool; zero if one does
}

// waiter waits for the answer to a job: a caller, or a host that forwarded the job.
type waiter struct {
	jobID        string
	sender       string          // the host that forwarded the job; empty for a caller of this host
	heard        *connHeard      // of the connection that it came over; nil for a caller of this host
	startUntil   uint64          // by ownClock, until which it may begin here; 0 for no limit
	gone         <-chan struct{} // closed once the caller has left, or the host has given the job up
	deadline     time.Time       // until which the caller waits; zero if that is not known
	waitingSince time.Time
	answer       chan<- scheduler.Answer // buffered for one answer
}

// deadlineSlack is for the cancellation of a job at its deadline, which is late if the timer of
// its host does not count a suspension.
const deadlineSlack = 50 * time.Millisecond

// event is a message to the pool's goroutine.
type event interface{ apply(p *pool, now time.Time) }

func newPool(n *Node, id shards.Pool) *pool {
	name := id.String()
	p := &pool{
		node:       n,
		id:         id,
		name:       name,
		log:        logging.For(n.config.Log, "pool"),
		events:     make(chan event, eventRing),
		stopped:    make(chan struct{}),
		holderView: holder.NewView(n.config.Self.Address, claimListenTime, claimAloneDelay, n.now()),
		sessions:   map[string]*session{},
		waiters:    map[uint64]waiter{},
		metrics:    newPoolMetrics(n.config.Metrics, name),

		closedSessions: map[string]closedSession{},
	}
	p.core = p.newCore()
	p.formerPoolUntil = formerPoolUntil(id, n.startedAt, n.now())
	return p
}

// newCore returns a scheduler without jobs and targets, which knows the losses that this
// host has heard of.
func (p *pool) newCore() *scheduler.Core {
	config := scheduler.DefaultConfig()
	config.Losses = p.node.losses
	config.EvacuationGrace = p.node.config.EvacuateWithin / evacuationGraceDivisor
	config.LimitLeases, config.ResubmitDelay = true, p.node.config.ResubmitDelay
	config.RemoteFactor, config.MaxLocalWait = p.node.config.RemoteFactor, p.node.config.MaxLocalWait
	core := scheduler.NewCore(config)
	core.HoldStarts(p.resumption.startsHeld)
	return core
}

// run processes events and ticks until ctx is cancelled.
func (p *pool) run(ctx context.Context) error {
	defer close(p.stopped)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeSessions()
			return nil
		case e := <-p.events:
			p.handle(e, p.node.now())
		case <-timer.C:
			p.tick(p.node.now())
			timer.Reset(p.tickDelay())
		}
	}
}

// handle applies an event.
func (p *pool) handle(e event, now time.Time) {
	p.observePause(now)
	e.apply(p, now)
}

// tickDelay returns the time until the next tick.
func (p *pool) tickDelay() time.Duration {
	if p.heldHere.Load() {
		return tickInterval
	}
	return idleTickInterval
}

// tryPost posts an event, or returns Overloaded if too many wait.
func (p *pool) tryPost(e event) error {
	select {
	case p.events <- e:
		return nil
	default:
		return failure.New(failure.Overloaded, "too many events wait for the pool's goroutine")
	}
}

// post posts an event that must not be lost, and waits while the ring is full.
func (p *pool) post(e event) {
	select {
	case p.events <- e:
	case <-p.stopped:
	}
}

// submit runs a job in this pool and returns its answer. The job is withdrawn when ctx
// ends.
func (p *pool) submit(ctx context.Context, j scheduler.Job, sender string) scheduler.Answer {
	answer := make(chan scheduler.Answer, 1)
	id := p.lastWaiterID.Add(1)
	e := submitEvent{id: id, job: j, waiter: waiter{jobID: j.ID, sender: sender, heard: connHeardFrom(ctx), gone: ctx.Done(), startUntil: startUntilFrom(ctx), deadline: j.Deadline, waitingSince: p.node.now(), answer: answer}}
	if err := p.tryPost(e); err != nil {
		return refusalAnswer(err)
	}
	select {
	case a := <-answer:
		return a
	case <-p.stopped:
		return scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.OutcomeUnknown, Reason: "the host stopped"}
	case <-ctx.Done():
		p.post(withdrawEvent{id: id, reason: withdrawReason(ctx)})
		return callerLeftAnswer
	}
}

// refusalAnswer turns an error that occurred before any task started into an answer.
func refusalAnswer(err error) scheduler.Answer {
	kind := failure.KindOf(err)
	return scheduler.Answer{
		Outcome: scheduler.Refused, Kind: kind, Reason: err.Error(), RetryAfter: max(0, failure.Lookup(kind).RetryAfter),
	}
}

// tick claims the pool if this host should hold it and opens orphaned pools. While this
// host holds the pool, it also splits, balances or returns the pool where that is due,
// ticks the scheduler and withdraws the jobs of lost senders.
func (p *pool) tick(now time.Time) {
	p.observePause(now)
	if !p.handingOver {
		p.resumeStarts(now)
	}
	if p.handingOver {
		return
	}
	p.decideClaim(now)
	p.observeHolder(now)
	if p.id.Domain != p.node.config.Self.Domain {
		if p.heldHere.Load() {
			p.returnToHomeDomain(now)
		}
	} else if p.id.Shard == 0 && now.Sub(p.orphansCheckedAt) > orphanCheckInterval {
		p.orphansCheckedAt = now
		p.node.openOrphanedPools()
	}
	if p.heldHere.Load() {
		p.splitIfLarge(now)
		p.releaseMovedTargets(now)
		p.dropForgottenTargets(now)
		p.takeFromFormerPool(now)
		p.balancePools(now)
		p.followEvacuations(now)
		p.core.SetPoolCapacities(p.node.freeCapacityExcept(p.id))
		p.node.resolveLosses(now)
		p.core.ExtendUnknownRuns(func(targetID string) time.Duration { return p.sessionLeaseRemaining(targetID, now) }, now)
		p.recordAwaited(now)
		p.applyEffects(p.core.Tick(now), now)
		p.limitLeases(now)
		p.withdrawLostSenders(now)
		p.forgetClosedSessions(now)
	}
	p.publishClaim(now)
}

// decideClaim claims the pool if no host that is alive holds it and this host is the
// first candidate. A host that was fenced and receives messages from no other host claims nothing
// for fencedClaimDelay.
func (p *pool) decideClaim(now time.Time) {
	isolated := p.node.isIsolated()
	if !isolated {
		p.holderView.RecordContact(now)
	} else if now.Sub(p.fencedAt) < fencedClaimDelay {
		return
	}
	if p.id.Domain != p.node.config.Self.Domain && !p.targetsReachable(now) {
		return
	}
	if p.holderView.HeldHere() || p.node.awaitsHello(p.id.Domain, now) {
		return
	}
	if c, ok := p.node.claimHeardAtStart(p.name, now); ok {
		p.holderView.RecordClaim(c)
	}
	alive := func(host string) bool { return host == p.node.config.Self.Address || p.node.isAlive(host) }
	var candidates []string // not needed while there is a holder
	if h := p.holderView.Claim().Holder; h == "" || !alive(h) {
		candidates = p.claimCandidates(now)
	} else {
		p.withoutHolderSince = time.Time{}
	}
	if p.holderView.TryClaim(alive, candidates, now) == holder.Acquired {
		p.balancer.Claimed()
		p.takeOver(now, "nobody holds the pool")
	}
}

// takeOver starts sending requests to the pool's targets, under the claim's token.
func (p *pool) takeOver(now time.Time, reason string) {
	claim := p.holderView.Claim()
	p.log.Info("This host holds the pool.", "pool", p.name, "token", claim.Token, "reason", reason)
	p.heldHere.Store(true)
	p.withoutHolderSince = time.Time{}
	p.closeSessions()
	p.followEvacuations(now)
	p.beginRefresh(now)
	for _, a := range p.node.announcements.recent(now) {
		p.handleAnnouncement(a, now)
	}
	p.publishClaim(now)
}

// yield stops sending requests to the pool's targets. Jobs without a started task are
// submitted to the new holder instead. The new holder stops the runs of the other jobs,
// so their outcome is unknown.
func (p *pool) yield(now time.Time, reason string) {
	claim := p.holderView.Claim()
	p.log.Warn("This host no longer holds the pool.", "pool", p.name, "holder", claim.Holder, "token", claim.Token, "reason", reason)
	p.heldHere.Store(false)
	p.closeSessions()
	p.applyEffects(p.core.AbandonJobs(), now)
	p.core = p.newCore()
	p.publishClaim(now)
}

func (p *pool) closeSessions() {
	now := p.node.now()
	for id := range p.sessions {
		p.closeSession(id, now)
	}
}

// publishClaim updates the claim and load that hello messages carry.
func (p *pool) publishClaim(now time.Time) {
	if !p.heldHere.Load() {
		p.publishedClaim.Store(nil)
		return
	}
	free, queued := p.core.Load(now)
	p.metrics.recordLoad(free, queued)
	p.recordTargets()
	c := p.claimMessage()
	c.FreeSlots, c.Queued = uint32(free), uint32(queued)
	p.publishedClaim.Store(c)
}

// claimMessage returns the claim without the load.
func (p *pool) claimMessage() *fleetpb.Claim {
	claim := p.holderView.Claim()
	return &fleetpb.Claim{
		Pool: p.name, Holder: claim.Holder, FencingToken: claim.Token, Parts: uint32(p.node.shardCount(p.id.Domain)),
	}
}

// postClaim posts a claim if it is on this pool.
func (p *pool) postClaim(c *fleetpb.Claim) {
	if c.GetPool() == p.name {
		p.post(claimEvent{holder.Claim{Holder: c.GetHolder(), Token: c.GetFencingToken()}})
	}
}

// withdrawLostSenders withdraws the jobs whose senders have gone, or have given them up: their
// callers submit them again elsewhere. A sender that is there after all learns of it.
func (p *pool) withdrawLostSenders(now time.Time) {
	for id, w := range p.waiters {
		if reason := p.lostSender(w, now); reason != "" {
			withdrawEvent{id: id, reason: reason}.apply(p, now)
			w.answer <- scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.OutcomeUnknown, Reason: "the pool's holder withdrew the job: " + reason}
		}
	}
}

// lostSender returns why the sender of a job is taken for lost; empty if it isn't.
func (p *pool) lostSender(w waiter, now time.Time) string {
	switch {
	case w.heard.silence(now) > dialTimeout && !p.node.isAliveAt(w.sender, now) && now.Sub(w.waitingSince) > aliveTimeout:
		return "the host that sent it is not alive"
	case !w.deadline.IsZero() && now.Sub(w.deadline) > deadlineSlack:
		return "its caller has left by its deadline"
	case p.resumption.outlasted(w):
		return "this host did not run for longer than its sender waits"
	case w.heard.silence(now) > submissionSilence && !p.node.pauses.resumedWithin(resumeReadTime, now):
		return "the connection that it came over is silent"
	}
	return ""
}

// applyEffects carries out the scheduler's effects.
func (p *pool) applyEffects(effects []scheduler.Effect, now time.Time) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			p.metrics.recordRequestedStart(e.Former.Evidence)
			p.log.Info("A start was requested.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "target", e.Target,
				"born", e.Incarnation, "token", p.holderView.Claim().Token, "former_target", e.Former.Target,
				"former_over_by", e.Former.Evidence.String(), "age", formerAge(e.Former, now))
			if s, ok := p.sessions[e.Target]; ok {
				p.limitLeasesOf(s, now)
				p.core.RecordStartSent(e.Target, e.Run, s.requestStart(e, now))
			}
		case scheduler.Stop:
			p.log.Info("A stop was requested.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "target", e.Target, "reason", e.Reason)
			if s, ok := p.sessions[e.Target]; ok {
				s.requestStop(e.Run, e.Unanswered)
			}
		case scheduler.RunLost:
			p.metrics.recordLoss(e.Cause)
			p.log.Info("A run was lost with its target.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "target", e.Target,
				"born", e.Incarnation, "cause", e.Cause.String(), "other_runs", e.OtherRuns, "age", e.Age)
		case scheduler.LossRecorded:
			p.node.reportLoss(e.Loss, p.id.Domain)
		case scheduler.SuspectDecided:
			p.metrics.recordSuspect(e.Decision)
			p.log.Info(e.Decision.Message(), "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "target", e.Target,
				"decision", e.Decision.String(), "crashed", e.Losses.Crashed, "unresolved", e.Losses.Unresolved, "age", e.Age)
		case scheduler.LocalWaitEnded:
			p.logLocalWait(e)
		case scheduler.Withheld:
			p.logWithheld(e, now)
		case scheduler.Reply:
			p.reply(e, now)
		case scheduler.DroppedRunEnded:
			p.logDroppedRun(e, now)
		case scheduler.LogEntry:
			p.log.Info(e.Message, "job", e.Job, "target", e.Target, "reason", e.Reason, "age", e.Age)
		}
	}
	for id, s := range p.sessions {
		s.setActiveRuns(p.core.RunCount(id))
	}
}

func (p *pool) reply(r scheduler.Reply, now time.Time) {
	w, ok := p.waiters[r.Waiter]
	if !ok {
		return
	}
	delete(p.waiters, r.Waiter)
	p.metrics.recordJob(r.Answer, now.Sub(w.waitingSince))
	p.publishLoad(now)
	w.answer <- r.Answer
}

// formerAge returns how long ago a task's former run was taken for over, 0 if there was none.
func formerAge(r scheduler.Release, now time.Time) time.Duration {
	if r.At.IsZero() {
		return 0
	}
	return now.Sub(r.At)
}
