package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
)

// A submission is a job that another host has forwarded to a pool of this host. Its sender
// gives it up when no answer comes, and the caller then sends the job again, perhaps to
// another pool. The submission must have ended by then, although the connection that it
// came over may be silent: the cancellation of the call may never arrive.
//
// A sender whose connection is silent, while this host answers over a new one, sends the
// submission again. It is run once: each further copy waits for the one answer. A copy that
// arrives when its answer is not remembered any more is refused without a word of whether
// the job has run.

const (
	// withdrawnRetention is how long a withdrawn submission is refused that has not arrived
	// yet: it may be in the buffers of a connection that was silent for a while.
	withdrawnRetention = 30 * time.Second
	maxWithdrawn       = 1 << 14 // withdrawn submissions that are remembered
	// answerRetention is how long an answer is remembered: longer than it takes to find
	// silent connections one after the other and to send the submission again.
	answerRetention = 5 * time.Second
	maxAnswers      = 1 << 13 // answers that are remembered
	// returnTime is how long a submission goes on whose calls have all ended. A sender that
	// gives it up says so; one that sends it again closes the former connection first.
	returnTime = 200 * time.Millisecond
)

// Causes of a withdrawal.
var (
	errSenderGaveUp    = errors.New("the host that sent it gave it up")
	errSenderRestarted = errors.New("the host that sent it has restarted")
	errCallsEnded      = errors.New("its call was cancelled, or the connection closed")
)

// Reasons for which a submission is not accepted.
var (
	errWithdrawn   = status.Error(codes.Canceled, "the submission was withdrawn")
	errForgotten   = status.Error(codes.Aborted, "the submission may have come before; its answer is not remembered")
	errNotReceiver = status.Error(codes.Aborted, "a former incarnation of this host may have run the job")
)

// withdrawReason describes for the log why the context of a job has ended.
func withdrawReason(ctx context.Context) string {
	if cause := context.Cause(ctx); cause != ctx.Err() {
		return cause.Error()
	}
	return errCallsEnded.Error()
}

// submissionID identifies a submission among all that this host receives.
type submissionID struct {
	sender      string
	incarnation uint64
	number      uint64
}

// submission is a submission in progress.
type submission struct {
	id     submissionID
	ctx    context.Context // ends with the withdrawal
	cancel context.CancelCauseFunc
	heard  *connHeard // of the connections that it came over
	calls  int        // that wait for the answer; guarded by submissions.mu
	done   chan struct{}
	reply  *fleetpb.JobReply // set before done is closed
}

// submissions are the submissions in progress at this host, the answers of those that ended
// lately, and those that were withdrawn before they arrived. It is safe for concurrent use.
type submissions struct {
	mu           sync.Mutex
	inProgress   map[submissionID]*submission
	answers      map[submissionID]*fleetpb.JobReply
	oldestAnswer []submissionAt               // in the order of their ends
	forgotten    map[senderIncarnation]uint64 // highest number of a submission whose answer was forgotten
	withdrawn    map[submissionID]bool
	oldest       []submissionAt // in the order of their withdrawal
}

// submissionAt is a submission that ended or was withdrawn at a time.
type submissionAt struct {
	id submissionID
	at time.Time
}

// senderIncarnation is an incarnation of a host that sends submissions.
type senderIncarnation struct {
	sender      string
	incarnation uint64
}

func (id submissionID) from() senderIncarnation { return senderIncarnation{id.sender, id.incarnation} }

func newSubmissions() *submissions {
	return &submissions{
		inProgress: map[submissionID]*submission{}, answers: map[submissionID]*fleetpb.JobReply{},
		forgotten: map[senderIncarnation]uint64{}, withdrawn: map[submissionID]bool{},
	}
}

// join records a call with a submission. It returns the submission, and whether this is the
// first call, which runs it; or the reason for which it is not accepted. late: a submission
// that has not come before is refused. A host of a former release numbers none.
func (s *submissions) join(ctx context.Context, id submissionID, late bool, now time.Time) (sub *submission, first bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetAnswers(now)
	if sub, ok := s.inProgress[id]; ok {
		sub.calls++
		sub.heard.follow(connHeardFrom(ctx), now)
		return sub, false, nil
	}
	if reply, ok := s.answers[id]; ok {
		sub = &submission{id: id, done: make(chan struct{}), reply: reply}
		close(sub.done)
		return sub, false, nil
	}
	switch {
	case s.withdrawn[id]:
		return nil, false, errWithdrawn
	case id.number != 0 && id.number <= s.forgotten[id.from()]:
		return nil, false, errForgotten
	case late:
		return nil, false, errSubmissionLate
	}
	sub = &submission{id: id, heard: connHeardFrom(ctx), calls: 1, done: make(chan struct{})}
	if id.number == 0 {
		sub.ctx, sub.cancel = context.WithCancelCause(ctx)
		return sub, true, nil
	}
	sub.heard = &connHeard{}
	sub.heard.follow(connHeardFrom(ctx), now)
	sub.ctx, sub.cancel = context.WithCancelCause(context.WithValue(context.WithoutCancel(ctx), connHeardKey{}, sub.heard))
	s.inProgress[id] = sub
	return sub, true, nil
}

// finish records the answer to a submission.
func (s *submissions) finish(sub *submission, reply *fleetpb.JobReply, now time.Time) {
	sub.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.reply = reply
	close(sub.done)
	if sub.id.number == 0 {
		return
	}
	delete(s.inProgress, sub.id)
	s.answers[sub.id] = reply
	s.oldestAnswer = append(s.oldestAnswer, submissionAt{sub.id, now})
	s.forgetAnswers(now)
}

// forgetAnswers drops the answers that are too old or too many. The caller holds the lock.
func (s *submissions) forgetAnswers(now time.Time) {
	for len(s.oldestAnswer) > 0 && (len(s.oldestAnswer) > maxAnswers || now.Sub(s.oldestAnswer[0].at) > answerRetention) {
		id := s.oldestAnswer[0].id
		delete(s.answers, id)
		s.oldestAnswer = s.oldestAnswer[1:]
		s.forgotten[id.from()] = max(s.forgotten[id.from()], id.number)
	}
}

// leave records that a call ended before the answer. The submission is withdrawn after the
// last one, unless its sender sends it again.
func (s *submissions) leave(sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.calls--
	if sub.calls > 0 {
		return
	}
	time.AfterFunc(returnTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if sub.calls == 0 {
			sub.cancel(errCallsEnded)
		}
	})
}

// withdraw ends a submission, or refuses it when it arrives. It reports whether it was in
// progress.
func (s *submissions) withdraw(id submissionID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub, ok := s.inProgress[id]; ok {
		sub.cancel(errSenderGaveUp)
		return true
	}
	for len(s.oldest) > 0 && (len(s.oldest) >= maxWithdrawn || now.Sub(s.oldest[0].at) > withdrawnRetention) {
		delete(s.withdrawn, s.oldest[0].id)
		s.oldest = s.oldest[1:]
	}
	if !s.withdrawn[id] {
		s.withdrawn[id] = true
		s.oldest = append(s.oldest, submissionAt{id, now})
	}
	return false
}

// withdrawFormer ends the submissions of former incarnations of a host.
func (s *submissions) withdrawFormer(sender string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sub := range s.inProgress {
		if id.sender == sender && id.incarnation < incarnation {
			sub.cancel(errSenderRestarted)
		}
	}
}

// Withdraw implements fleetpb.FleetServer.
func (s *service) Withdraw(_ context.Context, m *fleetpb.Withdrawal) (*fleetpb.Empty, error) {
	now := s.node.now()
	for _, number := range m.GetSubmissions() {
		inProgress := s.node.submissions.withdraw(submissionID{m.GetSender(), m.GetSenderIncarnation(), number}, now)
		s.node.log.Debug("A submission was withdrawn.", "peer", m.GetSender(), "submission", number, "in_progress", inProgress)
	}
	return &fleetpb.Empty{}, nil
}
