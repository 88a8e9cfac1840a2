package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	// memoryLeases is how long a lapsed record is remembered, in leases, so
	// that an older incarnation or a withdrawn leaving is still recognised.
	memoryLeases = 16
	// relaySteps divides the lease into the least renewal that is relayed
	// onward. It stops hosts from relaying small improvements in circles.
	relaySteps = 4
	// maxTargets bounds the table.
	maxTargets = 10_000
)

// TargetsConfig configures a Targets table.
type TargetsConfig struct {
	TableID       uint64        // identifies this table to peers; differs at every start of the host, never 0
	Domain        string        // the failure domain that the targets must be in
	LeaseDuration time.Duration // a target without renewal is not alive after this
}

// Targets is one entry host's table of the targets in its failure domain.
type Targets struct {
	config  TargetsConfig
	seq     uint64
	handles uint32
	records map[string]*record
	views   map[string]*view
}

// Target is a target as Targets reports it.
type Target struct {
	wire.Announcement
	LeaseEndsAt time.Time // when its lease ends
}

// record is one target. Received is never later than the instant at which an
// entry host received the announcement.
type record struct {
	announcement wire.Announcement
	handle       uint32
	received     time.Time
	relayed      time.Time // received, as peers were last offered it
	seq          uint64    // the table's seq when peers were last offered a renewal
	fullSeq      uint64    // the table's seq when the announcement last changed
}

// view is how much of a peer's table has been merged.
type view struct {
	table uint64
	seq   uint64
	names map[uint32]identity
}

type identity struct {
	target      string
	incarnation uint64
}

// NewTargets returns an empty table.
func NewTargets(config TargetsConfig) *Targets {
	return &Targets{
		config:  config,
		records: make(map[string]*record),
		views:   make(map[string]*view),
	}
}

// Announce takes an announcement that this host received at now. Its errors
// are InvalidRequest, Overloaded for a full table, and StaleVersion for an
// incarnation that must be replaced by a greater one.
func (t *Targets) Announce(now time.Time, a wire.Announcement) error {
	if err := checkAnnouncement(a, t.config.Domain); err != nil {
		return err
	}
	held := t.records[a.Target]
	if held == nil && len(t.records) >= maxTargets {
		return failure.New(failure.Overloaded, "the target table is full")
	}
	if held != nil && isStale(held.announcement, a) {
		return staleIncarnation(held.announcement.Incarnation)
	}
	t.apply(a, now)
	t.offer(t.records[a.Target])
	return nil
}

func staleIncarnation(held uint64) error {
	return &failure.Error{
		Kind:    failure.StaleVersion,
		Field:   "incarnation",
		Message: fmt.Sprintf("must be greater than %d", held),
	}
}

// isStale reports whether a must not change held: it comes from an older
// incarnation, or from another process that claims the same one.
func isStale(held, a wire.Announcement) bool {
	if a.Incarnation != held.Incarnation {
		return a.Incarnation < held.Incarnation
	}
	return a.Address != held.Address
}

// apply merges an announcement that is not stale and reports whether it told
// anything new. Leaving holds for the rest of an incarnation.
func (t *Targets) apply(a wire.Announcement, received time.Time) bool {
	r := t.records[a.Target]
	if r == nil {
		t.handles++
		r = &record{handle: t.handles}
		t.records[a.Target] = r
	}
	if a.Incarnation == r.announcement.Incarnation {
		a.Leaving = a.Leaving || r.announcement.Leaving
		if received.Before(r.received) {
			leaving := a.Leaving
			a, received = r.announcement, r.received
			a.Leaving = leaving
		}
	}
	changed := a != r.announcement || received != r.received
	r.received = received
	if a != r.announcement {
		r.announcement = a
		r.fullSeq = t.nextSeq()
		r.seq = r.fullSeq
		r.relayed = received
	}
	if received.Sub(r.relayed) >= t.config.LeaseDuration/relaySteps {
		t.offer(r)
	}
	return changed
}

// offer makes r part of the next delta to each peer.
func (t *Targets) offer(r *record) {
	r.seq = t.nextSeq()
	r.relayed = r.received
}

func (t *Targets) nextSeq() uint64 {
	t.seq++
	return t.seq
}

// Alive returns the targets that may be given new work at now: the lease has
// not ended and the target is not leaving. They are in the order of their names.
func (t *Targets) Alive(now time.Time) []Target {
	var alive []Target
	for _, target := range t.All() {
		if now.Before(target.LeaseEndsAt) && !target.Leaving {
			alive = append(alive, target)
		}
	}
	return alive
}

// Get returns the target of that name, lapsed and leaving ones included.
func (t *Targets) Get(name string) (Target, bool) {
	if t.records[name] == nil {
		return Target{}, false
	}
	return t.target(name), true
}

// All returns every remembered target, lapsed and leaving ones included, in
// the order of their names.
func (t *Targets) All() []Target {
	all := make([]Target, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, Target{r.announcement, r.received.Add(t.config.LeaseDuration)})
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// Expire forgets the records that lapsed long before now.
func (t *Targets) Expire(now time.Time) {
	for name, r := range t.records {
		if now.Sub(r.received) > memoryLeases*t.config.LeaseDuration {
			delete(t.records, name)
		}
	}
	for _, v := range t.views {
		for handle, id := range v.names {
			if t.records[id.target] == nil {
				delete(v.names, handle)
			}
		}
	}
}

// Cursor returns what to ask peer for a delta from.
func (t *Targets) Cursor(peer string) *membershippb.TargetCursor {
	v := t.views[peer]
	if v == nil {
		return &membershippb.TargetCursor{}
	}
	return &membershippb.TargetCursor{Table: v.table, Seq: v.seq}
}

// Delta returns what changed since the cursor, with ages as of now.
func (t *Targets) Delta(now time.Time, cursor *membershippb.TargetCursor) *membershippb.TargetDelta {
	since := cursor.GetSeq()
	if cursor.GetTable() != t.config.TableID {
		since = 0
	}
	delta := &membershippb.TargetDelta{Table: t.config.TableID, Seq: t.seq}
	for _, r := range t.records {
		age := ageMS(now.Sub(r.received))
		switch {
		case r.fullSeq > since:
			delta.Records = append(delta.Records, toProto(r, age))
		case r.seq > since:
			delta.Handles = append(delta.Handles, r.handle)
			delta.AgesMs = append(delta.AgesMs, age)
		}
	}
	return delta
}

// ageMS rounds up to whole milliseconds, so that an age never shrinks.
func ageMS(age time.Duration) uint32 {
	ms := (max(age, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

// Merge takes peer's delta, which answers a question that this host sent at
// asked, and returns the targets that it told something new of. A record that
// is invalid or stale is passed over.
func (t *Targets) Merge(peer string, asked time.Time, delta *membershippb.TargetDelta) []Target {
	v := t.views[peer]
	if v == nil || v.table != delta.GetTable() {
		v = &view{table: delta.GetTable(), names: make(map[uint32]identity)}
		t.views[peer] = v
	}
	var changed []Target
	for _, p := range delta.GetRecords() {
		a := fromProto(p)
		v.names[p.GetHandle()] = identity{a.Target, a.Incarnation}
		if t.mergeRecord(a, receipt(asked, p.GetAgeMs())) {
			changed = append(changed, t.target(a.Target))
		}
	}
	renewed, whole := t.mergeRenewals(v, asked, delta)
	v.seq = delta.GetSeq()
	if !whole {
		v.seq = 0
	}
	return append(changed, renewed...)
}

// target returns the remembered target of that name.
func (t *Targets) target(name string) Target {
	r := t.records[name]
	return Target{r.announcement, r.received.Add(t.config.LeaseDuration)}
}

// receipt returns the latest instant at which the announcement can have been
// received, judged by an answer to a question sent at asked.
func receipt(asked time.Time, ageMS uint32) time.Time {
	return asked.Add(-time.Duration(ageMS) * time.Millisecond)
}

// mergeRecord reports whether the record told anything new.
func (t *Targets) mergeRecord(a wire.Announcement, received time.Time) bool {
	if checkAnnouncement(a, t.config.Domain) != nil {
		return false
	}
	held := t.records[a.Target]
	if held == nil && len(t.records) >= maxTargets {
		return false
	}
	if held != nil && isStale(held.announcement, a) {
		return false
	}
	return t.apply(a, received)
}

// mergeRenewals returns the targets that were renewed. Whole is false if a
// renewal names a target that is not held, so that the whole table must be
// asked for.
func (t *Targets) mergeRenewals(v *view, asked time.Time, delta *membershippb.TargetDelta) (renewed []Target, whole bool) {
	whole = true
	for i, handle := range delta.GetHandles() {
		id, known := v.names[handle]
		r := t.records[id.target]
		if !known || r == nil || i >= len(delta.GetAgesMs()) {
			whole = false
			continue
		}
		if r.announcement.Incarnation != id.incarnation {
			continue
		}
		if t.apply(r.announcement, receipt(asked, delta.GetAgesMs()[i])) {
			renewed = append(renewed, t.target(id.target))
		}
	}
	return renewed, whole
}
