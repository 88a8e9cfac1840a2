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
	// retentionLeases is how long a record is kept after its last renewal, in
	// leases. Until then an older incarnation, or an announcement without leaving
	// after one with it, is still recognised and does not revive the target.
	retentionLeases = 16
	// relayLeaseDivisor bounds relaying: a renewal learned from a peer is relayed
	// only if it is newer by at least the lease divided by this. The bound keeps
	// hosts from relaying small improvements to each other endlessly.
	relayLeaseDivisor = 4
	// maxTargets is the greatest number of targets in a table.
	maxTargets = 10_000
)

// TargetsConfig configures a Targets table.
type TargetsConfig struct {
	TableID       uint64        // identifies this table to peers; unique to each start of the host, never 0
	Domain        string        // the failure domain of all targets in the table
	LeaseDuration time.Duration // a target whose last announcement is older is not alive
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

// targetRecord is what the table holds of one target. receivedAt is never later
// than the instant at which an entry host received the announcement.
type targetRecord struct {
	announcement      wire.Announcement
	handle            uint32
	receivedAt        time.Time
	offeredReceivedAt time.Time // the receivedAt that peers were last offered
	offeredSeq        uint64    // the table's seq when peers were last offered a renewal
	changedSeq        uint64    // the table's seq when the announcement last changed
}

// peerView records up to where a peer's table has been merged.
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

// Announce merges an announcement that this host received from the target at now.
// Its errors are InvalidRequest, Overloaded for a full table, and StaleVersion
// for an incarnation that must be replaced by a greater one.
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

// isStale reports whether announcement a must not change the known one: it comes
// from an older incarnation, or from another process (with another address) that
// claims the same incarnation.
func isStale(known, a wire.Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation < known.Incarnation
	}
	return a.Address != known.Address
}

// mergeAnnouncement merges an announcement that is not stale and reports whether
// it changed the record. A target that announced that it is leaving stays so for
// the rest of its incarnation.
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

// offerRenewal includes the renewal of r in the next delta to each peer.
func (t *Targets) offerRenewal(r *targetRecord) {
	r.offeredSeq = t.nextSeq()
	r.offeredReceivedAt = r.receivedAt
}

func (t *Targets) nextSeq() uint64 {
	t.seq++
	return t.seq
}

// Alive returns the targets that may be given new work at now, in the order of
// their names: the lease has not expired and the target is not leaving.
func (t *Targets) Alive(now time.Time) []Target {
	var alive []Target
	for _, target := range t.All() {
		if now.Before(target.LeaseEndsAt) && !target.Leaving {
			alive = append(alive, target)
		}
	}
	return alive
}

// Get returns the named target, false if it is unknown. Targets that are leaving
// or whose lease has expired are included.
func (t *Targets) Get(name string) (Target, bool) {
	if t.records[name] == nil {
		return Target{}, false
	}
	return t.targetNamed(name), true
}

// All returns every target in the table in the order of their names, including
// those that are leaving or whose lease has expired.
func (t *Targets) All() []Target {
	all := make([]Target, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, Target{r.announcement, r.receivedAt.Add(t.config.LeaseDuration)})
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// Expire removes the records whose last renewal is more than retentionLeases
// leases older than now.
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

// Cursor returns the position from which to request a delta from peer. A zero
// cursor requests the whole table.
func (t *Targets) Cursor(peer string) *membershippb.TargetCursor {
	v := t.peerViews[peer]
	if v == nil {
		return &membershippb.TargetCursor{}
	}
	return &membershippb.TargetCursor{Table: v.tableID, Seq: v.mergedSeq}
}

// Delta returns what changed in this table since the cursor, with ages as of
// now. A cursor into another table, such as that of an earlier start of this
// host, gets the whole table.
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

// ageMS returns an age in milliseconds, rounded up so that a relayed age is never
// smaller than the true one.
func ageMS(age time.Duration) uint32 {
	ms := (max(age, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

// Merge merges peer's delta, the response to a request that this host sent at
// sentAt, and returns the targets that it changed. Records that are invalid or
// stale are skipped.
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

// targetNamed returns the target of that name, which must be in the table.
func (t *Targets) targetNamed(name string) Target {
	r := t.records[name]
	return Target{r.announcement, r.receivedAt.Add(t.config.LeaseDuration)}
}

// receiptLowerBound returns a lower bound of the instant at which a message was
// received, from its age as stated in the response to a request sent at sentAt.
func receiptLowerBound(sentAt time.Time, ageMS uint32) time.Time {
	return sentAt.Add(-time.Duration(ageMS) * time.Millisecond)
}

// mergeRecord merges the announcement of a peer's record and reports whether it
// changed this table. Invalid and stale announcements, and new targets beyond
// maxTargets, are skipped.
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

// mergeRenewals merges the renewals of a delta and returns the targets that were
// renewed. complete is false if a renewal names a target that is not in this
// table, so that the whole table of the peer must be requested.
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
