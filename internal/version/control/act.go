package control

import (
	"fmt"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// execute executes a command on s and returns a message for the operator. If the
// command is refused, s is unchanged.
func (r Rules) execute(s *State, c verifiedCommand, now time.Time) (string, *failure.Error) {
	switch c.Action {
	case Propose:
		return s.propose(c, now)
	case Approve:
		return r.approve(s, c)
	case Roll:
		return r.roll(s, c, now)
	case Replace:
		return r.replace(s, c, now)
	case StartEvacuation:
		return r.startEvacuation(s, c, now)
	case WithdrawEvacuation:
		return r.withdrawEvacuation(s, c)
	default:
		return s.withdraw(c, now)
	}
}

// propose adds an open proposal. Proposing the same content again succeeds without
// an effect unless the version is withdrawn or outdated.
func (s *State) propose(c verifiedCommand, now time.Time) (string, *failure.Error) {
	if v, ok := s.Version(c.Version); ok && v.Digest == c.Digest {
		return v.answerRepeatedProposal()
	}
	if err := s.checkNumber(c.Version); err != nil {
		return "", err
	}
	if c.basedOn != s.Accepted {
		return "", staleBaseError(c.Version, c.basedOn, s.Accepted)
	}
	if s.countProposals() >= MaxOpenProposals {
		return "", failure.New(failure.Overloaded, fmt.Sprintf("%d proposals are open; withdraw one first", MaxOpenProposals))
	}
	s.Versions = append(s.Versions, newVersion(c, now))
	s.HighestProposed = c.Version
	return fmt.Sprintf("version %d is proposed", c.Version), nil
}

// answerRepeatedProposal answers a proposal of the content that the version number
// belongs to already.
func (v Version) answerRepeatedProposal() (string, *failure.Error) {
	if v.Status == Withdrawn || v.Status == Outdated {
		return "", endedError(v)
	}
	return fmt.Sprintf("version %d holds this content; it is %s", v.Number, v.Status), nil
}

func endedError(v Version) *failure.Error {
	return failure.New(failure.StaleVersion, fmt.Sprintf("version %d is %s already", v.Number, v.Status))
}

func newVersion(c verifiedCommand, now time.Time) Version {
	return Version{
		Number:     c.Version,
		BasedOn:    c.basedOn,
		Digest:     c.Digest,
		Status:     Proposed,
		Document:   string(c.Document),
		ProposedBy: c.Operator,
		ProposedAt: now,
	}
}

// checkNumber refuses a number that belongs to another content and a number that
// is not the next one. Because the numbers have no gaps, HighestProposed suffices
// to tell the used ones after their versions have been trimmed.
func (s *State) checkNumber(number uint64) *failure.Error {
	if v, ok := s.Version(number); ok {
		return versionTakenError(v)
	}
	if number <= s.HighestProposed {
		return failure.New(failure.StaleVersion, fmt.Sprintf("version %d was used long ago; the next number is %d", number, s.HighestProposed+1))
	}
	if number > s.HighestProposed+1 {
		return failure.Invalid("version", fmt.Sprintf("is %d, but the next number is %d", number, s.HighestProposed+1))
	}
	return nil
}

func versionTakenError(v Version) *failure.Error {
	return failure.New(failure.VersionTaken, fmt.Sprintf(
		"version %d belongs to the content %s, which %s proposed at %s; it is %s",
		v.Number, v.Digest.Short(), v.ProposedBy, v.ProposedAt.Format(time.RFC3339), v.Status))
}

func staleBaseError(version, basedOn, accepted uint64) *failure.Error {
	return failure.New(failure.StaleVersion, fmt.Sprintf(
		"version %d was written on top of version %d, but version %d is in force; write it anew on top of that",
		version, basedOn, accepted))
}

// findProposal returns the index of the open proposal that c refers to.
func (s *State) findProposal(c verifiedCommand) (int, *failure.Error) {
	i, err := s.findVersion(c)
	if err != nil {
		return 0, err
	}
	if v := s.Versions[i]; v.Status != Proposed {
		return 0, endedError(v)
	}
	return i, nil
}

// findVersion returns the index of the version that c refers to by number and
// digest.
func (s *State) findVersion(c verifiedCommand) (int, *failure.Error) {
	i := s.indexOf(c.Version)
	switch {
	case i < 0 && c.Version <= s.HighestProposed:
		return 0, failure.New(failure.StaleVersion, fmt.Sprintf("version %d is too old; version %d is in force", c.Version, s.Accepted))
	case i < 0:
		return 0, failure.New(failure.NotFound, fmt.Sprintf("version %d was not proposed", c.Version))
	case s.Versions[i].Digest != c.Digest:
		return 0, versionTakenError(s.Versions[i])
	}
	return i, nil
}

// approve adds the operator's approval. A repeated approval succeeds without an
// effect.
func (r Rules) approve(s *State, c verifiedCommand) (string, *failure.Error) {
	i, err := s.findVersion(c)
	if err != nil {
		return "", err
	}
	if v := s.Versions[i]; v.approvedBy(c.Operator) {
		return fmt.Sprintf("%s approved version %d before", c.Operator, v.Number), nil
	}
	if i, err = s.findProposal(c); err != nil {
		return "", err
	}
	if err := s.Versions[i].addApprovals(c.Approvals); err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d has %s", c.Version, r.approvalProgress(s.Versions[i])), nil
}

func (v Version) approvedBy(operator string) bool {
	return slices.ContainsFunc(v.Approvals, func(a Approval) bool { return a.Operator == operator })
}

// addApprovals adds the approvals of operators who have not approved v yet.
func (v *Version) addApprovals(approvals []Approval) *failure.Error {
	v.Approvals = slices.Clone(v.Approvals)
	for _, a := range approvals {
		if v.approvedBy(a.Operator) {
			continue
		}
		if len(v.Approvals) >= MaxApprovals {
			return failure.New(failure.Overloaded, fmt.Sprintf("version %d has %d approvals, the most that are kept", v.Number, MaxApprovals))
		}
		v.Approvals = append(v.Approvals, a)
	}
	return nil
}

func (r Rules) approvalProgress(v Version) string {
	return fmt.Sprintf("%d of the %d approvals that it needs", r.countValidApprovals(v), r.RequiredApprovals)
}

// roll accepts a proposal that has enough approvals and is based on the accepted
// version. It succeeds without an effect if the version is accepted already.
func (r Rules) roll(s *State, c verifiedCommand, now time.Time) (string, *failure.Error) {
	i, err := s.findVersion(c)
	if err != nil {
		return "", err
	}
	if v := s.Versions[i]; v.Status == Accepted {
		return fmt.Sprintf("version %d is accepted already", v.Number), nil
	}
	if i, err = s.findProposal(c); err != nil {
		return "", err
	}
	v := s.Versions[i]
	if v.BasedOn != s.Accepted || v.Number <= s.Accepted {
		return "", staleBaseError(v.Number, v.BasedOn, s.Accepted)
	}
	if r.countValidApprovals(v) < r.RequiredApprovals {
		return "", failure.New(failure.NotAllowed, fmt.Sprintf("version %d has only %s", v.Number, r.approvalProgress(v)))
	}
	s.accept(i, c.Operator, now)
	return fmt.Sprintf("version %d is accepted", v.Number), nil
}

// accept makes a version the accepted one. All other open proposals become
// outdated, because the version that they are based on is no longer in force.
func (s *State) accept(i int, operator string, now time.Time) {
	for j := range s.Versions {
		v := &s.Versions[j]
		switch {
		case j == i:
			v.end(Accepted, operator, now)
		case v.Status == Accepted:
			v.Status = Superseded
		case v.Status == Proposed:
			v.end(Outdated, operator, now)
		}
	}
	s.Accepted = s.Versions[i].Number
}

func (v *Version) end(status Status, operator string, now time.Time) {
	v.Status, v.EndedBy, v.EndedAt = status, operator, now
}

// replace proposes, approves and rolls a version in one step. If one of these is
// refused, none takes effect.
func (r Rules) replace(s *State, c verifiedCommand, now time.Time) (string, *failure.Error) {
	next := s.clone()
	if _, err := next.propose(c, now); err != nil {
		return "", err
	}
	i, err := next.findVersion(c)
	if err != nil {
		return "", err
	}
	if next.Versions[i].Status == Proposed {
		if err := next.Versions[i].addApprovals(c.Approvals); err != nil {
			return "", err
		}
	}
	message, err := r.roll(&next, c, now)
	if err != nil {
		return "", err
	}
	*s = next
	return message, nil
}

// withdraw ends an open proposal. It succeeds without an effect if the version is
// withdrawn already.
func (s *State) withdraw(c verifiedCommand, now time.Time) (string, *failure.Error) {
	i, err := s.findVersion(c)
	if err != nil {
		return "", err
	}
	if v := s.Versions[i]; v.Status == Withdrawn {
		return fmt.Sprintf("version %d is withdrawn already", v.Number), nil
	}
	if v := s.Versions[i]; v.Status == Accepted {
		return "", failure.New(failure.StaleVersion, fmt.Sprintf("version %d is in force and cannot be withdrawn; replace it by a newer one", v.Number))
	}
	if i, err = s.findProposal(c); err != nil {
		return "", err
	}
	s.Versions[i].end(Withdrawn, c.Operator, now)
	return fmt.Sprintf("version %d is withdrawn", c.Version), nil
}
