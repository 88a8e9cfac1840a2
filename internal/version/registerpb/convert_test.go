package registerpb_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/register"
	"wasabifield.example/wasabifield/internal/version/registerpb"
)

func newEntry(round uint64) register.Entry {
	return register.Entry{
		Ballot: register.Ballot{Round: round, Proposer: 1 << 63},
		Value: register.Value{
			Version:       7,
			Members:       []register.Member{{Host: "a", Identity: 1}, {Host: "b", Identity: 3}},
			FormerMembers: []register.Member{{Host: "a", Identity: 1}, {Host: "b", Identity: 2}},
			Content:       []byte("content"),
		},
	}
}

func TestStateIsUnchangedByARoundTrip(t *testing.T) {
	initial := register.InitialEntry([]register.Member{{Host: "a", Identity: 1}})
	for name, state := range map[string]register.State{
		"new disk":              {Host: "a", Identity: 5},
		"initial":               {Host: "a", Identity: 5, MayVote: true, Accepted: initial, Learned: initial},
		"accepted, not learned": {Host: "a", Identity: 5, MayVote: true, Accepted: newEntry(4), Learned: newEntry(2), Promised: newEntry(9).Ballot},
		"accepted and learned":  {Host: "a", Identity: 5, MayVote: true, Accepted: newEntry(4), Learned: newEntry(4)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			payload, err := registerpb.MarshalState(state)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(registerpb.UnmarshalState(payload)).To(Equal(state))
		})
	}
	_, err := registerpb.UnmarshalState(nil)
	NewWithT(t).Expect(err).To(MatchError(registerpb.ErrNoIdentity))
}

func TestRepliesAreUnchangedByARoundTrip(t *testing.T) {
	g := NewWithT(t)
	ballot := register.Ballot{Round: 3, Proposer: 4}
	for _, v := range []register.Verdict{register.Granted, register.Outbid, register.NotVoter} {
		p := register.Promise{From: 1, Ballot: ballot, Verdict: v, Promised: ballot.Next(5), Accepted: newEntry(2), Chosen: true}
		g.Expect(registerpb.NewPrepareReply(p).ToRegister()).To(Equal(p))
		a := register.Acceptance{From: 1, Ballot: ballot, Verdict: v, Promised: ballot.Next(5)}
		g.Expect(registerpb.NewAcceptReply(a).ToRegister()).To(Equal(a))
	}
	r := register.Report{From: register.Member{Host: "a", Identity: 9}, Ballot: ballot, MayVote: true, SameBallot: true, Accepted: newEntry(2), Chosen: true}
	g.Expect(registerpb.NewInspectReply(r).ToRegister()).To(Equal(r))
	g.Expect((&registerpb.PrepareReply{}).ToRegister().Verdict).To(Equal(register.NotVoter))
}
