package record_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
)

var end = time.UnixMilli(1_700_000_000_000)

func TestResubmissionJoinsThenGetsTheAnswer(t *testing.T) {
	g := NewWithT(t)
	table := record.NewTable(record.Config{MaxAnswers: 2, MaxAnswerBytes: 1 << 20})
	state, _, err := table.Begin(1, 7, end)
	g.Expect(state, err).To(Equal(record.Fresh))
	state, _, err = table.Begin(1, 7, end)
	g.Expect(state, err).To(Equal(record.Running))
	table.Finish(1, &job.Answer{Outcome: job.Complete})
	state, answer, err := table.Begin(1, 7, end)
	g.Expect(state, err).To(Equal(record.Answered))
	g.Expect(answer.Outcome).To(Equal(job.Complete))
	_, _, err = table.Begin(1, 8, end)
	g.Expect(failure.KindOf(err)).To(Equal(failure.TicketReused))
}

// TestNoTicketIsFreshTwice runs random submissions and answers; the table drops the
// answers beyond its limit of 3.
func TestNoTicketIsFreshTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := record.NewTable(record.Config{MaxAnswers: 3, MaxAnswerBytes: 1000})
		started := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			seq := rapid.Uint64Range(1, 20).Draw(t, "seq")
			if rapid.Bool().Draw(t, "finish") && started[seq] {
				table.Finish(seq, &job.Answer{})
				continue
			}
			state, _, err := table.Begin(seq, 7, end)
			if err != nil || state != record.Fresh {
				continue
			}
			if started[seq] {
				t.Fatalf("ticket %d is fresh again", seq)
			}
			started[seq] = true
		}
	})
}

func TestExpiredTicketIsNotFreshAfterTheClockWentBack(t *testing.T) {
	g := NewWithT(t)
	table := record.NewTable(record.Config{MaxAnswers: 0, MaxAnswerBytes: 0})
	_, _, err := table.Begin(1, 7, end)
	g.Expect(err).NotTo(HaveOccurred())
	table.Finish(1, &job.Answer{})
	table.Expire(end.Add(time.Second))
	_, _, err = table.Begin(1, 7, end)
	g.Expect(failure.KindOf(err)).To(Equal(failure.TicketExpired))
}

// TestSnapshotKeepsEveryTicketsState compares random tables with their restored
// snapshots.
func TestSnapshotKeepsEveryTicketsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := record.NewTable(record.Config{MaxAnswers: 5, MaxAnswerBytes: 1 << 20})
		for seq := uint64(1); seq <= 20; seq++ {
			if !rapid.Bool().Draw(t, "use") {
				continue
			}
			_, _, _ = table.Begin(seq, seq, end)
			table.Finish(seq, &job.Answer{Host: "h"})
		}
		restored := record.Restore(record.Config{MaxAnswers: 5, MaxAnswerBytes: 1 << 20}, table.Snapshot())
		for seq := uint64(1); seq <= 20; seq++ {
			wantState, wantAnswer, wantErr := table.Begin(seq, seq, end)
			state, answer, err := restored.Begin(seq, seq, end)
			if state != wantState || (answer == nil) != (wantAnswer == nil) || failure.KindOf(err) != failure.KindOf(wantErr) {
				t.Fatalf("ticket %d: %v %v %v, want %v %v %v", seq, state, answer, err, wantState, wantAnswer, wantErr)
			}
		}
	})
}
