package register

// State is the complete register state of one host. Its methods return the state
// after a message and don't modify the receiver.
type State struct {
	Host     string
	Identity uint64 // 0 on a host without a disk, which never votes
	MayVote  bool   // the host has a disk that holds a chosen value
	Promised Ballot // the host accepts no ballot below this one
	Accepted Entry  // the last accepted entry
	Learned  Entry  // the newest entry that the host knows to be chosen
}

// Effect is the result of handling a request. If Persist is set, the caller must
// persist State before it sends the reply; if that fails, it must keep the old
// state and send no reply.
type Effect struct {
	State   State
	Persist bool
	Reply   Reply
}

// Member returns the host as a voter.
func (s State) Member() Member { return Member{Host: s.Host, Identity: s.Identity} }

// Handle returns the effect of a request.
func (s State) Handle(r Request) Effect {
	switch r := r.(type) {
	case Prepare:
		return s.prepare(r)
	case Accept:
		return s.accept(r)
	case Learn:
		return s.learn(r)
	case Inspect:
		return s.inspect(r)
	}
	return Effect{State: s}
}

func (s State) isVoter(identity uint64) bool {
	return s.MayVote && s.Identity != 0 && s.Identity == identity
}

func (s State) acceptedIsChosen() bool {
	return !s.Learned.IsZero() && s.Learned.Ballot == s.Accepted.Ballot
}

func (s State) prepare(m Prepare) Effect {
	reply := Promise{From: s.Identity, Ballot: m.Ballot, Promised: s.Promised}
	if !s.isVoter(m.To) {
		reply.Verdict = NotVoter
		return Effect{State: s, Reply: reply}
	}
	order := m.Ballot.Compare(s.Promised)
	if order < 0 {
		reply.Verdict = Outbid
		return Effect{State: s, Reply: reply}
	}
	s.Promised = m.Ballot
	reply.Promised = m.Ballot
	reply.Accepted = s.Accepted
	reply.Chosen = s.acceptedIsChosen()
	return Effect{State: s, Persist: order > 0, Reply: reply}
}

func (s State) accept(m Accept) Effect {
	ballot := m.Entry.Ballot
	reply := Acceptance{From: s.Identity, Ballot: ballot, Promised: s.Promised}
	if !s.isVoter(m.To) {
		reply.Verdict = NotVoter
		return Effect{State: s, Reply: reply}
	}
	if ballot.Compare(s.Promised) < 0 {
		reply.Verdict = Outbid
		return Effect{State: s, Reply: reply}
	}
	repeated := s.Accepted.Ballot == ballot
	s.Promised = ballot
	s.Accepted = m.Entry
	reply.Promised = ballot
	return Effect{State: s, Persist: !repeated, Reply: reply}
}

// learn adopts a chosen entry. A voter may treat it as accepted even if its ballot
// is lower than the promised one, because the entry was chosen without this voter's
// vote.
func (s State) learn(m Learn) Effect {
	isNewer := m.Entry.newerThan(s.Learned)
	if isNewer {
		s.Learned = m.Entry
		s.MayVote = s.Identity != 0
	}
	if m.Entry.newerThan(s.Accepted) {
		s.Accepted = m.Entry
		s.Promised = higher(s.Promised, m.Entry.Ballot)
	}
	return Effect{State: s, Persist: isNewer, Reply: Learned{Version: s.Learned.Value.Version}}
}

func (s State) inspect(m Inspect) Effect {
	r := Report{
		From:     s.Member(),
		Ballot:   m.Ballot,
		MayVote:  s.MayVote,
		Accepted: s.Accepted,
		Chosen:   s.acceptedIsChosen(),
	}
	if m.Known != (Ballot{}) && s.Accepted.Ballot == m.Known {
		r.SameBallot = true
		r.Accepted = Entry{}
	}
	return Effect{State: s, Reply: r}
}
