package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The tests below simulate the load of the users' sheets on one or several pools in
// virtual time and sum the value of the answers that callers get.

// jobClass describes one kind of job on the users' sheet for tt-hutops.
type jobClass struct {
	name          string
	jobsPerSecond float64
	meanTasks     float64
	maxTasks      float64
	meanTaskTime  time.Duration
	maxTaskTime   time.Duration
	meanValue     float64 // of a job of mean size that is answered in time
	priority      int
	maxAttempts   int
}

var hutopsClasses = []jobClass{
	{"avail", 34.4, 8, 32, 60 * time.Millisecond, 240 * time.Millisecond, 0.0291, 0, 4},
	{"quote", 6.25, 4, 16, 900 * time.Millisecond, 3600 * time.Millisecond, 0.16, 2, 2},
	{"release", 100, 2, 8, 200 * time.Millisecond, 800 * time.Millisecond, 0.01, 1, 3},
}

// classResult counts the answers to a group of jobs, such as one class, and sums
// their value.
type classResult struct {
	submitted, onTime, late, refused int
	earnedValue, offeredValue        float64
	refusedWithRoom                  float64 // value of refused jobs that another pool could have started at once
}

func (r classResult) valueShare() float64 { return r.earnedValue / r.offeredValue }

// simulation runs a load on pools in virtual time.
type simulation struct {
	rng             *rand.Rand
	now             time.Time
	pools           []*Core
	events          eventQueue
	sequence        int
	jobsByWaiter    map[uint64]*simulatedJob
	runs            map[string]*simulatedRun // by target, task and run number
	resultsByClass  map[string]*classResult
	speeds          map[string]float64   // by target; 1 runs a task in its nominal time
	unresponsive    map[string]bool      // targets that answer nothing
	resultsByWindow map[int]*classResult // windows of two seconds
	resultsByDomain map[int]*classResult
	startedAt       time.Time
	meanNeed        float64                                    // of a task, in thousandths of a core
	submitFirst     func(waiter uint64, j *simulatedJob)       // submits an arriving job; nil to submit it to firstPool
	intercept       func(pool int, e Reply) (intercepted bool) // sees each reply first; nil for none
	prepare         func(*simulatedJob)                        // changes a job before it is submitted; nil for none
	racks           map[string]string                          // by target
	remoteFactor    float64                                    // how many times as long tasks take outside their data rack
	jobTimes        []time.Duration                            // of completed jobs
	observe         func(Effect)                               // called with each effect of a pool; nil for none
}

type simulatedJob struct {
	class       jobClass
	host        int      // the pool whose callers submitted the job
	firstPool   int      // the pool that the job was submitted to first
	poolsToTry  []string // that the job has been spilled to and not sent to yet
	job         Job
	taskTimes   []time.Duration // nominal run time of each task
	submittedAt time.Time
	objective   time.Duration
	value       float64
}

type simulatedRun struct {
	ended bool
}

type timedEvent struct {
	at       time.Time
	sequence int
	action   func()
}

type eventQueue []timedEvent

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].sequence < t[j].sequence
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(timedEvent)) }
func (t *eventQueue) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

const (
	networkDelay = 3 * time.Millisecond // of a request or a reported end, including the target's own delay
	clientDelay  = 6 * time.Millisecond
)

// newSimulation returns a simulation of pools with twelve targets each. Two in three
// targets have 16 cores; every third has 24 slower ones.
func newSimulation(configure func(*Config), seed uint64, pools int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), jobsByWaiter: map[uint64]*simulatedJob{},
		runs: map[string]*simulatedRun{}, resultsByClass: map[string]*classResult{}, speeds: map[string]float64{}, unresponsive: map[string]bool{},
		resultsByWindow: map[int]*classResult{}, resultsByDomain: map[int]*classResult{}, meanNeed: 6800,
	}
	s.startedAt = s.now
	for domain := range pools {
		config := DefaultConfig()
		configure(&config)
		core := NewCore(config)
		s.pools = append(s.pools, core)
		for i := range 12 {
			id := fmt.Sprintf("z%d-t%02d", domain, i)
			capacity, speed := int64(16000), 1.0
			if i%3 == 2 {
				capacity, speed = 24000, 1/1.3
			}
			s.speeds[id] = speed
			core.UpdateTarget(Target{ID: id, Service: "desk", Capacity: Resources{CPUMilli: capacity, MemoryMB: 32768}}, false, s.now)
		}
	}
	return s
}

// after schedules an action at a delay from the current virtual time.
func (s *simulation) after(d time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.events, timedEvent{s.now.Add(d), s.sequence, action})
}

// logNormal draws from a log-normal distribution with a mean and a relative
// standard deviation, capped at limit.
func (s *simulation) logNormal(mean, deviation, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + deviation*deviation))
	return math.Min(limit, mean*math.Exp(s.rng.NormFloat64()*sigma-sigma*sigma/2))
}

// scheduleArrivals schedules the jobs of a class at a pool as a Poisson process. The
// rate at a time is the class's rate times share times load, which is at most
// highest.
func (s *simulation) scheduleArrivals(pool int, c jobClass, share float64, length time.Duration, load func(time.Duration) float64) {
	var elapsed time.Duration
	const highest = 3.0
	for {
		elapsed += time.Duration(s.rng.ExpFloat64() / (c.jobsPerSecond * share * highest) * float64(time.Second))
		if elapsed > length {
			return
		}
		if s.rng.Float64() > load(elapsed)/highest {
			continue
		}
		s.after(elapsed, func() { s.submit(pool, c) })
	}
}

func (s *simulation) submit(pool int, c jobClass) {
	count := max(1, int(math.Round(s.logNormal(c.meanTasks, 0.4, c.maxTasks))))
	nominalTime := time.Duration(s.logNormal(float64(c.meanTaskTime), 0.4, float64(c.maxTaskTime)))
	cpu := int64(s.logNormal(s.meanNeed, 0.2, 10000))
	estimate := time.Duration(float64(nominalTime) * math.Exp(0.4*s.rng.NormFloat64()))
	simulated := &simulatedJob{class: c, host: pool, firstPool: pool, submittedAt: s.now}
	var longest time.Duration
	var coreSeconds float64
	for range count {
		taskTime := time.Duration(float64(nominalTime) * (1 + 0.15*(2*s.rng.Float64()-1)))
		longest = max(longest, taskTime)
		simulated.taskTimes = append(simulated.taskTimes, taskTime)
		coreSeconds += taskTime.Seconds()
	}
	simulated.objective = time.Duration(1.6*float64(longest)) + 60*time.Millisecond
	simulated.value = c.meanValue * (0.3 + 0.7*math.Min(4, coreSeconds/(c.meanTasks*c.meanTaskTime.Seconds())))
	s.sequence++
	id := uint64(s.sequence)
	s.jobsByWaiter[id] = simulated
	arrived := s.now.Add(clientDelay / 2)
	simulated.job = Job{
		ID: fmt.Sprintf("j%d", id), Queue: c.name, Service: "desk", Priority: c.priority, MaxAttempts: c.maxAttempts, SlackFactor: 1.6,
		TargetLatency: 60 * time.Millisecond, ArrivedAt: arrived, Deadline: arrived.Add(5*simulated.objective + time.Second),
		Steps: []Step{{Count: count, Need: Resources{CPUMilli: cpu, MemoryMB: 64}, Estimate: estimate}},
	}
	if s.prepare != nil {
		s.prepare(simulated)
	}
	result := s.resultOfClass(c.name)
	for _, x := range []*classResult{result, s.currentWindow(), s.resultOfDomain(pool)} {
		x.submitted++
		x.offeredValue += simulated.value
	}
	s.after(clientDelay/2, func() {
		if s.submitFirst != nil {
			s.submitFirst(id, simulated)
			return
		}
		s.applyEffects(pool, s.pools[pool].Submit(simulated.job, id, s.now))
	})
}

func (s *simulation) resultOfClass(name string) *classResult {
	if s.resultsByClass[name] == nil {
		s.resultsByClass[name] = &classResult{}
	}
	return s.resultsByClass[name]
}

func (s *simulation) currentWindow() *classResult {
	w := int(s.now.Sub(s.startedAt) / (2 * time.Second))
	if s.resultsByWindow[w] == nil {
		s.resultsByWindow[w] = &classResult{}
	}
	return s.resultsByWindow[w]
}

func (s *simulation) resultOfDomain(pool int) *classResult {
	if s.resultsByDomain[pool] == nil {
		s.resultsByDomain[pool] = &classResult{}
	}
	return s.resultsByDomain[pool]
}

func (s *simulation) applyEffects(pool int, effects []Effect) {
	core := s.pools[pool]
	for _, e := range effects {
		if s.observe != nil {
			s.observe(e)
		}
		switch e := e.(type) {
		case Start:
			s.startRun(pool, core, e)
		case Stop:
			key := e.Target + e.Run.TaskID() + fmt.Sprint(e.Run.Number)
			if s.unresponsive[e.Target] {
				continue
			}
			if r := s.runs[key]; r != nil {
				r.ended = true
			}
			s.after(2*networkDelay+50*time.Millisecond, func() { s.applyEffects(pool, core.HandleRunStopped(e.Target, e.Run, s.now)) })
		case Reply:
			if s.intercept == nil || !s.intercept(pool, e) {
				s.handleReply(pool, e)
			}
		}
	}
}

func (s *simulation) startRun(pool int, core *Core, e Start) {
	var nominalTime time.Duration
	var rack string
	for _, j := range s.jobsByWaiter {
		if j.job.ID == e.Run.Job {
			nominalTime, rack = j.taskTimes[e.Run.Index], j.job.Steps[0].DataRack
			break
		}
	}
	if s.unresponsive[e.Target] {
		s.after(250*time.Millisecond, func() { s.applyEffects(pool, core.HandleStartResult(e.Target, e.Run, Unanswered, s.now)) })
		s.after(1100*time.Millisecond, func() { s.applyEffects(pool, core.ExpireLeases(e.Target, s.now)) })
		return
	}
	r := &simulatedRun{}
	s.runs[e.Target+e.Run.TaskID()+fmt.Sprint(e.Run.Number)] = r
	s.after(2*networkDelay, func() { s.applyEffects(pool, core.HandleStartResult(e.Target, e.Run, Started, s.now)) })
	took := time.Duration(float64(nominalTime) / s.speeds[e.Target])
	if rack != "" && rack != s.racks[e.Target] {
		took = time.Duration(float64(took) * s.remoteFactor)
	}
	s.after(2*networkDelay+took, func() {
		if !r.ended && !s.unresponsive[e.Target] {
			r.ended = true
			s.applyEffects(pool, core.HandleRunEnded(e.Target, e.Run, EndDone, s.now))
		}
	})
}

func (s *simulation) handleReply(pool int, e Reply) {
	j := s.jobsByWaiter[e.Waiter]
	if e.Answer.Outcome == Spill {
		j.job.Spilled, j.job.OnlyAtOnce, j.poolsToTry = true, true, e.Answer.Pools
	}
	if e.Answer.Outcome == Spill || e.Answer.Outcome == Refused && j.job.OnlyAtOnce {
		s.submitToNextPool(e.Waiter, j)
		return
	}
	delete(s.jobsByWaiter, e.Waiter)
	if e.Answer.Outcome == Refused && s.anyPoolHasRoom(j.job) {
		s.resultOfClass(j.class.name).refusedWithRoom += j.value
	}
	took := s.now.Sub(j.submittedAt) + clientDelay/2
	if e.Answer.Outcome == Completed {
		s.jobTimes = append(s.jobTimes, took)
	}
	for _, x := range []*classResult{s.resultOfClass(j.class.name), s.windowAt(j.submittedAt), s.resultOfDomain(j.firstPool)} {
		switch {
		case e.Answer.Outcome == Completed && took <= j.objective:
			x.onTime++
			x.earnedValue += j.value
		case e.Answer.Outcome == Completed && took <= 3*j.objective:
			x.late++
			x.earnedValue += 0.2 * j.value
		default:
			x.refused++
		}
	}
}

// anyPoolHasRoom reports whether a pool could start all tasks of a job now.
func (s *simulation) anyPoolHasRoom(j Job) bool {
	return slices.ContainsFunc(s.pools, func(core *Core) bool { return core.startableNow(newJobState(j), s.now) })
}

// submitToNextPool sends a spilled job to the next of the pools to try, or back to its
// own pool if there is none left.
func (s *simulation) submitToNextPool(waiter uint64, j *simulatedJob) {
	next := j.firstPool
	if len(j.poolsToTry) > 0 {
		_, _ = fmt.Sscanf(j.poolsToTry[0], "z%d", &next)
		j.poolsToTry = j.poolsToTry[1:]
	} else {
		j.job.OnlyAtOnce, j.job.Returned = false, true
	}
	s.after(2*networkDelay, func() { s.applyEffects(next, s.pools[next].Submit(j.job, waiter, s.now)) })
}

func (s *simulation) windowAt(t time.Time) *classResult {
	return s.resultsByWindow[int(t.Sub(s.startedAt)/(2*time.Second))]
}

// run processes all events. The pools get a tick every 20 ms and the free capacity of
// the other pools every 250 ms.
func (s *simulation) run(length time.Duration) {
	for d := time.Duration(0); d < length+5*time.Second; d += 20 * time.Millisecond {
		s.after(d, func() {
			for i, core := range s.pools {
				s.applyEffects(i, core.Tick(s.now))
			}
		})
	}
	for d := time.Duration(0); d < length; d += 250 * time.Millisecond {
		s.after(d, func() { s.exchangePoolCapacities() })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(timedEvent)
		if e.at.Sub(s.startedAt) > length+10*time.Second {
			return // the remaining events belong to targets that never answer
		}
		s.now = e.at
		e.action()
	}
}

func (s *simulation) exchangePoolCapacities() {
	var all []PoolCapacity
	for i, core := range s.pools {
		free, _ := core.Load(s.now)
		all = append(all, PoolCapacity{Pool: fmt.Sprintf("z%d", i), FreeTasks: free})
	}
	for i, core := range s.pools {
		core.SetPoolCapacities(slices.Delete(slices.Clone(all), i, i+1))
	}
}

// total sums the results of all classes.
func (s *simulation) total() classResult {
	var sum classResult
	for _, r := range s.resultsByClass {
		sum.submitted += r.submitted
		sum.onTime += r.onTime
		sum.late += r.late
		sum.refused += r.refused
		sum.earnedValue += r.earnedValue
		sum.offeredValue += r.offeredValue
		sum.refusedWithRoom += r.refusedWithRoom
	}
	return sum
}
