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
	b := record.NewBook(record.Config{Answers: 2, AnswerBytes: 1 << 20})
	state, _, err := b.Begin(1, 7, end)
	g.Expect(state, err).To(Equal(record.Fresh))
	state, _, err = b.Begin(1, 7, end)
	g.Expect(state, err).To(Equal(record.Running))
	b.Finish(1, &job.Answer{Outcome: job.Complete})
	state, answer, err := b.Begin(1, 7, end)
	g.Expect(state, err).To(Equal(record.Answered))
	g.Expect(answer.Outcome).To(Equal(job.Complete))
	_, _, err = b.Begin(1, 8, end)
	g.Expect(failure.KindOf(err)).To(Equal(failure.TicketReused))
}

// TestNoTicketIsFreshTwice runs random submissions, ends and evictions.
func TestNoTicketIsFreshTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := record.NewBook(record.Config{Answers: 3, AnswerBytes: 1000})
		started := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			seq := rapid.Uint64Range(1, 20).Draw(t, "seq")
			if rapid.Bool().Draw(t, "finish") && started[seq] {
				b.Finish(seq, &job.Answer{})
				continue
			}
			state, _, err := b.Begin(seq, 7, end)
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
