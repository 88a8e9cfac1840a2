package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// targetState is one target in a pool.
type targetState struct {
	name        string
	slots       int           // the target's slots
	heldSlots   int           // slots that this host may use
	busySlots   int           // slots that this host uses; above heldSlots for a while after a share shrank
	pausedUntil time.Time     // no start before this time, because the target refused one
	nextPause   time.Duration // the pause after the next refusal
	freeIndex   int           // index in pool.withFreeSlot, or -1
	disabled    bool          // no start and no loan for now
	removed     bool          // the target is no longer listed; the entry stays until busySlots is 0
}

// pool holds the targets and the list of those with a free slot.
type pool struct {
	byName       map[string]*targetState
	withFreeSlot []*targetState
	heldSlots    int // sum over all targets
	busySlots    int // sum over all targets
}

func newPool() pool {
	return pool{byName: make(map[string]*targetState)}
}

// maxDraws is the number of random draws before a scan of all targets with a free slot.
const maxDraws = 4

// acquire reserves a slot on the less used of two random targets (the power of two
// choices, Mitzenmacher 2001).
func (p *pool) acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	a := p.drawTarget(now, rng, usable)
	if a == nil {
		return "", false
	}
	if b := p.drawTarget(now, rng, usable); b.load() < a.load() {
		a = b
	}
	a.busySlots++
	p.busySlots++
	p.updateFreeList(a)
	return a.name, true
}

// drawTarget returns a random usable target with a free slot, or nil. If maxDraws draws
// find none, it scans the targets from a random position.
func (p *pool) drawTarget(now time.Time, rng *rand.Rand, usable func(string) bool) *targetState {
	n := len(p.withFreeSlot)
	if n == 0 {
		return nil
	}
	for range maxDraws {
		if e := p.withFreeSlot[rng.IntN(n)]; e.mayStart(now, usable) {
			return e
		}
	}
	from := rng.IntN(n)
	for i := range n {
		if e := p.withFreeSlot[(from+i)%n]; e.mayStart(now, usable) {
			return e
		}
	}
	return nil
}

// mayStart reports whether the target is not paused and usable accepts it.
func (e *targetState) mayStart(now time.Time, usable func(string) bool) bool {
	return !now.Before(e.pausedUntil) && (usable == nil || usable(e.name))
}

// load returns the used fraction of the target's slots that this host may use.
func (e *targetState) load() float64 {
	return float64(e.busySlots) / float64(e.heldSlots)
}

// release returns one used slot of a target and the target's state, or nil if none of its
// slots is used.
func (p *pool) release(name string) *targetState {
	e := p.byName[name]
	if e == nil || e.busySlots == 0 {
		return nil
	}
	e.busySlots--
	p.busySlots--
	p.updateFreeList(e)
	if e.removed && e.busySlots == 0 {
		delete(p.byName, name)
	}
	return e
}

// maxPauseFactor bounds the pause of a target, in multiples of the first pause.
const maxPauseFactor = 16

// releaseRefused returns the slot of a refused start and pauses the target: for the given
// pause at first, for twice as long after each further refusal, up to maxPauseFactor.
func (p *pool) releaseRefused(now time.Time, name string, pause time.Duration) {
	e := p.release(name)
	if e == nil {
		return
	}
	e.nextPause = max(pause, min(e.nextPause, maxPauseFactor*pause))
	e.pausedUntil = now.Add(e.nextPause)
	e.nextPause *= 2
}

// releaseFinished returns the slot of a task that ran, and ends the target's pause.
func (p *pool) releaseFinished(name string) *targetState {
	e := p.release(name)
	if e != nil {
		e.pausedUntil, e.nextPause = time.Time{}, 0
	}
	return e
}

// setHeldSlots sets the number of held slots of e, limited to between 0 and its slots.
func (p *pool) setHeldSlots(e *targetState, slots int) {
	slots = max(0, min(slots, e.slots))
	p.heldSlots += slots - e.heldSlots
	e.heldSlots = slots
	p.updateFreeList(e)
}

// setDisabled disables a target or enables it again.
func (p *pool) setDisabled(name string, disabled bool) {
	if e := p.byName[name]; e != nil && e.disabled != disabled {
		e.disabled = disabled
		p.updateFreeList(e)
	}
}

// updateFreeList adds e to the targets with a free slot or removes e from them.
func (p *pool) updateFreeList(e *targetState) {
	hasFreeSlot := !e.removed && !e.disabled && e.busySlots < e.heldSlots
	if hasFreeSlot == (e.freeIndex >= 0) {
		return
	}
	if hasFreeSlot {
		e.freeIndex = len(p.withFreeSlot)
		p.withFreeSlot = append(p.withFreeSlot, e)
		return
	}
	last := p.withFreeSlot[len(p.withFreeSlot)-1]
	p.withFreeSlot[e.freeIndex] = last
	last.freeIndex = e.freeIndex
	p.withFreeSlot = p.withFreeSlot[:len(p.withFreeSlot)-1]
	e.freeIndex = -1
}

// setTargets adds and removes targets. initialSlots returns the number of slots to hold of
// a target that is new or listed again, or whose number of slots has changed.
func (p *pool) setTargets(targets []Target, initialSlots func(Target) int) {
	live := make(map[string]bool, len(targets))
	for _, t := range targets {
		live[t.Name] = true
		e := p.byName[t.Name]
		if e == nil {
			e = &targetState{name: t.Name, freeIndex: -1}
			p.byName[t.Name] = e
		}
		if e.slots != t.Slots || e.removed {
			e.slots, e.removed = t.Slots, false
			p.setHeldSlots(e, initialSlots(t))
		}
	}
	for name, e := range p.byName {
		if !live[name] {
			p.remove(e)
		}
	}
}

func (p *pool) remove(e *targetState) {
	e.removed = true
	p.setHeldSlots(e, 0)
	if e.busySlots == 0 {
		delete(p.byName, e.name)
	}
}

// idleSlots returns the number of held slots of enabled targets that are not used.
func (p *pool) idleSlots() int {
	n := 0
	for _, e := range p.withFreeSlot {
		n += e.heldSlots - e.busySlots
	}
	return n
}

// usableSlots returns the number of slots that are used or can be.
func (p *pool) usableSlots() int { return p.busySlots + p.idleSlots() }

// sortedTargets returns the listed targets ordered by name.
func (p *pool) sortedTargets() []*targetState {
	all := make([]*targetState, 0, len(p.byName))
	for _, e := range p.byName {
		if !e.removed {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *targetState) int { return cmp.Compare(a.name, b.name) })
	return all
}
