package health

import (
	"math"
	"time"
)

// Config holds the thresholds and limits of a Tracker.
type Config struct {
	ConsecutiveFailures int           // consecutive failures of tasks that rarely fail elsewhere that eject a target
	MaxEjectedFraction  float64       // maximum fraction of the live targets out of use at once, 0 to 1
	InitialPause        time.Duration // duration of the first ejection; doubled at each further one, up to MaxPause
	MaxPause            time.Duration
	RequiredTrials      int // successful trials, one task at a time, before a target is healthy again
	MaxGroups           int // maximum number of task groups whose outcomes are kept
}

// DefaultConfig returns the Config that applies unless a bundle states other values.
func DefaultConfig() Config {
	return Config{
		ConsecutiveFailures: 3,
		MaxEjectedFraction:  1.0 / 3,
		InitialPause:        5 * time.Second,
		MaxPause:            5 * time.Minute,
		RequiredTrials:      3,
		MaxGroups:           1024,
	}
}

// State is the health state of a target.
type State int

// The states of a target.
const (
	Healthy State = iota
	Ejected       // gets no task until its pause ends
	OnTrial       // gets one task at a time
)

// String returns the name of the state as status answers show it.
func (s State) String() string { return [...]string{"healthy", "ejected", "on trial"}[s] }

const (
	badTargetFailureRate = 0.5 // failure rate assumed of a faulty target
	maxTargetSamples     = 16  // latest outcomes kept per target
	pauseResetFactor     = 10  // InitialPause applies again after a healthy time of this many times the latest pause
)

// targetRecord holds the health state and the latest outcomes of one target.
type targetRecord struct {
	state         State
	pauseEndsAt   time.Time     // end of the latest pause; zero if there was none
	returnedAt    time.Time     // when the target last became healthy again
	pause         time.Duration // length of the latest pause
	passedTrials  int           // successful trials since the pause ended
	recentSamples []sample
}

// sample is the outcome of one task at a target.
type sample struct {
	group  string
	failed bool
}

// Tracker decides the health states of targets from the outcomes of their tasks.
type Tracker struct {
	config     Config
	targets    map[string]*targetRecord
	groups     map[string]*group
	groupOrder []string // group names, oldest first
	liveCount  int
}

// NewTracker returns a Tracker without targets.
func NewTracker(config Config) *Tracker {
	return &Tracker{config: config, targets: make(map[string]*targetRecord), groups: make(map[string]*group)}
}

// SetConfig replaces the configuration, except for MaxGroups.
func (t *Tracker) SetConfig(config Config) {
	config.MaxGroups = t.config.MaxGroups
	t.config = config
}

// SetTargets replaces the list of live targets. A target that is no longer live is
// removed. If it was ejected, it is kept until its latest pause has been over for as
// long as it lasted, so that a target that restarts stays ejected.
func (t *Tracker) SetTargets(now time.Time, names []string) {
	live := make(map[string]bool, len(names))
	for _, name := range names {
		live[name] = true
		if t.targets[name] == nil {
			t.targets[name] = &targetRecord{}
		}
	}
	for name, r := range t.targets {
		if !live[name] && !now.Before(r.pauseEndsAt.Add(r.pause)) {
			delete(t.targets, name)
		}
	}
	t.liveCount = len(names)
}

// State returns the health state of a target; an unknown target is Healthy. An
// ejected target whose pause is over becomes OnTrial.
func (t *Tracker) State(now time.Time, target string) State {
	r := t.targets[target]
	if r == nil {
		return Healthy
	}
	if r.state == Ejected && !now.Before(r.pauseEndsAt) {
		r.state, r.passedTrials = OnTrial, 0
	}
	return r.state
}

// Usable reports whether the state of a target that runs runningTasks tasks allows
// another one.
func (t *Tracker) Usable(now time.Time, target string, runningTasks int) bool {
	switch t.State(now, target) {
	case Ejected:
		return false
	case OnTrial:
		return runningTasks == 0
	}
	return true
}

// Observe records the outcome of a task at a target and reports whether the
// target's state changed. The group names the like tasks whose failure rate at
// other targets the outcome is compared with. Unknown targets are ignored.
func (t *Tracker) Observe(now time.Time, target, groupName string, failed bool) bool {
	r := t.targets[target]
	if r == nil {
		return false
	}
	before := t.State(now, target)
	g := t.groupFor(groupName)
	g.add(outcome{target, failed})
	r.addSample(sample{groupName, failed})
	switch {
	case r.state == OnTrial:
		t.recordTrial(now, target, r, g, failed)
	case r.state == Healthy && failed:
		t.ejectIfFaulty(now, target, r)
	}
	if failed {
		t.reinstateTargets(now, groupName)
	}
	return t.State(now, target) != before
}

// addSample appends a sample and drops the oldest above maxTargetSamples.
func (r *targetRecord) addSample(s sample) {
	if len(r.recentSamples) == maxTargetSamples {
		r.recentSamples = append(r.recentSamples[:0], r.recentSamples[1:]...)
	}
	r.recentSamples = append(r.recentSamples, s)
}

// groupFor returns the group of a name, which it creates if necessary. Above
// MaxGroups the group that was created first is removed.
func (t *Tracker) groupFor(name string) *group {
	if g, ok := t.groups[name]; ok {
		return g
	}
	if len(t.groupOrder) >= t.config.MaxGroups {
		delete(t.groups, t.groupOrder[0])
		t.groupOrder = t.groupOrder[1:]
	}
	g := &group{}
	t.groups[name] = g
	t.groupOrder = append(t.groupOrder, name)
	return g
}

// evidence returns the cumulative sum of log-likelihood ratios over the recent
// outcomes of a target. The sum is never negative.
func (t *Tracker) evidence(target string, r *targetRecord) float64 {
	sum := 0.0
	for _, s := range r.recentSamples {
		rate := priorRate
		if g := t.groups[s.group]; g != nil {
			rate = g.rateElsewhere(target)
		}
		if s.failed {
			sum += math.Log(badTargetFailureRate / rate)
		} else {
			sum += math.Log((1 - badTargetFailureRate) / (1 - rate))
		}
		sum = max(0, sum)
	}
	return sum
}

// ejectionThreshold returns the evidence from which a target is ejected.
func (t *Tracker) ejectionThreshold() float64 {
	failures := float64(min(t.config.ConsecutiveFailures, maxTargetSamples/2))
	return (failures - 0.5) * math.Log(badTargetFailureRate/minFailureRate)
}

// ejectIfFaulty ejects a target if the evidence reaches the threshold and enough
// targets stay in use.
func (t *Tracker) ejectIfFaulty(now time.Time, target string, r *targetRecord) {
	if t.evidence(target, r) >= t.ejectionThreshold() && t.outOfUseCount() < t.maxOutOfUse() {
		t.eject(now, r)
	}
}

// recordTrial records the outcome of a trial task. A failure ejects the target
// again, unless the task's group fails elsewhere too; enough successes make the
// target healthy.
func (t *Tracker) recordTrial(now time.Time, target string, r *targetRecord, g *group, failed bool) {
	if failed && g.rateElsewhere(target) < badTargetFailureRate {
		t.eject(now, r)
		return
	}
	if failed {
		return
	}
	r.passedTrials++
	if r.passedTrials >= t.config.RequiredTrials {
		r.state, r.returnedAt, r.recentSamples = Healthy, now, nil
	}
}

// eject takes a target out of use. Each pause is twice as long as the one before,
// up to MaxPause, unless the target was healthy for long enough in between.
func (t *Tracker) eject(now time.Time, r *targetRecord) {
	switch {
	case r.pause == 0, r.state == Healthy && now.Sub(r.returnedAt) > pauseResetFactor*r.pause:
		r.pause = t.config.InitialPause
	default:
		r.pause = min(2*r.pause, t.config.MaxPause)
	}
	r.state, r.pauseEndsAt = Ejected, now.Add(r.pause)
}

// reinstateTargets makes targets healthy that failures of a group ejected, now that the
// group is known to fail elsewhere too: the targets in a pause of the initial length
// whose evidence has fallen below half of the threshold.
func (t *Tracker) reinstateTargets(now time.Time, groupName string) {
	for name, r := range t.targets {
		if r.state != Ejected || r.pause != t.config.InitialPause || !r.hasFailureOf(groupName) {
			continue
		}
		if t.evidence(name, r) < t.ejectionThreshold()/2 {
			r.state, r.returnedAt, r.pause, r.pauseEndsAt = Healthy, now, 0, time.Time{}
		}
	}
}

// hasFailureOf reports whether a recent sample is a failure of the group.
func (r *targetRecord) hasFailureOf(group string) bool {
	for _, s := range r.recentSamples {
		if s.failed && s.group == group {
			return true
		}
	}
	return false
}

// outOfUseCount returns the number of targets that are ejected or on trial.
func (t *Tracker) outOfUseCount() int {
	n := 0
	for _, r := range t.targets {
		if r.state != Healthy {
			n++
		}
	}
	return n
}

// maxOutOfUse returns how many targets may be out of use at once: 0 if there is only
// one or MaxEjectedFraction is 0, otherwise at least 1.
func (t *Tracker) maxOutOfUse() int {
	if t.liveCount < 2 || t.config.MaxEjectedFraction <= 0 {
		return 0
	}
	return max(1, int(t.config.MaxEjectedFraction*float64(t.liveCount)))
}
