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
	// retentionLeases is how long a lapsed record is remembered, in leases, so
	// that an older incarnation or a withdrawn leaving is still recognised.
	retentionLeases = 16
	// relayLeaseDivisor divides the lease into the least renewal that is relayed
	// onward. It stops hosts from relaying small improvements in circles.
	relayLeaseDivisor = 4
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
	config     TargetsConfig
	seq        uint64
	lastHandle uint32
	records    map[string]*targetRecord
	peerViews  map[string]*peerView
}

// Target is a target as Targets reports it.
type Target struct {
	wire.Announcement
	LeaseEndsAt time.Time // when its lease ends
}

// targetRecord is one target. Received is never later than the instant at which an
// entry host received the announcement.
type targetRecord struct {
	announcement      wire.Announcement
	handle            uint32
	receivedAt        time.Time
	offeredReceivedAt time.Time // received, as peers were last offered it
	offeredSeq        uint64    // the table's seq when peers were last offered a renewal
	changedSeq        uint64    // the table's seq when the announcement last changed
}

// peerView is how much of a peer's table has been merged.
type peerView struct {
	tableID   uint64
	mergedSeq uint64
	handles   map[uint32]targetIncarnation
}

type targetIncarnation struct {
	target      string
	incarnation uint64
}

// NewTargets returns an empty table.
func NewTargets(config TargetsConfig) *Targets {
	return &Targets{
		config:    config,
		records:   make(map[string]*targetRecord),
		peerViews: make(map[string]*peerView),
	}
}

// Announce takes an announcement that this host received at now. Its errors
// are InvalidRequest, Overloaded for a full table, and StaleVersion for an
// incarnation that must be replaced by a greater one.
func (t *Targets) Announce(now time.Time, announcement wire.Announcement) error {
	if err := checkAnnouncement(announcement, t.config.Domain); err != nil {
		return err
	}
	known := t.records[announcement.Target]
	if known == nil && len(t.records) >= maxTargets {
		return failure.New(failure.Overloaded, "the target table is full")
	}
	if known != nil && isStale(known.announcement, announcement) {
		return staleIncarnationError(known.announcement.Incarnation)
	}
	t.mergeAnnouncement(announcement, now)
	t.offerRenewal(t.records[announcement.Target])
	return nil
}

func staleIncarnationError(known uint64) error {
	return &failure.Error{
		Kind:    failure.StaleVersion,
		Field:   "incarnation",
		Message: fmt.Sprintf("must be greater than %d", known),
	}
}

// isStale reports whether a must not change held: it comes from an older
// incarnation, or from another process that claims the same one.
func isStale(known, a wire.Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation < known.Incarnation
	}
	return a.Address != known.Address
}

// mergeAnnouncement merges an announcement that is not stale and reports whether it told
// anything new. Leaving holds for the rest of an incarnation.
func (t *Targets) mergeAnnouncement(announcement wire.Announcement, receivedAt time.Time) bool {
	entry := t.records[announcement.Target]
	if entry == nil {
		t.lastHandle++
		entry = &targetRecord{handle: t.lastHandle}
		t.records[announcement.Target] = entry
	}
	if announcement.Incarnation == entry.announcement.Incarnation {
		announcement.Leaving = announcement.Leaving || entry.announcement.Leaving
		if receivedAt.Before(entry.receivedAt) {
			leaving := announcement.Leaving
			announcement, receivedAt = entry.announcement, entry.receivedAt
			announcement.Leaving = leaving
		}
	}
	changed := announcement != entry.announcement || receivedAt != entry.receivedAt
	entry.receivedAt = receivedAt
	if announcement != entry.announcement {
		entry.announcement = announcement
		entry.changedSeq = t.nextSeq()
		entry.offeredSeq = entry.changedSeq
		entry.offeredReceivedAt = receivedAt
	}
	if receivedAt.Sub(entry.offeredReceivedAt) >= t.config.LeaseDuration/relayLeaseDivisor {
		t.offerRenewal(entry)
	}
	return changed
}

// offerRenewal makes r part of the next delta to each peer.
func (t *Targets) offerRenewal(r *targetRecord) {
	r.offeredSeq = t.nextSeq()
	r.offeredReceivedAt = r.receivedAt
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
	return t.targetNamed(name), true
}

// All returns every remembered target, lapsed and leaving ones included, in
// the order of their names.
func (t *Targets) All() []Target {
	all := make([]Target, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, Target{r.announcement, r.receivedAt.Add(t.config.LeaseDuration)})
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// Expire forgets the records that lapsed long before now.
func (t *Targets) Expire(now time.Time) {
	for name, r := range t.records {
		if now.Sub(r.receivedAt) > retentionLeases*t.config.LeaseDuration {
			delete(t.records, name)
		}
	}
	for _, v := range t.peerViews {
		for handle, id := range v.handles {
			if t.records[id.target] == nil {
				delete(v.handles, handle)
			}
		}
	}
}

// Cursor returns what to ask peer for a delta from.
func (t *Targets) Cursor(peer string) *membershippb.TargetCursor {
	v := t.peerViews[peer]
	if v == nil {
		return &membershippb.TargetCursor{}
	}
	return &membershippb.TargetCursor{Table: v.tableID, Seq: v.mergedSeq}
}

// Delta returns what changed since the cursor, with ages as of now.
func (t *Targets) Delta(now time.Time, cursor *membershippb.TargetCursor) *membershippb.TargetDelta {
	since := cursor.GetSeq()
	if cursor.GetTable() != t.config.TableID {
		since = 0
	}
	delta := &membershippb.TargetDelta{Table: t.config.TableID, Seq: t.seq}
	for _, entry := range t.records {
		age := ageMS(now.Sub(entry.receivedAt))
		switch {
		case entry.changedSeq > since:
			delta.Records = append(delta.Records, recordToProto(entry, age))
		case entry.offeredSeq > since:
			delta.Handles = append(delta.Handles, entry.handle)
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
func (t *Targets) Merge(peer string, sentAt time.Time, delta *membershippb.TargetDelta) []Target {
	v := t.peerViews[peer]
	if v == nil || v.tableID != delta.GetTable() {
		v = &peerView{tableID: delta.GetTable(), handles: make(map[uint32]targetIncarnation)}
		t.peerViews[peer] = v
	}
	var changed []Target
	for _, p := range delta.GetRecords() {
		announcement := announcementFromProto(p)
		v.handles[p.GetHandle()] = targetIncarnation{announcement.Target, announcement.Incarnation}
		if t.mergeRecord(announcement, receiptLowerBound(sentAt, p.GetAgeMs())) {
			changed = append(changed, t.targetNamed(announcement.Target))
		}
	}
	renewed, complete := t.mergeRenewals(v, sentAt, delta)
	v.mergedSeq = delta.GetSeq()
	if !complete {
		v.mergedSeq = 0
	}
	return append(changed, renewed...)
}

// targetNamed returns the remembered targetNamed of that name.
func (t *Targets) targetNamed(name string) Target {
	r := t.records[name]
	return Target{r.announcement, r.receivedAt.Add(t.config.LeaseDuration)}
}

// receiptLowerBound returns the latest instant at which the announcement can have been
// received, judged by an answer to a question sent at asked.
func receiptLowerBound(sentAt time.Time, ageMS uint32) time.Time {
	return sentAt.Add(-time.Duration(ageMS) * time.Millisecond)
}

// mergeRecord reports whether the record told anything new.
func (t *Targets) mergeRecord(announcement wire.Announcement, receivedAt time.Time) bool {
	if checkAnnouncement(announcement, t.config.Domain) != nil {
		return false
	}
	known := t.records[announcement.Target]
	if known == nil && len(t.records) >= maxTargets {
		return false
	}
	if known != nil && isStale(known.announcement, announcement) {
		return false
	}
	return t.mergeAnnouncement(announcement, receivedAt)
}

// mergeRenewals returns the targets that were renewed. Whole is false if a
// renewal names a target that is not held, so that the whole table must be
// asked for.
func (t *Targets) mergeRenewals(v *peerView, sentAt time.Time, delta *membershippb.TargetDelta) (renewed []Target, complete bool) {
	complete = true
	for i, handle := range delta.GetHandles() {
		id, known := v.handles[handle]
		entry := t.records[id.target]
		if !known || entry == nil || i >= len(delta.GetAgesMs()) {
			complete = false
			continue
		}
		if entry.announcement.Incarnation != id.incarnation {
			continue
		}
		if t.mergeAnnouncement(entry.announcement, receiptLowerBound(sentAt, delta.GetAgesMs()[i])) {
			renewed = append(renewed, t.targetNamed(id.target))
		}
	}
	return renewed, complete
}
