package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	// A task may be started this often in all, by the users' rule: three times until
	// three targets have crashed under it, and less than three times more.
	maxStartsOfDeadlyTask = 3 + 2
	crashedFor            = 400 * time.Millisecond // until a crashed target is back
)

// startDeadly starts two hosts and targets that task 0 of a job crashes. A target that
// has crashed is back after crashedFor, under a new id at its old address.
func (f *fixture) startDeadly(targets int, job string) (task string) {
	f.t.Helper()
	f.lease = 200 * time.Millisecond
	task = scheduler.Run{Job: job}.TaskID()
	f.targets.deadly[task] = true
	incarnation := uint64(1)
	f.targets.onCrash = func(t fleet.TargetRef) {
		time.Sleep(crashedFor)
		f.targets.mu.Lock()
		incarnation++
		restarted := newAnnouncement(fleet.TargetRef{ID: fmt.Sprintf("north-life-%d", incarnation), Address: t.Address}, "north", incarnation)
		f.targets.mu.Unlock()
		f.nodes["a"].Announce(restarted)
		f.nodes["b"].Announce(restarted)
	}
	f.startNorth(targets)
	return task
}

// startsOf returns how often a task has started.
func (f *fixture) startsOf(task string) int {
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	return f.targets.starts[task]
}

// submitLater submits a job and returns the channel of its answer.
func (f *fixture) submitLater(to *runningNode, j scheduler.Job) <-chan scheduler.Answer {
	answer := make(chan scheduler.Answer, 1)
	go func() { answer <- to.Submit(context.Background(), j) }()
	return answer
}

// submitUntilAnswered submits a job, again after each lost answer as callers do, and
// returns the channel of its answer.
func (f *fixture) submitUntilAnswered(to *runningNode, j scheduler.Job) <-chan scheduler.Answer {
	answer := make(chan scheduler.Answer, 1)
	go func() {
		a := to.Submit(context.Background(), j)
		for end := time.Now().Add(testTimeout); a.Kind == failure.AnswerLost && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
			a = to.Submit(context.Background(), j)
		}
		answer <- a
	}()
	return answer
}

// answerOrTooManyStarts submits a job and returns its answer, or fails the test as soon
// as a task has started more often than a deadly one may.
func (f *fixture) answerOrTooManyStarts(to *runningNode, j scheduler.Job, task string) scheduler.Answer {
	f.t.Helper()
	answer := f.submitUntilAnswered(to, j)
	var a scheduler.Answer
	f.g.Eventually(func() bool {
		f.g.Expect(f.startsOf(task)).To(BeNumerically("<=", maxStartsOfDeadlyTask), "the task crashes target after target")
		select {
		case a = <-answer:
			return true
		default:
			return false
		}
	}, testTimeout, 5*time.Millisecond).Should(BeTrue())
	return a
}

func TestATaskThatCrashesItsTargetsIsGivenUp(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 50*time.Millisecond)
	task := f.startDeadly(8, "deadly")
	f.holderAndOther()
	a := f.answerOrTooManyStarts(f.nodes["a"], job("deadly", 2), task)
	f.g.Expect(a.Outcome).To(Equal(scheduler.Failed), a.Reason)
}

// startDeadlyPair starts two hosts that know each other, one of which holds the pool.
func startDeadlyPair(t *testing.T) (f *fixture, task string, holder, other *runningNode) {
	t.Helper()
	f = newFixture(t, 50*time.Millisecond)
	task = f.startDeadly(8, "deadly")
	holder, other = f.holderAndOther()
	f.g.Eventually(func() bool { return f.knowEachOther(other, holder) }, testTimeout, 5*time.Millisecond).Should(BeTrue())
	return f, task, holder, other
}

func TestCrashesUnderATaskAreRememberedByTheNextHolder(t *testing.T) {
	t.Parallel()
	f, task, holder, other := startDeadlyPair(t)
	answer := f.submitLater(other, job("deadly", 2))
	f.g.Eventually(func() int { return f.startsOf(task) }, testTimeout, 5*time.Millisecond).Should(BeNumerically(">=", 2))
	holder.Leave(context.Background())
	var a scheduler.Answer
	f.g.Eventually(answer, testTimeout).Should(Receive(&a))
	f.g.Expect(a.Outcome).To(Equal(scheduler.Failed), a.Reason)
	f.g.Expect(f.startsOf(task)).To(BeNumerically("<=", maxStartsOfDeadlyTask))
}

// The caller's host sends a job again, with new run numbers, after the holder of its pool
// was killed.
func TestCrashesUnderATaskAreRememberedWhenItsJobIsSentAgain(t *testing.T) {
	t.Parallel()
	f, task, holder, other := startDeadlyPair(t)
	first := f.answerOrTooManyStarts(other, job("deadly", 2), task)
	f.g.Expect(first.Outcome).To(Equal(scheduler.Failed), first.Reason)
	started := f.startsOf(task)
	holder.stop()
	again := f.answerOrTooManyStarts(other, job("deadly", 2), task)
	f.g.Expect(again.Outcome).To(Equal(scheduler.Failed), again.Reason)
	f.g.Expect(f.startsOf(task)).To(Equal(started))
}
