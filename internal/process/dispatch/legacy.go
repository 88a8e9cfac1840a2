package dispatch

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

// Legacy is what a drained host hands to exactly one other: the right to
// answer for the tickets of an incarnation, those not used yet included.
type Legacy struct {
	Issuer ticket.Issuer
	Key    []byte // authenticates the tickets
	Life   time.Duration
	Book   record.Snapshot
}

// HandOn returns the records of every incarnation that this Loop answers for.
// Afterwards the Loop starts nothing. Its error is Draining while jobs are in
// progress.
func (l *Loop) HandOn(ctx context.Context) ([]Legacy, error) {
	return ask(ctx, l, func(time.Time) ([]Legacy, error) { return l.handOn() })
}

func (l *Loop) handOn() ([]Legacy, error) {
	if len(l.jobs) > 0 {
		return nil, failure.New(failure.Draining, "jobs are in progress")
	}
	l.drain = true
	l.handed = true
	var list []Legacy
	for id, i := range l.issuers {
		list = append(list, Legacy{Issuer: id, Key: i.minter.Key(), Life: i.minter.Life(), Book: i.book.Snapshot()})
	}
	return list, nil
}

// Adopt takes over the records of a drained host. Its error is Draining if
// this host has stopped taking new work.
func (l *Loop) Adopt(ctx context.Context, list []Legacy) error {
	return tell(ctx, l, func(now time.Time) error { return l.adopt(now, list) })
}

func (l *Loop) adopt(now time.Time, list []Legacy) error {
	if err := l.refuseDraining(); err != nil {
		return err
	}
	for _, legacy := range list {
		if _, ok := l.issuers[legacy.Issuer]; ok {
			continue
		}
		l.issuers[legacy.Issuer] = &issuer{
			minter: ticket.NewMinter(legacy.Issuer, legacy.Key, legacy.Life),
			book:   record.Restore(l.config.Records, legacy.Book),
			ends:   now.Add(legacy.Life),
		}
	}
	return nil
}

// PutCopy stores an answer that another host gave.
func (l *Loop) PutCopy(key record.CopyKey, digest uint64, answer *job.Answer) error {
	return l.post(func(time.Time) { l.copies.Put(key, digest, answer) })
}
