package health

import (
	"math"
	"time"
)

// Config configures a Tracker.
type Config struct {
	ConsecutiveFailures int           // in a row, of tasks that rarely fail elsewhere, that eject a target
	MaxEjectedFraction  float64       // greatest part of the targets out of use at once, 0 to 1
	InitialPause        time.Duration // out of use at first; doubled each time, up to LongPause
	MaxPause            time.Duration
	RequiredTrials      int // successes, one task at a time, before a target is in full use
	MaxGroups           int // groups remembered at most
}

// DefaultConfig returns the Config in force unless a bundle states another.
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

// State is a target's state.
type State int

// The states of a target.
const (
	Healthy State = iota
	Ejected       // out of use until its pause ends
	OnTrial       // one task at a time
)

// String returns the state's name.
func (s State) String() string { return [...]string{"healthy", "ejected", "on trial"}[s] }

const (
	badRate  = 0.5 // failure rate of a bad target
	memory   = 16  // outcomes remembered of a target
	calmTime = 10  // after this many pauses in use the pause starts anew
)

// record is what is known of a target.
type record struct {
	state    State
	until    time.Time // end of the pause
	returned time.Time // when it was last put back in full use
	pause    time.Duration
	passed   int // trials passed
	recent   []sample
}

type sample struct {
	group  string
	failed bool
}

// Tracker judges targets by the outcomes of their tasks.
type Tracker struct {
	config  Config
	targets map[string]*record
	groups  map[string]*group
	order   []string // the groups, oldest first
	live    int
}

// NewTracker returns a Tracker without targets.
func NewTracker(config Config) *Tracker {
	return &Tracker{config: config, targets: make(map[string]*record), groups: make(map[string]*group)}
}

// SetConfig puts another Config in force, except for Groups.
func (t *Tracker) SetConfig(config Config) {
	config.MaxGroups = t.config.MaxGroups
	t.config = config
}

// SetTargets names the live targets. Of others only those out of use are kept,
// until their pause is over, so that a restart does not clear a target's name.
func (t *Tracker) SetTargets(now time.Time, names []string) {
	live := make(map[string]bool, len(names))
	for _, name := range names {
		live[name] = true
		if t.targets[name] == nil {
			t.targets[name] = &record{}
		}
	}
	for name, r := range t.targets {
		if !live[name] && !now.Before(r.until.Add(r.pause)) {
			delete(t.targets, name)
		}
	}
	t.live = len(names)
}

// State returns the state of a target.
func (t *Tracker) State(now time.Time, target string) State {
	r := t.targets[target]
	if r == nil {
		return Healthy
	}
	if r.state == Ejected && !now.Before(r.until) {
		r.state, r.passed = OnTrial, 0
	}
	return r.state
}

// Usable reports whether a target on which busy tasks run may get another.
func (t *Tracker) Usable(now time.Time, target string, runningTasks int) bool {
	switch t.State(now, target) {
	case Ejected:
		return false
	case OnTrial:
		return runningTasks == 0
	}
	return true
}

// Observe takes in how a task of a group of like tasks ended at a target, and
// reports whether the target's state changed.
func (t *Tracker) Observe(now time.Time, target, groupName string, failed bool) bool {
	r := t.targets[target]
	if r == nil {
		return false
	}
	before := t.State(now, target)
	g := t.group(groupName)
	g.add(outcome{target, failed})
	r.remember(sample{groupName, failed})
	switch {
	case r.state == OnTrial:
		t.judgeTrial(now, target, r, g, failed)
	case r.state == Healthy && failed:
		t.judge(now, target, r)
	}
	if failed {
		t.clearNames(now, groupName)
	}
	return t.State(now, target) != before
}

func (r *record) remember(s sample) {
	if len(r.recent) == memory {
		r.recent = append(r.recent[:0], r.recent[1:]...)
	}
	r.recent = append(r.recent, s)
}

// group returns the group of a name. The oldest makes room.
func (t *Tracker) group(name string) *group {
	if g, ok := t.groups[name]; ok {
		return g
	}
	if len(t.order) >= t.config.MaxGroups {
		delete(t.groups, t.order[0])
		t.order = t.order[1:]
	}
	g := &group{}
	t.groups[name] = g
	t.order = append(t.order, name)
	return g
}

// guilt returns the evidence against a target by its recent outcomes.
func (t *Tracker) guilt(target string, r *record) float64 {
	sum := 0.0
	for _, s := range r.recent {
		rate := priorRate
		if g := t.groups[s.group]; g != nil {
			rate = g.rateElsewhere(target)
		}
		if s.failed {
			sum += math.Log(badRate / rate)
		} else {
			sum += math.Log((1 - badRate) / (1 - rate))
		}
		sum = max(0, sum)
	}
	return sum
}

// evidence returns the sum that ejects a target.
func (t *Tracker) evidence() float64 {
	failures := float64(min(t.config.ConsecutiveFailures, memory/2))
	return (failures - 0.5) * math.Log(badRate/lowestRate)
}

func (t *Tracker) judge(now time.Time, target string, r *record) {
	if t.guilt(target, r) >= t.evidence() && t.outOfUse() < t.mayEject() {
		t.eject(now, r)
	}
}

// judgeTrial ends a trial that fails, unless the task's group fails elsewhere.
func (t *Tracker) judgeTrial(now time.Time, target string, r *record, g *group, failed bool) {
	if failed && g.rateElsewhere(target) < badRate {
		t.eject(now, r)
		return
	}
	if failed {
		return
	}
	r.passed++
	if r.passed >= t.config.RequiredTrials {
		r.state, r.returned, r.recent = Healthy, now, nil
	}
}

func (t *Tracker) eject(now time.Time, r *record) {
	switch {
	case r.pause == 0, r.state == Healthy && now.Sub(r.returned) > calmTime*r.pause:
		r.pause = t.config.InitialPause
	default:
		r.pause = min(2*r.pause, t.config.MaxPause)
	}
	r.state, r.until = Ejected, now.Add(r.pause)
}

// clearNames puts targets back in use that the failures of a group had
// ejected, now that it is known to fail elsewhere too.
func (t *Tracker) clearNames(now time.Time, group string) {
	for name, r := range t.targets {
		if r.state != Ejected || r.pause != t.config.InitialPause || !r.failedIn(group) {
			continue
		}
		if t.guilt(name, r) < t.evidence()/2 {
			r.state, r.returned, r.pause, r.until = Healthy, now, 0, time.Time{}
		}
	}
}

func (r *record) failedIn(group string) bool {
	for _, s := range r.recent {
		if s.failed && s.group == group {
			return true
		}
	}
	return false
}

func (t *Tracker) outOfUse() int {
	n := 0
	for _, r := range t.targets {
		if r.state != Healthy {
			n++
		}
	}
	return n
}

// mayEject returns how many targets may be out of use: none of a single one,
// else at least one unless the part is 0.
func (t *Tracker) mayEject() int {
	if t.live < 2 || t.config.MaxEjectedFraction <= 0 {
		return 0
	}
	return max(1, int(t.config.MaxEjectedFraction*float64(t.live)))
}
