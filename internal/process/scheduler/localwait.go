package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLocalWaits is the largest number of tasks of a pool that wait for a local place at
	// once, as all of them are reviewed in each round of placement.
	maxLocalWaits = 16
	// latestStartReserve is the time before the latest start of a job at which its tasks stop
	// waiting for local places: two ticks, as a job without a started task is refused at its
	// latest start.
	latestStartReserve = 40 * time.Millisecond
	// localForecastInterval is the shortest time between two forecasts for the tasks that wait.
	// A busy pool has several rounds of placement in each millisecond, and the forecast errs by
	// more than this.
	localForecastInterval = 5 * time.Millisecond
)

// LocalWaitOutcome is how a wait for a local place ended.
type LocalWaitOutcome int

// The outcomes of a wait for a local place.
const (
	LocalWaitSucceeded LocalWaitOutcome = iota // the task was started on a local target
	LocalWaitTimedOut                          // its longest wait was over
	LocalWaitHopeless                          // no local place was expected in time any more
	LocalWaitUnsafe                            // no later place was certain to be free in time
	LocalWaitAbandoned                         // the job was answered, or its task may not start
)

var localWaitOutcomeNames = [...]string{"succeeded", "timed_out", "hopeless", "unsafe", "abandoned"}

// String returns the outcome's name.
func (o LocalWaitOutcome) String() string { return localWaitOutcomeNames[o] }

// LocalWaitEnded reports the end of a wait for a local place and what it was decided on.
type LocalWaitEnded struct {
	Run         Run // Number is that of the last run before the end of the wait
	Rack        string
	Outcome     LocalWaitOutcome
	Waited      time.Duration
	Longest     time.Duration // that the decision allowed
	LocalIn     time.Duration // forecast of the time until a local place would be free
	RemoteCost  time.Duration // of a start on the remote target that was free
	Slack       time.Duration
	SuccessRate float64 // of earlier waits for the rack
}

func (LocalWaitEnded) effect() {}

// localWait is the wait of one task for a local place. It holds no place: other tasks may
// take any place that is free, as long as one is expected for this task by startBy.
type localWait struct {
	job     *jobState
	task    *task
	since   time.Time
	startBy time.Time // the task starts on any target at the latest then
	option  localityOption
	ended   bool // a task waits once; then it takes the next place, before all other tasks
}

// localWaits are the waits for local places in a pool.
type localWaits struct {
	active  []*localWait // ordered by startBy
	success map[string]waitSuccess
	cache   localCache

	forecastAt time.Time // when the forecasts of the active waits were reviewed last
}

// waitsForLocal reports whether the feature applies to tasks of a step.
func (c *Core) waitsForLocal(s Step) bool { return c.config.RemoteFactor > 1 && s.DataRack != "" }

// isLocal reports whether the target is in the step's data rack.
func (t *target) isLocal(s Step) bool { return slices.Contains(t.Labels, s.DataRack) }

// remoteFactor returns how many times as long a task of the step takes on the target as on a
// local one.
func (c *Core) remoteFactor(s Step, t *target) float64 {
	if c.waitsForLocal(s) && !t.isLocal(s) {
		return c.config.RemoteFactor
	}
	return 1
}

// runTimeOn estimates the run time of a task of the step on the target.
func (c *Core) runTimeOn(s Step, t *target) time.Duration {
	return time.Duration(float64(s.Estimate) * c.remoteFactor(s, t) * t.slowdown)
}

// deferForLocal reports whether a task that could start on the chosen target waits for a
// local one instead.
func (c *Core) deferForLocal(s *jobState, t *task, chosen *target, now time.Time) bool {
	step := s.Steps[t.step]
	if !c.waitsForLocal(step) || chosen.isLocal(step) || c.evacuated {
		return false
	}
	if t.localWait != nil {
		return !t.localWait.ended
	}
	if len(c.localWaits.active) >= maxLocalWaits || c.config.MaxLocalWait <= 0 || s.late || s.OnlyAtOnce {
		return false
	}
	option, ok := c.localityOption(s, t, chosen, now)
	if !ok {
		return false
	}
	longest := decideLocalWait(option)
	if !s.hasStarted {
		longest = min(longest, s.latestStart.Add(-latestStartReserve).Sub(now))
	}
	wait := &localWait{job: s, task: t, since: now, startBy: now.Add(longest), option: option}
	if longest < option.LocalIn || longest <= 0 || !c.fallbackCertain(wait, now) {
		return false
	}
	t.localWait = wait
	c.localWaits.cache.ready = nil
	before := c.localWaits.active
	i, _ := slices.BinarySearchFunc(before, wait, compareLocalWaits)
	c.localWaits.active = slices.Insert(slices.Clone(before), i, wait)
	for _, other := range before {
		if !other.ended && !c.fallbackCertain(other, now) {
			t.localWait, c.localWaits.active = nil, before
			c.localWaits.cache.ready = nil
			return false
		}
	}
	return true
}

func compareLocalWaits(a, b *localWait) int {
	return cmp.Or(a.startBy.Compare(b.startBy), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.task.step, b.task.step),
		cmp.Compare(a.task.index, b.task.index))
}

// localityOption gathers what the decision for a task rests on. It returns false if no target
// of the rack in the pool is expected to have a place, or if one seems to have it now: then
// the task cannot use it, for a reason that the forecast does not know.
func (c *Core) localityOption(s *jobState, t *task, remote *target, now time.Time) (localityOption, bool) {
	step := s.Steps[t.step]
	localAt, slowdown, ok := c.forecastLocal(s, t, now)
	if !ok || !localAt.After(now) {
		return localityOption{}, false
	}
	localTime := time.Duration(float64(step.Estimate) * slowdown)
	return localityOption{
		LocalIn:     localAt.Sub(now),
		LocalTime:   localTime,
		RemoteTime:  c.runTimeOn(step, remote),
		Slack:       s.dueAt.Sub(now) - s.pathFrom(t.step) - (localTime - step.Estimate),
		Backlog:     max(0, c.readyTasks(s.Service)-c.countStartable(s.Service, step, now)),
		NeedShare:   float64(step.Need.CPUMilli) / float64(max(1, c.usableCPUMilli(s.Service, now))),
		SuccessRate: c.waitSuccessOf(step.DataRack, now),
		MaxWait:     c.config.MaxLocalWait,
	}, true
}

func (c *Core) waitSuccessOf(rack string, now time.Time) float64 {
	if w, ok := c.localWaits.success[rack]; ok {
		return w.at(now)
	}
	return initialWaitSuccess
}

// reviewLocalWaits ends the waits that are over, have become hopeless, or whose tasks would
// not be certain of a later place, and starts these tasks on any target before all other
// tasks: they have left places to the others.
func (c *Core) reviewLocalWaits(now time.Time) {
	c.localWaits.cache.clear()
	if len(c.localWaits.active) == 0 {
		return
	}
	c.localWaits.active = slices.DeleteFunc(c.localWaits.active, func(w *localWait) bool {
		if c.mayWait(w) {
			return false
		}
		c.endLocalWait(w, LocalWaitAbandoned, now)
		return true
	})
	forecastDue := now.Sub(c.localWaits.forecastAt) >= localForecastInterval
	if forecastDue {
		c.localWaits.forecastAt = now
	}
	for _, w := range c.localWaits.active {
		switch {
		case w.ended:
		case !now.Before(w.startBy):
			c.endLocalWait(w, LocalWaitTimedOut, now)
		case c.evacuated || forecastDue && !c.localExpected(w, now):
			c.endLocalWait(w, LocalWaitHopeless, now)
		case c.readyTasks(w.job.Service) > 0 && !c.fallbackCertain(w, now): // otherwise nothing takes a place in this round
			c.endLocalWait(w, LocalWaitUnsafe, now)
		}
		if w.ended {
			if chosen := c.bestTarget(w.job, w.task, now); chosen != nil {
				c.startTask(w.job, w.task, chosen, now)
			}
		}
	}
	c.localWaits.active = slices.DeleteFunc(c.localWaits.active, func(w *localWait) bool { return w.ended && !c.mayWait(w) })
}

// mayWait reports whether the task of a wait still has to be started here, beside others.
func (c *Core) mayWait(w *localWait) bool {
	return c.jobs[w.job.key()] == w.job && w.task.run == nil && !w.task.done && len(c.unknownRunsOf(w.job, w.task)) == 0 && c.mayStart(w.job, w.task) && !c.isSuspect(w.job, w.task)
}

// localExpected reports whether a local place is still expected before the wait is over, and
// early enough to be worth waiting for.
func (c *Core) localExpected(w *localWait, now time.Time) bool {
	localAt, _, ok := c.forecastLocal(w.job, w.task, now)
	return ok && !localAt.After(w.startBy) && localAt.Sub(now) < w.option.remoteCost()
}

// recordLocalStart ends the wait of a task that is started on the target.
func (c *Core) recordLocalStart(t *task, chosen *target, now time.Time) {
	c.localWaits.cache.clear()
	w := t.localWait
	if w == nil || w.ended {
		return
	}
	if chosen.isLocal(w.job.Steps[t.step]) {
		c.endLocalWait(w, LocalWaitSucceeded, now)
	} else {
		c.endLocalWait(w, LocalWaitAbandoned, now)
	}
}

// endLocalWait ends a wait, reports it and updates the rate of success of its rack.
func (c *Core) endLocalWait(w *localWait, outcome LocalWaitOutcome, now time.Time) {
	if w.ended {
		return
	}
	w.ended = true
	rack := w.job.Steps[w.task.step].DataRack
	if outcome != LocalWaitAbandoned {
		if c.localWaits.success == nil {
			c.localWaits.success = map[string]waitSuccess{}
		}
		known, ok := c.localWaits.success[rack]
		if !ok {
			known = waitSuccess{initialWaitSuccess, now}
		}
		c.localWaits.success[rack] = known.observe(outcome == LocalWaitSucceeded, now)
	}
	c.emit(LocalWaitEnded{
		Run:  Run{Job: w.job.ID, Step: w.task.step, Index: w.task.index, Number: w.task.lastRunNumber},
		Rack: rack, Outcome: outcome, Waited: now.Sub(w.since), Longest: w.startBy.Sub(w.since),
		LocalIn: w.option.LocalIn, RemoteCost: w.option.remoteCost(), Slack: w.option.Slack, SuccessRate: w.option.SuccessRate,
	})
}
