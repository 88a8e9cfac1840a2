package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// entry is one target in a pool.
type entry struct {
	name  string
	slots int           // the target's own slots
	held  int           // slots that this host may use
	busy  int           // slots that this host uses; above held for a while after a part shrank
	full  time.Time     // no start before this: the target refused one
	wait  time.Duration // the pause after the next refusal
	free  int           // index in pool.free, or -1
	shut  bool          // no start and no loan for now
	gone  bool          // the target left; the entry stays until busy is 0
}

// pool keeps the targets and the list of those with a free slot.
type pool struct {
	byName map[string]*entry
	free   []*entry
	held   int // sum of held
	busy   int // sum of busy
}

func newPool() pool {
	return pool{byName: make(map[string]*entry)}
}

// draws is the number of random draws before a full scan.
const draws = 4

// acquire reserves a slot on the less used of two random targets (the power
// of two choices, Mitzenmacher 2001).
func (p *pool) acquire(now time.Time, rng *rand.Rand, usable func(string) bool) (string, bool) {
	a := p.draw(now, rng, usable)
	if a == nil {
		return "", false
	}
	if b := p.draw(now, rng, usable); b.load() < a.load() {
		a = b
	}
	a.busy++
	p.busy++
	p.index(a)
	return a.name, true
}

// draw returns a random target with a free slot, or nil. It falls back to a
// scan from a random place when several draws found none.
func (p *pool) draw(now time.Time, rng *rand.Rand, usable func(string) bool) *entry {
	n := len(p.free)
	if n == 0 {
		return nil
	}
	for range draws {
		if e := p.free[rng.IntN(n)]; e.open(now, usable) {
			return e
		}
	}
	from := rng.IntN(n)
	for i := range n {
		if e := p.free[(from+i)%n]; e.open(now, usable) {
			return e
		}
	}
	return nil
}

func (e *entry) open(now time.Time, usable func(string) bool) bool {
	return !now.Before(e.full) && (usable == nil || usable(e.name))
}

// load is the used part of the target's slots that this host may use.
func (e *entry) load() float64 {
	return float64(e.busy) / float64(e.held)
}

// release returns one used slot and the entry it belongs to.
func (p *pool) release(name string) *entry {
	e := p.byName[name]
	if e == nil || e.busy == 0 {
		return nil
	}
	e.busy--
	p.busy--
	p.index(e)
	if e.gone && e.busy == 0 {
		delete(p.byName, name)
	}
	return e
}

// longestPause bounds a target's pause, in units of the first pause.
const longestPause = 16

// refuse returns the slot of a refused start and leaves the target alone for
// a while: pause at first, doubled at each further refusal.
func (p *pool) refuse(now time.Time, name string, pause time.Duration) {
	e := p.release(name)
	if e == nil {
		return
	}
	e.wait = max(pause, min(e.wait, longestPause*pause))
	e.full = now.Add(e.wait)
	e.wait *= 2
}

// finish returns the slot of a task that ran, which ends the target's pause.
func (p *pool) finish(name string) *entry {
	e := p.release(name)
	if e != nil {
		e.full, e.wait = time.Time{}, 0
	}
	return e
}

// hold changes the number of held slots of e, between 0 and its slots.
func (p *pool) hold(e *entry, slots int) {
	slots = max(0, min(slots, e.slots))
	p.held += slots - e.held
	e.held = slots
	p.index(e)
}

// shut takes a target out of use or puts it back.
func (p *pool) shut(name string, shut bool) {
	if e := p.byName[name]; e != nil && e.shut != shut {
		e.shut = shut
		p.index(e)
	}
}

// index puts e into or takes it out of the free list.
func (p *pool) index(e *entry) {
	want := !e.gone && !e.shut && e.busy < e.held
	if want == (e.free >= 0) {
		return
	}
	if want {
		e.free = len(p.free)
		p.free = append(p.free, e)
		return
	}
	last := p.free[len(p.free)-1]
	p.free[e.free] = last
	last.free = e.free
	p.free = p.free[:len(p.free)-1]
	e.free = -1
}

// setTargets adds and removes entries. share gives the slots held of a target
// that is new.
func (p *pool) setTargets(targets []Target, share func(Target) int) {
	live := make(map[string]bool, len(targets))
	for _, t := range targets {
		live[t.Name] = true
		e := p.byName[t.Name]
		if e == nil {
			e = &entry{name: t.Name, free: -1}
			p.byName[t.Name] = e
		}
		if e.slots != t.Slots || e.gone {
			e.slots, e.gone = t.Slots, false
			p.hold(e, share(t))
		}
	}
	for name, e := range p.byName {
		if !live[name] {
			p.remove(e)
		}
	}
}

func (p *pool) remove(e *entry) {
	e.gone = true
	p.hold(e, 0)
	if e.busy == 0 {
		delete(p.byName, e.name)
	}
}

// idle returns the number of held slots that are not used.
func (p *pool) idle() int {
	n := 0
	for _, e := range p.free {
		n += e.held - e.busy
	}
	return n
}

// usable returns the number of held slots that are used or could be.
func (p *pool) usable() int { return p.busy + p.idle() }

// sorted returns the live entries by name.
func (p *pool) sorted() []*entry {
	all := make([]*entry, 0, len(p.byName))
	for _, e := range p.byName {
		if !e.gone {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.name, b.name) })
	return all
}
