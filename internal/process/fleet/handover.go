package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// A handover passes a pool with its jobs in progress to another host: the old holder
// closes its sessions with the targets, processes every report that has arrived, and
// sends the pool's state. The new holder sends requests to the targets under a higher
// fencing token and finds the ended runs that were not acknowledged. Hosts that wait
// for a job's answer are told to ask the new holder.

// handOver hands the pool over to another host and waits for the outcome.
func (p *pool) handOver(ctx context.Context, reason string) {
	done := make(chan struct{})
	p.post(handOverEvent{reason: reason, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-p.stopped:
	}
}

// handOverEvent starts a handover. It closes the sessions, so that no more reports of
// targets are posted to the pool.
type handOverEvent struct {
	to     string // the host to take over the pool; empty for the first candidate
	reason string
	done   chan<- struct{}
}

func (e handOverEvent) apply(p *pool, now time.Time) {
	to := e.to
	if to == "" {
		to = p.node.firstOtherCandidate(p.id, func(string) bool { return true })
	}
	if !p.heldHere.Load() || p.handingOver || to == "" {
		close(e.done)
		return
	}
	if p.resumption.startsHeld { // jobs that wait here may have been sent elsewhere
		p.resumption.handOvers = append(p.resumption.handOvers, e)
		return
	}
	p.log.Info("The pool is being handed over.", "pool", p.name, "peer", to, "token", p.holderView.Claim().Token, "reason", e.reason)
	p.handingOver = true
	for _, s := range p.sessions {
		s.close()
	}
	// Reports that were posted before the sessions closed are ahead of this event in
	// the ring, so they are processed first.
	go p.post(sendStateEvent{to: to, done: e.done})
}

// sendStateEvent sends the pool's state to the new holder, once all posted reports are
// processed.
type sendStateEvent struct {
	to   string
	done chan<- struct{}
}

func (e sendStateEvent) apply(p *pool, now time.Time) {
	if p.resumption.startsHeld {
		handedOverEvent{to: e.to, outcome: handoverRefused, err: errStateOld, done: e.done}.apply(p, now)
		return
	}
	message := p.stateMessage(now)
	go func() {
		p.node.dropUnreadableParts(e.to, message)
		claim, outcome, err := p.sendState(e.to, message, now)
		p.post(handedOverEvent{to: e.to, claim: claim, outcome: outcome, err: err, done: e.done})
	}()
}

// handoverOutcome is what a host knows after it has sent a pool's state.
type handoverOutcome int

const (
	handoverAccepted handoverOutcome = iota // the other host holds the pool
	handoverRefused                         // the other host does not hold the pool and has not seen its state
	handoverUnknown                         // the other host may hold the pool
)

// errStateOld refuses to send a state of before a pause of this host: the callers of its jobs
// may have sent them to other pools.
var errStateOld = status.Error(codes.FailedPrecondition, "this host did not run since the state was made")

// isStateOld reports whether the senders of the jobs in a pool's state may have given them up
// in a pause of this host.
func (n *Node) isStateOld(madeAt time.Time) bool {
	last := n.pauses.lastGap(n.now())
	return last.to.After(madeAt) && last.to.Sub(last.from) > dialTimeout
}

// sendState sends the pool's state of a given time to a host that it can connect to.
func (p *pool) sendState(to string, m *fleetpb.PoolState, madeAt time.Time) (*fleetpb.Claim, handoverOutcome, error) {
	link, ok := p.node.link(to)
	if !ok {
		return nil, handoverRefused, status.Error(codes.Unavailable, "the host is not known")
	}
	if !link.WaitConnected(p.node.runCtx, link.Current()) {
		return nil, handoverRefused, status.Error(codes.Unavailable, "the host cannot be reached")
	}
	if p.node.clockOf(to, madeAt) == 0 {
		p.node.exchangeHello(p.node.runCtx, to, link)
	}
	m.MadeAtMs = p.node.clockOf(to, madeAt)
	return p.sendRepeatedly(to, m, func(ctx context.Context) (*fleetpb.Claim, error) {
		conn := link.Current()
		link.WaitConnected(p.node.runCtx, conn)
		if p.node.isStateOld(madeAt) {
			return nil, errStateOld
		}
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		var claim *fleetpb.Claim
		err := link.CallWithProbes(ctx, conn, func(ctx context.Context) (err error) {
			claim, err = fleetpb.NewFleetClient(conn).HandOver(ctx, m)
			return err
		})
		return claim, err
	})
}

// sendRepeatedly sends the pool's state until the other host has accepted or refused it,
// the host is no longer alive, or maxHandoverTries are used. The host recognizes a state
// that it has accepted before. A refusal concerns one try alone: the host may have accepted
// an earlier one, started tasks and restarted, or handed the pool on. An incarnation that
// started since the first try does not know, and must not accept the state.
func (p *pool) sendRepeatedly(to string, m *fleetpb.PoolState, send func(context.Context) (*fleetpb.Claim, error)) (*fleetpb.Claim, handoverOutcome, error) {
	receiver := p.node.incarnationOf(to)
	for try := 1; ; try++ {
		claim, err := send(p.node.runCtx)
		outcome := handoverOutcomeOf(err)
		if outcome == handoverRefused && try > 1 {
			return nil, handoverUnknown, err
		}
		if outcome != handoverUnknown || try == maxHandoverTries || receiver == 0 || !p.node.isAlive(to) || p.node.runCtx.Err() != nil {
			return claim, outcome, err
		}
		m.ReceiverIncarnation = receiver
		p.log.Warn("The outcome of a handover is not known; the state is sent again.", "pool", p.name, "peer", to, "error", err)
	}
}

// handoverOutcomeOf classifies the result of one attempt.
func handoverOutcomeOf(err error) handoverOutcome {
	switch status.Code(err) {
	case codes.OK:
		return handoverAccepted
	case codes.FailedPrecondition, codes.InvalidArgument, codes.Unimplemented:
		return handoverRefused
	}
	return handoverUnknown
}

// handedOverEvent reports the outcome of a handover.
type handedOverEvent struct {
	to      string
	claim   *fleetpb.Claim
	outcome handoverOutcome
	err     error
	done    chan<- struct{}
}

func (e handedOverEvent) apply(p *pool, now time.Time) {
	defer close(e.done)
	p.handingOver = false
	submits := p.parkedSubmits
	p.parkedSubmits = nil
	switch e.outcome {
	case handoverAccepted:
		p.holderView.RecordRelease(now) // the claim may be without a holder by now
		p.holderView.RecordClaim(holder.Claim{Holder: e.claim.GetHolder(), Token: e.claim.GetFencingToken()})
		p.node.recordReturnedClaim(e.claim)
		p.handedOver.Store(e.claim)
		p.heldHere.Store(false)
		p.sessions = map[string]*session{}
		p.applyEffects(p.core.CompleteHandover(e.to), now)
		p.core = p.newCore()
		p.log.Info("Another host holds the pool.", "pool", p.name, "peer", e.to, "token", e.claim.GetFencingToken())
	case handoverRefused:
		p.log.Warn("The pool was not handed over.", "pool", p.name, "peer", e.to, "error", e.err)
		p.withdrawLostSenders(now)
		p.takeOver(now, "the handover was refused")
		p.applyEffects(p.core.ResumeRuns(), now)
	case handoverUnknown:
		// The other host may have started tasks that wait here, so the jobs are not
		// continued. Runs on the targets are stopped before the targets get work.
		p.log.Warn("The outcome of a handover is not known; its jobs are given up.", "pool", p.name, "peer", e.to, "error", e.err)
		p.applyEffects(p.core.CompleteHandover(e.to), now)
		p.core = p.newCore()
		p.holderView.RaiseToken(now)
		p.takeOver(now, "the host that was to take the pool over does not answer")
	}
	p.publishClaim(now)
	for _, s := range submits {
		s.apply(p, now)
	}
}

// claimsToTell returns the claims that a hello message carries: this host's, and those of
// the hosts that it has handed pools over to while it is leaving. A host that has just
// started has heard from this host only, and would claim these pools.
func (n *Node) claimsToTell() []*fleetpb.Claim {
	claims := n.publishedClaims()
	if !n.leaving.Load() {
		return claims
	}
	for _, p := range n.listPools() {
		if c := p.handedOver.Load(); c != nil && p.publishedClaim.Load() == nil {
			claims = append(claims, c)
		}
	}
	return claims
}

// recordReturnedClaim records a claim that another host returned.
func (n *Node) recordReturnedClaim(c *fleetpb.Claim) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordClaim(c)
}

// returnToHomeDomain hands the pool of another domain over to an entry host of that
// domain once one has been heard from for returnHomeDelay.
func (p *pool) returnToHomeDomain(now time.Time) {
	p.node.mu.Lock()
	homeHosts := p.node.aliveEntryHosts(p.id.Domain, now)
	p.node.mu.Unlock()
	if len(homeHosts) == 0 {
		p.homeHostSince = time.Time{}
		return
	}
	if p.homeHostSince.IsZero() {
		p.homeHostSince = now
	}
	if now.Sub(p.homeHostSince) > returnHomeDelay {
		p.homeHostSince = now
		handOverEvent{reason: "its domain has an entry host again", done: make(chan struct{})}.apply(p, now)
	}
}

func (p *pool) stateMessage(now time.Time) *fleetpb.PoolState {
	m := &fleetpb.PoolState{
		Pool: p.name, FencingToken: p.holderView.Claim().Token, Parts: uint32(p.node.shardCount(p.id.Domain)),
		FormerPoolMs: uint32(max(0, p.formerPoolUntil.Sub(now).Milliseconds())),
	}
	for _, a := range p.node.announcements.recent(now) {
		if p.contains(a.Target.ID, a.Target.Domain) {
			m.Targets = append(m.Targets, announcementMessage(a, now))
		}
	}
	leaseRemaining := func(targetID string) time.Duration { return p.leaseRemaining(targetID, now) }
	for _, j := range p.core.ExportJobs(leaseRemaining, now) {
		j.AwaitedAt = p.awaitedAt(j, now)
		job := runningJobMessage(j, now)
		job.Request.Losses = p.node.lossMessages(j.Job.ID, now)
		m.Jobs = append(m.Jobs, job)
	}
	return m
}

// leaseRemaining returns how long a lease that this host has sent to a target may still
// be in force.
func (p *pool) leaseRemaining(targetID string, now time.Time) time.Duration {
	if s, ok := p.sessions[targetID]; ok {
		return s.leaseRemaining(now)
	}
	return p.node.longestLease()
}

// sessionLeaseRemaining returns how long a lease that the session with a target has sent may be
// in force, 0 if there is no session.
func (p *pool) sessionLeaseRemaining(targetID string, now time.Time) time.Duration {
	if s, ok := p.sessions[targetID]; ok {
		return s.leaseRemaining(now)
	}
	return 0
}

// longestLease returns how long a lease that has just been sent may be in force, by this
// host's clock. A target measures it on a clock that may be slow.
func (n *Node) longestLease() time.Duration {
	return n.config.MaxLease + n.config.MaxLease/(maxClockLag-1) + leaseMargin
}

// receivePool takes over the pool from another host and returns the new claim.
func (p *pool) receivePool(ctx context.Context, m *fleetpb.PoolState) (*fleetpb.Claim, error) {
	answer := make(chan receivedPool, 1)
	p.post(receivePoolEvent{message: m, answer: answer})
	select {
	case r := <-answer:
		return r.claim, r.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-p.stopped:
		return nil, status.Error(codes.Unavailable, "the host is stopping")
	}
}

// receivePoolEvent delivers a pool with its jobs in progress.
type receivePoolEvent struct {
	message *fleetpb.PoolState
	answer  chan<- receivedPool // buffered for one answer
}

// receivedPool is the answer to a handover: the claim on the pool, or the error that
// refuses it.
type receivedPool struct {
	claim *fleetpb.Claim
	err   error
}

func (e receivePoolEvent) apply(p *pool, now time.Time) {
	token := e.message.GetFencingToken()
	if token == p.acceptedToken {
		e.answer <- receivedPool{claim: p.claimMessage()} // the sender did not receive the first answer
		return
	}
	if reason := p.refusalReason(e.message, now); reason != "" {
		p.log.Warn("A handover was refused.", "pool", p.name, "token", token, "reason", reason)
		e.answer <- receivedPool{err: status.Error(codes.FailedPrecondition, reason)}
		return
	}
	p.acceptedToken = token
	madeAt := timeOfMessage(e.message.GetMadeAtMs(), now)
	for _, a := range e.message.GetTargets() {
		p.node.recordIfUsable(announcementFrom(a, madeAt))
	}
	// The pool's targets must be known before its jobs, whose runs they take over. Those
	// that belong to another shard by now stay unknown.
	p.node.mu.Lock()
	p.node.raiseShardCount(p.id.Domain, int(e.message.GetParts()))
	p.node.mu.Unlock()
	p.formerPoolUntil = time.Time{}
	if ms := e.message.GetFormerPoolMs(); ms > 0 {
		p.formerPoolUntil = now.Add(time.Duration(ms) * time.Millisecond)
	}
	p.observeHolder(now)
	p.balancer.Received(now)
	p.holderView.AcceptHandover(e.message.GetFencingToken(), now)
	p.takeOver(now, "its holder handed it over")
	p.applyEffects(p.core.ResumeRuns(), now)
	var jobs []scheduler.HandoverJob
	for _, j := range e.message.GetJobs() {
		p.node.recordLosses(j.GetRequest().GetLosses())
		job := runningJobFrom(j, p.node.longestLease(), madeAt)
		if err := job.Job.Check(); err != nil {
			p.log.Warn("A job of a handover was dropped.", "pool", p.name, "job", job.Job.ID, "reason", err.Error())
			continue
		}
		jobs = append(jobs, job)
	}
	p.applyEffects(p.core.ImportJobs(jobs, now), now)
	p.log.Info("Jobs in progress were taken over.", "pool", p.name, "jobs", len(jobs), "age", now.Sub(madeAt))
	e.answer <- receivedPool{claim: p.claimMessage()}
}

// refusalReason returns why a state that was not accepted before is refused, empty if it is
// not.
func (p *pool) refusalReason(m *fleetpb.PoolState, now time.Time) string {
	switch {
	case m.GetReceiverIncarnation() != 0 && m.GetReceiverIncarnation() != p.node.config.Self.Incarnation:
		return "a former incarnation of this host may have accepted it"
	case p.node.leaving.Load():
		return "this host is stopping"
	case p.resumption.startsHeld && p.resumption.awaitsPeers:
		return "this host did not run for a while, and its sender may have given the handover up"
	case p.node.awaitsEvacuations():
		return "this host does not know yet which domains are evacuated"
	case m.GetFencingToken() < p.holderView.Claim().Token:
		return "a newer claim on the pool is known"
	case m.GetMadeAtMs() != 0 && timeOfOwnClock(m.GetMadeAtMs()).Sub(now) > maxClockError:
		return "its age is not known: it was made for a former incarnation of this host"
	}
	return ""
}

// awaitedAt returns when it was last known that the caller of a job waits. A host that was
// heard from awaits the answer to a probe for dialTimeout before it gives the job up.
func (p *pool) awaitedAt(j scheduler.HandoverJob, now time.Time) time.Time {
	if len(j.Waiters) == 0 {
		return j.AwaitedAt
	}
	silence := p.waiters[j.Waiters[0]].heard.silence(now)
	for _, id := range j.Waiters[1:] {
		silence = min(silence, p.waiters[id].heard.silence(now))
	}
	return now.Add(-max(0, silence-dialTimeout))
}

func runningJobMessage(j scheduler.HandoverJob, now time.Time) *fleetpb.RunningJob {
	m := &fleetpb.RunningJob{Request: jobMessage(j.Job, now), Ran: j.HasStarted, AwaitedAgeMs: uint32(now.Sub(j.AwaitedAt).Milliseconds()) + 1}
	for _, t := range j.Tasks {
		m.Tasks = append(m.Tasks, &fleetpb.Task{
			Step: uint32(t.Step), Index: uint32(t.Index), Started: uint32(t.LastRunNumber), Failures: uint32(t.Failures),
			Done: t.Done, Target: t.Target, Born: t.Incarnation, Confirmed: t.Confirmed, Stopping: t.Stopping,
			LeaseMs: uint32(t.LeaseRemaining.Milliseconds()) + 1,
		})
	}
	return m
}

// runningJobFrom returns the job that a message of a given time describes. Hosts of former
// releases do not tell how long the leases of its runs may still be in force; longestLease
// stands for it.
func runningJobFrom(m *fleetpb.RunningJob, longestLease time.Duration, madeAt time.Time) scheduler.HandoverJob {
	j := scheduler.HandoverJob{Job: jobFrom(m.GetRequest(), madeAt), HasStarted: m.GetRan(), AwaitedAt: madeAt}
	if ms := m.GetAwaitedAgeMs(); ms > 0 {
		j.AwaitedAt = madeAt.Add(-time.Duration(ms-1) * time.Millisecond)
	}
	for _, t := range m.GetTasks() {
		lease := longestLease
		if t.GetLeaseMs() > 0 {
			lease = time.Duration(t.GetLeaseMs()) * time.Millisecond
		}
		j.Tasks = append(j.Tasks, scheduler.HandoverTask{
			Step: int(t.GetStep()), Index: int(t.GetIndex()), LastRunNumber: int(t.GetStarted()), Failures: int(t.GetFailures()),
			Done: t.GetDone(), Target: t.GetTarget(), Incarnation: t.GetBorn(), Stopping: t.GetStopping(), LeaseRemaining: lease,
			Confirmed: t.GetConfirmed() || t.GetBorn() == 0,
		})
	}
	return j
}
