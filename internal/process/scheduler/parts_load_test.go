package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/shards"
)

// domainPlay simulates one domain with four pools, each held by one of its entry hosts,
// to which callers submit jobs. A host knows the loads of the other hosts' pools from
// hello messages and, where jobs may run in parts, from answers.
type domainPlay struct {
	*simulation
	inParts bool
	known   [4][4]shards.Load     // by host and pool
	parts   map[uint64]playedPart // by waiter
	split   int                   // jobs that ran in parts
	draws   *rand.Rand            // for the choice of pools, so that the same jobs arrive with and without parts
}

type playedPart struct {
	job        uint64 // the waiter of the whole job
	host       int
	parted     *PartedJob
	submission PartSubmission
	waiters    map[int]uint64 // pending parts of the job
}

// newDomainPlay returns a domain with 24 targets a pool, of which most can run two tasks of half their cores and a load that swings by 0.55 in
// 15 s around load times that of the sheet for such a domain.
func newDomainPlay(inParts bool, seed uint64, load float64, length time.Duration) *domainPlay {
	p := &domainPlay{simulation: newSimulation(func(*Config) {}, seed, 4), inParts: inParts, parts: map[uint64]playedPart{}, draws: rand.New(rand.NewPCG(seed, 8))}
	p.meanNeed = 8000
	for pool, core := range p.pools {
		for i := 12; i < 24; i++ {
			id := fmt.Sprintf("z%d-t%02d", pool, i)
			p.speeds[id] = 1
			core.UpdateTarget(Target{ID: id, Service: "desk", Capacity: Resources{CPUMilli: 16000, MemoryMB: 32768}}, false, p.now)
		}
	}
	swing := func(d time.Duration) float64 { return load * (1 + 0.55*math.Sin(2*math.Pi*d.Seconds()/15)) }
	for host := range p.pools {
		for _, c := range hutopsClasses {
			p.scheduleArrivals(host, c, 2.0/4, length, swing)
		}
	}
	for d := time.Duration(0); d < length; d += 250 * time.Millisecond {
		p.after(d, func() {
			for host := range p.pools {
				for pool := range p.pools {
					p.learn(host, pool)
				}
			}
		})
	}
	p.submitFirst, p.intercept = p.submitToDomain, p.interceptReply
	p.run(length)
	return p
}

// learn records the current load of a pool at a host.
func (p *domainPlay) learn(host, pool int) {
	free, queued := p.pools[pool].Load(p.now)
	p.known[host][pool] = shards.Load{Pool: fmt.Sprintf("z%d", pool), FreeTasks: free, QueuedTasks: queued, HeldHere: host == pool, TakesParts: true}
}

func (p *domainPlay) send(host int, pool string, j Job, waiter uint64) {
	var to int
	_, _ = fmt.Sscanf(pool, "z%d", &to)
	delay := networkDelay
	if to == host {
		delay = 0
	} else if p.inParts {
		p.known[host][to].FreeTasks -= j.TaskCount()
	}
	p.after(delay, func() { p.applyEffects(to, p.pools[to].Submit(j, waiter, p.now)) })
}

func (p *domainPlay) submitToDomain(waiter uint64, j *simulatedJob) {
	host := j.firstPool
	if p.planned(host, waiter, j) {
		return
	}
	pool := shards.ChoosePool(p.known[host][:], j.job.TaskCount(), p.draws.IntN)
	_, _ = fmt.Sscanf(pool, "z%d", &j.firstPool)
	p.send(host, pool, j.job, waiter)
}

// planned submits a job in parts if that is planned.
func (p *domainPlay) planned(host int, waiter uint64, j *simulatedJob) bool {
	p.learn(host, host)
	plan := shards.PlanParts(p.known[host][:], j.job.TaskCount())
	if !p.inParts || plan == nil {
		return false
	}
	p.split++
	parted, submissions := NewPartedJob(j.job, plan, p.now)
	pending := map[int]uint64{}
	for _, s := range submissions {
		p.sendPart(playedPart{waiter, host, parted, s, pending})
	}
	return true
}

func (p *domainPlay) sendPart(part playedPart) {
	p.sequence++
	waiter := uint64(p.sequence)
	p.parts[waiter], part.waiters[part.submission.Part] = part, waiter
	p.send(part.host, part.submission.Pool, part.submission.Job, waiter)
}

// interceptReply handles replies to parts, and plans the parts of a job that its pool spills
// or that the last pool to try refuses.
func (p *domainPlay) interceptReply(pool int, e Reply) bool {
	if part, ok := p.parts[e.Waiter]; ok {
		delete(p.parts, e.Waiter)
		delete(part.waiters, part.submission.Part)
		p.after(networkDelay, func() { p.receivePart(pool, part, e.Answer) })
		return true
	}
	j, ok := p.jobsByWaiter[e.Waiter]
	if !ok {
		return true // of a part that was withdrawn
	}
	host := j.host
	p.learn(host, pool)
	lastRefused := e.Answer.Outcome == Refused && j.job.OnlyAtOnce && len(j.poolsToTry) == 0
	return (e.Answer.Outcome == Spill || lastRefused) && p.planned(host, e.Waiter, j)
}

func (p *domainPlay) receivePart(pool int, part playedPart, a Answer) {
	if _, ok := p.jobsByWaiter[part.job]; !ok {
		return
	}
	p.learn(part.host, pool)
	next, again := part.parted.HandleAnswer(part.submission.Part, a, p.known[part.host][:], p.now)
	if again {
		part.submission = next
		p.sendPart(part)
	}
	p.answerIfDecided(part)
}

func (p *domainPlay) answerIfDecided(part playedPart) {
	if _, ok := p.jobsByWaiter[part.job]; !ok {
		return
	}
	answer, decideAt, decided := part.parted.Answer(p.now)
	if !decided {
		if !decideAt.IsZero() {
			p.after(decideAt.Sub(p.now), func() { p.answerIfDecided(part) })
		}
		return
	}
	for i, waiter := range part.waiters {
		pool := part.parted.parts[i].Pool
		var at int
		_, _ = fmt.Sscanf(pool, "z%d", &at)
		p.after(networkDelay, func() {
			p.applyEffects(at, p.pools[at].Withdraw(part.submission.Job.ID, waiter, p.now))
		})
		delete(p.parts, waiter)
	}
	p.handleReply(part.host, Reply{Waiter: part.job, Answer: answer})
}

// While each pool has some places and none has all that a wide job needs, wide jobs in
// parts are refused less often, and no more of them are late, than in one pool. A domain
// whose demand swings passes through that state on its way to each peak.
func TestWideJobsInPartsAreServedWhereNoPoolHasRoom(t *testing.T) {
	g := NewWithT(t)
	sum := map[bool]*classResult{true: {}, false: {}}
	total := map[bool]*classResult{true: {}, false: {}}
	for _, load := range []float64{0.6, 1.2} {
		for seed := range uint64(2) {
			for _, inParts := range []bool{false, true} {
				p := newDomainPlay(inParts, seed, load, 10*time.Second)
				wide, all := p.resultOfClass("avail"), p.total()
				t.Logf("load %.1f, seed %d, in parts %v: wide jobs %d, refused %d, late %d, value share %.3f; all %.3f; split %d",
					load, seed, inParts, wide.submitted, wide.refused, wide.late, wide.valueShare(), all.valueShare(), p.split)
				for to, r := range map[*classResult]classResult{sum[inParts]: *wide, total[inParts]: all} {
					to.submitted += r.submitted
					to.refused += r.refused
					to.late += r.late
					to.earnedValue += r.earnedValue
					to.offeredValue += r.offeredValue
				}
			}
		}
	}
	share := func(n int, r *classResult) float64 { return float64(n) / float64(r.submitted) }
	with, without := sum[true], sum[false]
	t.Logf("wide jobs in parts: refused %.4f, late %.4f; in one pool: %.4f, %.4f; value share of all jobs %.3f and %.3f", share(with.refused, with),
		share(with.late, with), share(without.refused, without), share(without.late, without), total[true].valueShare(), total[false].valueShare())
	g.Expect(share(with.refused, with)).To(BeNumerically("<", share(without.refused, without)))
	g.Expect(share(with.late, with)).To(BeNumerically("<=", share(without.late, without)))
	g.Expect(total[true].valueShare()).To(BeNumerically(">=", total[false].valueShare()))
}
