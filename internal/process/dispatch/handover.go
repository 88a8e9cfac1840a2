package dispatch

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// RecordHandover holds the records of one incarnation that a drained host hands over
// to exactly one other host. The receiver answers for the tickets of the
// incarnation, including those not used yet.
type RecordHandover struct {
	Issuer     ticket.Issuer
	TicketKey  []byte // key that authenticates the tickets
	TicketLife time.Duration
	Snapshot   record.Snapshot
}

// HandOver returns the records of every incarnation that this Loop answers for.
// Afterwards the Loop starts no job. It fails with Draining while jobs are in
// progress or if the Loop has stopped, with Overloaded if the ring is full, and if
// ctx ends.
func (l *Loop) HandOver(ctx context.Context) ([]RecordHandover, error) {
	return call(ctx, l, func(time.Time) ([]RecordHandover, error) { return l.handOver() })
}

func (l *Loop) handOver() ([]RecordHandover, error) {
	if len(l.jobs) > 0 {
		return nil, failure.New(failure.Draining, "jobs are in progress, so the records cannot be handed over")
	}
	l.draining = true
	l.handedOver = true
	var list []RecordHandover
	for id, records := range l.issuers {
		list = append(list, RecordHandover{Issuer: id, TicketKey: records.minter.Key(), TicketLife: records.minter.Lifetime(), Snapshot: records.ticketTable.Snapshot()})
	}
	return list, nil
}

// Adopt takes over the records of a drained host. It fails with Draining if this
// host accepts no new work or the Loop has stopped, with Overloaded if the ring is
// full, and if ctx ends. The records of an incarnation that this Loop answers for
// already are ignored.
func (l *Loop) Adopt(ctx context.Context, list []RecordHandover) error {
	return callNoValue(ctx, l, func(now time.Time) error { return l.adopt(now, list) })
}

func (l *Loop) adopt(now time.Time, list []RecordHandover) error {
	if err := l.checkNotDraining(); err != nil {
		return err
	}
	for _, legacy := range list {
		if _, ok := l.issuers[legacy.Issuer]; ok {
			continue
		}
		l.issuers[legacy.Issuer] = &issuerRecords{
			minter:          ticket.NewMinter(legacy.Issuer, legacy.TicketKey, legacy.TicketLife),
			ticketTable:     record.Restore(l.config.Records, legacy.Snapshot),
			ticketsExpireAt: now.Add(legacy.TicketLife),
		}
	}
	return nil
}

// StoreCopy stores a copy of an answer that another host gave. It fails with
// Overloaded if the ring is full.
func (l *Loop) StoreCopy(key record.TicketID, digest uint64, answer *job.Answer) error {
	return l.post(func(time.Time) { l.copies.Put(key, digest, answer) })
}
