package registerpb

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"wasabifield.example/wasabifield/internal/version/register"
)

// ErrNoIdentity is the error for a state file without a host name or an identity.
var ErrNoIdentity = errors.New("the register's state file lacks the host name or the identity")

// NewBallot converts a ballot to its message. The zero ballot becomes nil.
func NewBallot(b register.Ballot) *Ballot {
	if b == (register.Ballot{}) {
		return nil
	}
	return &Ballot{Round: b.Round, Proposer: b.Proposer}
}

// ToRegister is the inverse of NewBallot. It may be called on nil.
func (b *Ballot) ToRegister() register.Ballot {
	return register.Ballot{Round: b.GetRound(), Proposer: b.GetProposer()}
}

// NewEntry converts an entry to its message. The zero entry becomes nil.
func NewEntry(e register.Entry) *Entry {
	if e.IsZero() {
		return nil
	}
	return &Entry{Ballot: NewBallot(e.Ballot), Value: &Value{
		Version: e.Value.Version,
		Members: membersToProto(e.Value.Members),
		Former:  membersToProto(e.Value.FormerMembers),
		Content: e.Value.Content,
	}}
}

// ToRegister is the inverse of NewEntry. It may be called on nil.
func (e *Entry) ToRegister() register.Entry {
	v := e.GetValue()
	return register.Entry{Ballot: e.GetBallot().ToRegister(), Value: register.Value{
		Version:       v.GetVersion(),
		Members:       membersFromProto(v.GetMembers()),
		FormerMembers: membersFromProto(v.GetFormer()),
		Content:       v.GetContent(),
	}}
}

func membersToProto(in []register.Member) []*Member {
	var out []*Member
	for _, m := range in {
		out = append(out, &Member{Host: m.Host, Identity: m.Identity})
	}
	return out
}

func membersFromProto(in []*Member) []register.Member {
	var out []register.Member
	for _, m := range in {
		out = append(out, register.Member{Host: m.GetHost(), Identity: m.GetIdentity()})
	}
	return out
}

var verdictsToProto = map[register.Verdict]Verdict{
	register.Granted:  Verdict_VERDICT_GRANTED,
	register.Outbid:   Verdict_VERDICT_OUTBID,
	register.NotVoter: Verdict_VERDICT_NOT_VOTER,
}

// ToRegister converts a verdict. An unknown verdict becomes NotVoter, a refusal.
func (v Verdict) ToRegister() register.Verdict {
	for r, converted := range verdictsToProto {
		if converted == v {
			return r
		}
	}
	return register.NotVoter
}

// NewPrepareReply converts a promise to its message.
func NewPrepareReply(p register.Promise) *PrepareReply {
	return &PrepareReply{
		From:     p.From,
		Ballot:   NewBallot(p.Ballot),
		Verdict:  verdictsToProto[p.Verdict],
		Promised: NewBallot(p.Promised),
		Accepted: NewEntry(p.Accepted),
		Chosen:   p.Chosen,
	}
}

// ToRegister is the inverse of NewPrepareReply.
func (p *PrepareReply) ToRegister() register.Promise {
	return register.Promise{
		From:     p.GetFrom(),
		Ballot:   p.GetBallot().ToRegister(),
		Verdict:  p.GetVerdict().ToRegister(),
		Promised: p.GetPromised().ToRegister(),
		Accepted: p.GetAccepted().ToRegister(),
		Chosen:   p.GetChosen(),
	}
}

// NewAcceptReply converts an acceptance to its message.
func NewAcceptReply(a register.Acceptance) *AcceptReply {
	return &AcceptReply{
		From:     a.From,
		Ballot:   NewBallot(a.Ballot),
		Verdict:  verdictsToProto[a.Verdict],
		Promised: NewBallot(a.Promised),
	}
}

// ToRegister is the inverse of NewAcceptReply.
func (a *AcceptReply) ToRegister() register.Acceptance {
	return register.Acceptance{
		From:     a.GetFrom(),
		Ballot:   a.GetBallot().ToRegister(),
		Verdict:  a.GetVerdict().ToRegister(),
		Promised: a.GetPromised().ToRegister(),
	}
}

// NewInspectReply converts a report to its message.
func NewInspectReply(r register.Report) *InspectReply {
	return &InspectReply{
		From:     &Member{Host: r.From.Host, Identity: r.From.Identity},
		Ballot:   NewBallot(r.Ballot),
		Whole:    r.MayVote,
		Same:     r.SameBallot,
		Accepted: NewEntry(r.Accepted),
		Chosen:   r.Chosen,
	}
}

// ToRegister is the inverse of NewInspectReply.
func (r *InspectReply) ToRegister() register.Report {
	return register.Report{
		From:       register.Member{Host: r.GetFrom().GetHost(), Identity: r.GetFrom().GetIdentity()},
		Ballot:     r.GetBallot().ToRegister(),
		MayVote:    r.GetWhole(),
		SameBallot: r.GetSame(),
		Accepted:   r.GetAccepted().ToRegister(),
		Chosen:     r.GetChosen(),
	}
}

// MarshalState encodes a state as the payload of the state file. An entry that is
// both accepted and learned is stored once.
func MarshalState(s register.State) ([]byte, error) {
	m := &State{
		Host:     s.Host,
		Identity: s.Identity,
		Whole:    s.MayVote,
		Promised: NewBallot(s.Promised),
		Accepted: NewEntry(s.Accepted),
	}
	if s.Learned.IsZero() || s.Learned.Ballot != s.Accepted.Ballot {
		m.Learned = NewEntry(s.Learned)
	} else {
		m.AcceptedIsLearned = true
	}
	return proto.Marshal(m)
}

// UnmarshalState decodes the payload of a state file. It returns ErrNoIdentity if
// the payload has no host name or no identity.
func UnmarshalState(payload []byte) (register.State, error) {
	m := &State{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return register.State{}, err
	}
	if m.GetIdentity() == 0 || m.GetHost() == "" {
		return register.State{}, ErrNoIdentity
	}
	s := register.State{
		Host:     m.GetHost(),
		Identity: m.GetIdentity(),
		MayVote:  m.GetWhole(),
		Promised: m.GetPromised().ToRegister(),
		Accepted: m.GetAccepted().ToRegister(),
		Learned:  m.GetLearned().ToRegister(),
	}
	if m.GetAcceptedIsLearned() {
		s.Learned = s.Accepted
	}
	return s, nil
}
