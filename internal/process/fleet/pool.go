package fleet

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/holder"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/process/parts"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// pool is the duty that owns the scheduler of one domain's targets. All its state
// belongs to the goroutine of run, but for what is marked otherwise.
type pool struct {
	node   *Node
	id     parts.Pool
	name   string // of id
	log    *slog.Logger
	events chan event
	ended  chan struct{}

	held atomic.Bool                   // read by any goroutine
	told atomic.Pointer[fleetpb.Claim] // what greetings say of the pool; nil while another host holds it
	ids  atomic.Uint64                 // of waiters

	view         *holder.Pool
	core         *scheduler.Core
	sessions     map[string]*session
	waiters      map[uint64]waiter
	raised       time.Time // when the token was raised last
	fenced       time.Time // when the pool was given up because a target obeys another holder
	handing      bool      // the jobs are on their way to another holder
	parked       []submitEvent
	probed       time.Time // when a target was asked last whether it can be reached
	reached      time.Time // when one answered last
	reachedSince time.Time // when one answered first, without a pause since; zero if none does
	home         time.Time // since when an entry host of the pool's own domain is heard
	opened       time.Time // when the domain was split, for a new part; zero once it was handed over
	looked       time.Time // when orphaned domains were looked for last
	counted      time.Time // when the targets of the domain were counted last
	uneven       time.Time // since when another host could take this pool off this one; zero if none can
	spreadLooked time.Time
	split        int // parts of the domain when targets were released last
	watch        *watch
}

// waiter is a caller, or the host that passed its job on.
type waiter struct {
	job    string
	sender string // the host that passed the job on; empty for this one
	begun  time.Time
	answer chan<- scheduler.Answer // takes one
}

// event is a message for the pool's owner.
type event interface{ apply(p *pool, now time.Time) }

func newPool(n *Node, id parts.Pool) *pool {
	name := id.String()
	p := &pool{
		node:     n,
		id:       id,
		name:     name,
		opened:   time.Now(),
		log:      logging.For(n.config.Log, "pool"),
		events:   make(chan event, eventRing),
		ended:    make(chan struct{}),
		view:     holder.NewPool(n.config.Self.Address, settleFor, aloneFor, time.Now()),
		sessions: map[string]*session{},
		waiters:  map[uint64]waiter{},
		watch:    newWatch(n.config.Metrics, name),
	}
	p.core = scheduler.NewCore(scheduler.DefaultConfig())
	return p
}

// run works until ctx is cancelled.
func (p *pool) run(ctx context.Context) error {
	defer close(p.ended)
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeSessions()
			return nil
		case e := <-p.events:
			e.apply(p, time.Now())
		case <-timer.C:
			p.tick(time.Now())
			timer.Reset(p.pause())
		}
	}
}

// pause returns the time until the next tick.
func (p *pool) pause() time.Duration {
	if p.held.Load() {
		return tickEvery
	}
	return idleTick
}

// offer hands an event over, or refuses it if too many wait.
func (p *pool) offer(e event) error {
	select {
	case p.events <- e:
		return nil
	default:
		return failure.New(failure.Overloaded, "too many events wait for the pool's owner")
	}
}

// tell hands an event over that must not be lost.
func (p *pool) tell(e event) {
	select {
	case p.events <- e:
	case <-p.ended:
	}
}

// submit runs a job in this pool and returns its answer.
func (p *pool) submit(ctx context.Context, j scheduler.Job, sender string) scheduler.Answer {
	answer := make(chan scheduler.Answer, 1)
	id := p.ids.Add(1)
	e := submitEvent{id: id, job: j, waiter: waiter{job: j.ID, sender: sender, begun: time.Now(), answer: answer}}
	if err := p.offer(e); err != nil {
		return refusedBy(err)
	}
	select {
	case a := <-answer:
		return a
	case <-p.ended:
		return scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.OutcomeUnknown, Reason: "the host stopped"}
	case <-ctx.Done():
		p.tell(withdrawEvent{id: id})
		return scheduler.Answer{Outcome: scheduler.Broken, Kind: failure.CancelledRunning, Reason: "the caller left"}
	}
}

// refusedBy turns the error of a step before any start into an answer.
func refusedBy(err error) scheduler.Answer {
	kind := failure.KindOf(err)
	return scheduler.Answer{
		Outcome: scheduler.Refused, Kind: kind, Reason: err.Error(), RetryAfter: max(0, failure.Lookup(kind).ComeBack),
	}
}

// tick decides on the claim and lets the scheduler look at the time.
func (p *pool) tick(now time.Time) {
	if p.handing {
		return
	}
	p.decide(now)
	if p.id.Domain != p.node.config.Self.Domain {
		if p.held.Load() {
			p.returnHome(now)
		}
	} else if p.id.Part == 0 && now.Sub(p.looked) > orphansEvery {
		p.looked = now
		p.node.openOrphans()
	}
	if p.held.Load() {
		p.grow(now)
		p.release(now)
		p.spread(now)
		p.core.SetPoolCapacities(p.node.room(p.id))
		p.apply(p.core.Tick(now), now)
		p.withdrawLostSenders(now)
	}
	p.publish(now)
}

func (p *pool) decide(now time.Time) {
	isolated := p.node.isolated()
	if !isolated {
		p.view.Contact(now)
	} else if now.Sub(p.fenced) < fencedPause {
		return
	}
	if p.id.Domain != p.node.config.Self.Domain && !p.reachable(now) {
		return
	}
	if p.view.Held() {
		return
	}
	alive := func(host string) bool { return host == p.node.config.Self.Address || p.node.alive(host) }
	var candidates []string // not needed while there is a holder
	if h := p.view.Claim().Holder; h == "" || !alive(h) {
		candidates = p.node.candidates(p.id)
	}
	if p.view.Decide(alive, candidates, now) == holder.Taken {
		p.takeOver(now, "nobody holds the pool")
	}
}

// takeOver begins to order the pool's targets under the claim's token.
func (p *pool) takeOver(now time.Time, reason string) {
	claim := p.view.Claim()
	p.log.Info("This host holds the pool.", "pool", p.name, "token", claim.Token, "reason", reason)
	p.held.Store(true)
	p.closeSessions()
	for _, a := range p.node.beats.list(now) {
		p.announce(a, now)
	}
	p.publish(now)
}

// yield stops ordering targets. Jobs that have not run go to the new holder;
// the others' runs are stopped by it, so their end is unknown.
func (p *pool) yield(now time.Time, reason string) {
	claim := p.view.Claim()
	p.log.Warn("This host no longer holds the pool.", "pool", p.name, "holder", claim.Holder, "token", claim.Token, "reason", reason)
	p.held.Store(false)
	p.closeSessions()
	p.apply(p.core.AbandonJobs(), now)
	p.core = scheduler.NewCore(scheduler.DefaultConfig())
	p.publish(now)
}

func (p *pool) closeSessions() {
	for _, s := range p.sessions {
		s.close()
	}
	p.sessions = map[string]*session{}
}

// publish makes the claim known to the greeting goroutines.
func (p *pool) publish(now time.Time) {
	if !p.held.Load() {
		p.told.Store(nil)
		return
	}
	free, queued := p.core.Load(now)
	p.watch.load(free, queued)
	c := p.claimMessage()
	c.FreeSlots, c.Queued = uint32(free), uint32(queued)
	p.told.Store(c)
}

// claimMessage returns the claim without the load.
func (p *pool) claimMessage() *fleetpb.Claim {
	claim := p.view.Claim()
	return &fleetpb.Claim{
		Pool: p.name, Holder: claim.Holder, FencingToken: claim.Token, Parts: uint32(p.node.partsOf(p.id.Domain)),
	}
}

// hearClaim passes a claim on this pool to the owner.
func (p *pool) hearClaim(c *fleetpb.Claim) {
	if c.GetPool() == p.name {
		p.tell(claimEvent{holder.Claim{Holder: c.GetHolder(), Token: c.GetFencingToken()}})
	}
}

// announce takes in what a target of the pool said.
func (p *pool) announce(a Announcement, now time.Time) {
	id := a.Target.ID
	if !p.held.Load() || !p.owns(id, a.Target.Domain) || p.id.Part > 0 && now.Sub(p.opened) < growPause {
		return
	}
	if a.Deregistered {
		p.removeTarget(id, now)
		return
	}
	s, ok := p.sessions[id]
	if ok && (s.born != a.Target.Incarnation || s.ref.Address != a.Target.Address) {
		s.close()
		ok = false
	}
	if !ok {
		s = newSession(p, a)
		p.sessions[id] = s
		s.begin(p.node.running)
	}
	p.apply(p.core.UpdateTarget(a.Target, !ok, now), now)
}

// meetReborn takes in that the target of a session has started anew under its id,
// before it announced so.
func (p *pool) meetReborn(s *session, r TargetReport, now time.Time) {
	a, ok := p.node.beats.get(s.ref.ID)
	if !ok || r.Incarnation < s.born {
		return // a late answer of the former incarnation
	}
	if a.Target.Incarnation < r.Incarnation {
		a.Target.Incarnation, a.Sequence, a.ClockMS, a.ReceivedAt = r.Incarnation, 0, r.ClockMS, now
		a.Target.Draining = false
		p.node.beats.learn(a)
	}
	p.announce(a, now)
}

func (p *pool) removeTarget(id string, now time.Time) {
	if s, ok := p.sessions[id]; ok {
		s.close()
		delete(p.sessions, id)
	}
	p.apply(p.core.RemoveTarget(id, now), now)
}

// withdrawLostSenders drops the jobs of hosts that are no longer heard: their
// callers send them again elsewhere.
func (p *pool) withdrawLostSenders(now time.Time) {
	for id, w := range p.waiters {
		if w.sender != "" && !p.node.alive(w.sender) && now.Sub(w.begun) > aliveFor {
			p.log.Warn("A job was withdrawn.", "job", w.job, "reason", "the host that sent it is not heard", "peer", w.sender)
			withdrawEvent{id: id}.apply(p, now)
		}
	}
}

// apply carries out the scheduler's effects.
func (p *pool) apply(effects []scheduler.Effect, now time.Time) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			p.log.Info("A start was ordered.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "target", e.Target)
			if s, ok := p.sessions[e.Target]; ok {
				s.start(e)
			}
		case scheduler.Stop:
			p.log.Info("A stop was ordered.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "target", e.Target, "reason", e.Reason)
			if s, ok := p.sessions[e.Target]; ok {
				s.stop(e.Run)
			}
		case scheduler.Reply:
			p.reply(e, now)
		case scheduler.LogEntry:
			p.log.Info(e.Message, "job", e.Job, "target", e.Target, "reason", e.Reason, "age", e.Age)
		}
	}
	for id, s := range p.sessions {
		s.setActive(p.core.RunCount(id))
	}
}

func (p *pool) reply(r scheduler.Reply, now time.Time) {
	w, ok := p.waiters[r.Waiter]
	if !ok {
		return
	}
	delete(p.waiters, r.Waiter)
	p.watch.job(r.Answer, now.Sub(w.begun))
	w.answer <- r.Answer
}
