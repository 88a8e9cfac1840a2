package controller_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/register"
	"wasabifield.example/wasabifield/internal/version/registerpb"
	"wasabifield.example/wasabifield/internal/version/store"
	"wasabifield.example/wasabifield/internal/version/store/storetest"
)

// quietTiming disables confirming reads, so that only the calls and syncs of changes
// are counted.
var quietTiming = controller.Timing{AttemptTimeout: 10 * time.Second, ReadTimeout: waitTimeout, ConfirmInterval: time.Hour}

func appendWord(word string) func([]byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		if bytes.Contains(current, []byte(word+";")) {
			return current, nil
		}
		return []byte(string(current) + word + ";"), nil
	}
}

func TestEveryHostCanChangeAndReadTheRegister(t *testing.T) {
	s := newSite(t, fastTiming, 3, 6)
	for i, name := range s.hosts {
		s.g.Expect(s.change(name, fmt.Sprint("from ", name))).To(Succeed())
		content, confirmed, age, err := s.nodes[s.hosts[5-i]].Read(context.Background())
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(confirmed).To(BeTrue())
		s.g.Expect(age).To(BeNumerically(">=", 0))
		s.g.Expect(string(content)).To(ContainSubstring(name))
	}
	s.g.Expect(s.awaitConvergence()).To(Equal(uint64(6)))
}

func TestConcurrentChangesAllTakeEffect(t *testing.T) {
	s := newSite(t, fastTiming, 3, 6)
	s.awaitConvergence()
	var wait sync.WaitGroup
	errs := make([]error, 20)
	for i := range errs {
		wait.Go(func() { errs[i] = s.change(s.hosts[i%6], fmt.Sprint("operator ", i)) })
	}
	wait.Wait()
	s.g.Expect(errors.Join(errs...)).To(Succeed())
	s.awaitConvergence()
	words := strings.Split(string(s.nodes["h4"].Status().Content), ";")
	s.g.Expect(words).To(HaveLen(len(errs) + 1))
}

func TestRestartReadsOneFile(t *testing.T) {
	s := newSite(t, fastTiming, 3, 3)
	s.awaitConvergence()
	const changes = 1000
	for i := range changes {
		s.g.Expect(s.change("h0", fmt.Sprint(i))).To(Succeed())
	}
	version := s.awaitConvergence()
	s.g.Expect(version).To(BeNumerically(">=", changes))
	s.crash("h1")
	s.disks["h1"].ResetCounts()
	s.start("h1")
	s.g.Expect(s.nodes["h1"].Version()).To(Equal(version))
	s.g.Expect(s.disks["h1"].Counts().Reads).To(Equal(1))
}

func TestChangeCostsBoundedMessagesAndSyncs(t *testing.T) {
	s := newSite(t, fastTiming, 3, 6)
	s.awaitConvergence()
	s.restartAll(quietTiming)
	for proposer, most := range map[string]int{"h0": 2 + 2 + 5, "h5": 3 + 3 + 5} {
		s.bus.resetCalls()
		for _, d := range s.disks {
			d.ResetCounts()
		}
		const changes = 20
		for i := range changes {
			s.g.Expect(s.change(proposer, fmt.Sprint(proposer, " ", i))).To(Succeed())
			s.awaitConvergence()
		}
		syncs := 0
		for _, d := range s.disks {
			syncs += d.Counts().Syncs
		}
		t.Logf("from %s: %d calls and %d syncs for %d changes", proposer, s.bus.changeCalls(), syncs, changes)
		s.g.Expect(s.bus.changeCalls()).To(BeNumerically("<=", changes*most))
		s.g.Expect(syncs).To(BeNumerically("<=", changes*3*3), "promise, acceptance and learning at three voters")
	}
}

func TestSecondDiskMayBeLostAfterARepair(t *testing.T) {
	s := newSite(t, fastTiming, 3, 4)
	s.awaitConvergence()
	s.g.Expect(s.change("h3", "before")).To(Succeed())
	for _, lost := range []string{"h0", "h1", "h2", "h0"} {
		s.crash(lost)
		s.g.Expect(s.change("h3", "while "+lost+" is away")).To(Succeed())
		s.disks[lost] = storetest.NewFS()
		s.start(lost)
		s.awaitConvergence()
	}
	content := string(s.nodes["h0"].Status().Content)
	s.g.Expect(content).To(Equal("before;while h0 is away;while h1 is away;while h2 is away;"))
}

func TestFreshDiskDoesNotBootstrapASecondRegister(t *testing.T) {
	s := newSite(t, fastTiming, 1, 2)
	s.awaitConvergence()
	s.g.Expect(s.change("h1", "kept")).To(Succeed())
	s.awaitConvergence()
	s.crash("h0")
	s.disks["h0"] = storetest.NewFS()
	s.bus.loseReplies("Inspect", 2)
	s.start("h0")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := s.nodes["h0"].Change(ctx, appendWord("second"))
	s.g.Expect(failure.KindOf(err)).To(Equal(failure.NoQuorum), "%v", err)
	s.g.Expect(string(s.nodes["h1"].Status().Content)).To(Equal("kept;"))
}

func TestPartitionedHostReadsUnconfirmedAndCatchesUpInOneStep(t *testing.T) {
	s := newSite(t, fastTiming, 3, 5)
	s.awaitConvergence()
	s.g.Expect(s.change("h0", "first")).To(Succeed())
	s.awaitConvergence()
	s.bus.setDisconnected("h4", true)
	for i := range 100 {
		s.g.Expect(s.change("h0", fmt.Sprint(i))).To(Succeed())
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	content, confirmed, age, err := s.nodes["h4"].Read(ctx)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(confirmed).To(BeFalse())
	s.g.Expect(string(content)).To(Equal("first;"))
	s.g.Expect(age).To(BeNumerically(">", 0))

	s.bus.setDisconnected("h4", false)
	version := s.nodes["h3"].Version()
	attempts := 0
	s.g.Eventually(func() error {
		attempts++
		return s.nodes["h4"].CatchUp(context.Background(), "h3", version)
	}, waitTimeout).Should(Succeed())
	s.g.Expect(s.nodes["h4"].Version()).To(BeNumerically(">=", version))
	s.bus.mu.Lock()
	defer s.bus.mu.Unlock()
	s.g.Expect(s.bus.calls["Fetch"]).To(BeNumerically("<=", attempts))
}

func TestFullDisksRefuseChangesButServeReads(t *testing.T) {
	s := newSite(t, fastTiming, 3, 4)
	s.awaitConvergence()
	s.g.Expect(s.change("h3", "before")).To(Succeed())
	s.awaitConvergence()
	for _, d := range s.disks {
		d.SetFull(true, 0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := s.nodes["h3"].Change(ctx, appendWord("refused"))
	s.g.Expect(failure.KindOf(err)).To(Equal(failure.NoQuorum))
	s.g.Expect(errors.Is(err, controller.ErrUndecided)).To(BeFalse())
	content, confirmed, _, err := s.nodes["h3"].Read(context.Background())
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(confirmed).To(BeTrue())
	s.g.Expect(string(content)).To(Equal("before;"))
	for _, d := range s.disks {
		d.SetFull(false, 0)
	}
	s.g.Expect(s.change("h3", "after")).To(Succeed())
}

func TestHostRestartedInAPartitionServesItsStoredValue(t *testing.T) {
	s := newSite(t, fastTiming, 3, 3)
	s.awaitConvergence()
	s.g.Expect(s.change("h2", "kept")).To(Succeed())
	s.awaitConvergence()
	s.bus.setDisconnected("h1", true)
	s.crash("h1")
	s.start("h1")
	s.g.Expect(string(s.nodes["h1"].Status().Content)).To(Equal("kept;"))
	s.g.Expect(s.nodes["h1"].Status().Age).To(BeNumerically("<", 0))
	s.g.Expect(string(<-s.nodes["h1"].Updates())).To(Equal("kept;"))
}

func TestRefusedChangeReturnsItsErrorAndTheContent(t *testing.T) {
	s := newSite(t, fastTiming, 3, 3)
	s.awaitConvergence()
	s.g.Expect(s.change("h0", "content")).To(Succeed())
	refusal := errors.New("stale")
	content, err := s.nodes["h1"].Change(context.Background(), func([]byte) ([]byte, error) { return nil, refusal })
	s.g.Expect(err).To(MatchError(refusal))
	s.g.Expect(string(content)).To(Equal("content;"))
	_, err = s.nodes["h1"].Change(context.Background(), func([]byte) ([]byte, error) {
		return make([]byte, controller.MaxContentBytes+1), nil
	})
	s.g.Expect(failure.KindOf(err)).To(Equal(failure.TooLarge))
}

func TestUpdatesDeliversOnlyTheNewestContent(t *testing.T) {
	s := newSite(t, fastTiming, 1, 2)
	s.awaitConvergence()
	for i := range 50 {
		s.g.Expect(s.change("h0", fmt.Sprint(i))).To(Succeed())
	}
	s.awaitConvergence()
	s.g.Expect(<-s.nodes["h1"].Updates()).To(Equal(s.nodes["h0"].Status().Content))
	s.g.Expect(s.nodes["h1"].Updates()).To(BeEmpty())
}

func TestPushFollowsTheOrderOfDomains(t *testing.T) {
	for _, test := range []struct{ order, want []string }{
		{nil, []string{"d0", "d1", "d2"}},
		{[]string{"d2", "d1", "d0"}, []string{"d2", "d1", "d0"}},
		{[]string{"d1"}, []string{"d1", "d0", "d2"}},
	} {
		c := controller.Config{PushOrder: func([]byte) []string { return test.order }}
		for _, domain := range []string{"d0", "d1", "d2"} {
			c.Peers = append(c.Peers, controller.Peer{Host: domain, Domain: domain})
		}
		NewWithT(t).Expect(controller.HostsInPushOrder(c)).To(Equal(test.want))
	}
}

func TestLostRepliesGiveUndecidedAndARetryAppliesTheChangeOnce(t *testing.T) {
	s := newSite(t, fastTiming, 3, 4)
	s.awaitConvergence()
	s.restartAll(quietTiming)
	s.bus.loseReplies("Accept", 1000)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := s.nodes["h3"].Change(ctx, appendWord("once"))
	s.g.Expect(failure.KindOf(err)).To(Equal(failure.Undecided))
	s.g.Expect(errors.Is(err, controller.ErrUndecided)).To(BeTrue())
	s.bus.loseReplies("Accept", 0)
	s.g.Expect(s.change("h0", "once")).To(Succeed())
	s.awaitConvergence()
	s.g.Expect(string(s.nodes["h3"].Status().Content)).To(Equal("once;"))
}

func TestWaitingOperationsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c, err := controller.NewController(controller.Config{
		Host: "h0", Clock: time.Now, Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, 1)), Timing: fastTiming,
	})
	g.Expect(err).NotTo(HaveOccurred())
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	var kinds []failure.Kind
	for range 100 {
		_, err := c.Change(cancelled, appendWord("never"))
		kinds = append(kinds, failure.KindOf(err))
	}
	g.Expect(kinds[0]).To(Equal(failure.NoQuorum))
	g.Expect(kinds[99]).To(Equal(failure.Overloaded))
}

func TestCorruptStateFileIsNamedInTheError(t *testing.T) {
	s := newSite(t, fastTiming, 1, 1)
	s.awaitConvergence()
	disk := s.disks["h0"]
	s.shutdown("h0")
	disk.Corrupt(dataFolder+"/register", 20)
	opened, err := store.OpenFolder(disk, dataFolder)
	s.g.Expect(err).NotTo(HaveOccurred())
	config := s.config("h0")
	config.Folder = opened
	_, err = controller.NewController(config)
	s.g.Expect(errors.Is(err, store.ErrCorrupt)).To(BeTrue())
	s.g.Expect(err.Error()).To(ContainSubstring(dataFolder + "/register"))
}

func TestRemovedHostNoLongerVotes(t *testing.T) {
	s := newSite(t, fastTiming, 3, 4)
	s.awaitConvergence()
	s.shutdown("h2")
	s.g.Expect(s.nodes["h3"].RemoveVoter(context.Background(), "h2")).To(Succeed())
	delete(s.disks, "h2")
	s.awaitConvergence()
	s.g.Expect(s.change("h3", "with two")).To(Succeed())
}

// A process that is killed after a rename whose folder could not be synced reads a state that a loss of power takes back.
func TestReportedEntrySurvivesALossOfPower(t *testing.T) {
	s := newSite(t, fastTiming, 3, 3)
	s.awaitConvergence()
	s.restartAll(quietTiming)
	status := s.nodes["h1"].Status()
	s.shutdown("h0")
	s.shutdown("h2")
	voter := registerpb.NewRegisterClient(link{s.bus, "h1", "h1"})
	ballot := registerpb.NewBallot(register.Ballot{Round: 1000, Proposer: 1})
	identity := status.Members[1].Identity
	_, err := voter.Prepare(t.Context(), &registerpb.PrepareRequest{To: identity, Ballot: ballot})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.disks["h1"].Refuse(storetest.SyncDir)
	value := register.Value{Version: status.Version + 1, Members: status.Members, Content: []byte("accepted")}
	_, err = voter.Accept(t.Context(), &registerpb.AcceptRequest{To: identity, Entry: registerpb.NewEntry(register.Entry{Ballot: ballot.ToRegister(), Value: value})})
	s.g.Expect(err).To(HaveOccurred())

	s.shutdown("h1")
	s.start("h1")
	_, err = voter.Inspect(t.Context(), &registerpb.InspectRequest{})
	s.g.Expect(err).To(HaveOccurred(), "the state is not durable while the folder can't be synced")
	s.disks["h1"].Refuse(0)
	report, err := voter.Inspect(t.Context(), &registerpb.InspectRequest{})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.crash("h1")
	s.start("h1")
	after, err := voter.Inspect(t.Context(), &registerpb.InspectRequest{})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(after.ToRegister()).To(Equal(report.ToRegister()))
}

// BenchmarkChange measures changes proposed by a host with a disk, with three disks
// and an in-memory network.
func BenchmarkChange(b *testing.B) {
	s := newSite(b, fastTiming, 3, 3)
	s.awaitConvergence()
	s.restartAll(quietTiming)
	content := []byte("a")
	for b.Loop() {
		content = append([]byte(nil), content...)
		content[0]++
		_, err := s.nodes["h0"].Change(context.Background(), func([]byte) ([]byte, error) { return content, nil })
		s.g.Expect(err).NotTo(HaveOccurred())
	}
}
