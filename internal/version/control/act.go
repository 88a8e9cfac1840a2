package control

import (
	"fmt"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// act carries out a command on s and returns a message for the operator. On a
// refusal s is left as it was.
func (r Rules) act(s *State, c admitted, now time.Time) (string, *failure.Error) {
	switch c.Action {
	case Propose:
		return s.propose(c, now)
	case Approve:
		return r.approve(s, c)
	case Roll:
		return r.roll(s, c, now)
	case Replace:
		return r.replace(s, c, now)
	default:
		return s.withdraw(c, now)
	}
}

func (s *State) propose(c admitted, now time.Time) (string, *failure.Error) {
	if v, ok := s.Version(c.Version); ok && v.Digest == c.Digest {
		return v.proposedAgain()
	}
	if err := s.checkNumber(c.Version); err != nil {
		return "", err
	}
	if c.basedOn != s.Accepted {
		return "", staleBase(c.Version, c.basedOn, s.Accepted)
	}
	if s.open() >= MaxOpenProposals {
		return "", failure.New(failure.Overloaded, fmt.Sprintf("%d proposals are open; withdraw one first", MaxOpenProposals))
	}
	s.Versions = append(s.Versions, newVersion(c, now))
	s.HighestProposed = c.Version
	return fmt.Sprintf("version %d is proposed", c.Version), nil
}

// proposedAgain answers a proposal of the content that holds the version.
func (v Version) proposedAgain() (string, *failure.Error) {
	if v.Status == Withdrawn || v.Status == Outdated {
		return "", ended(v)
	}
	return fmt.Sprintf("version %d holds this content; it is %s", v.Number, v.Status), nil
}

func ended(v Version) *failure.Error {
	return failure.New(failure.StaleVersion, fmt.Sprintf("version %d is %s already", v.Number, v.Status))
}

func newVersion(c admitted, now time.Time) Version {
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

// checkNumber refuses a number that another content holds and one that is not
// the next. Numbers without gaps let Highest stand for all that are taken.
func (s *State) checkNumber(number uint64) *failure.Error {
	if v, ok := s.Version(number); ok {
		return taken(v)
	}
	if number <= s.HighestProposed {
		return failure.New(failure.StaleVersion, fmt.Sprintf("version %d was used long ago; the next number is %d", number, s.HighestProposed+1))
	}
	if number > s.HighestProposed+1 {
		return failure.Invalid("version", fmt.Sprintf("is %d, but the next number is %d", number, s.HighestProposed+1))
	}
	return nil
}

func taken(v Version) *failure.Error {
	return failure.New(failure.VersionTaken, fmt.Sprintf(
		"version %d belongs to the content %s, which %s proposed at %s; it is %s",
		v.Number, v.Digest.Short(), v.ProposedBy, v.ProposedAt.Format(time.RFC3339), v.Status))
}

func staleBase(version, basedOn, accepted uint64) *failure.Error {
	return failure.New(failure.StaleVersion, fmt.Sprintf(
		"version %d was written on top of version %d, but version %d is in force; write it anew on top of that",
		version, basedOn, accepted))
}

// proposal returns the index of the open proposal that c names.
func (s *State) proposal(c admitted) (int, *failure.Error) {
	i, err := s.named(c)
	if err != nil {
		return 0, err
	}
	if v := s.Versions[i]; v.Status != Proposed {
		return 0, ended(v)
	}
	return i, nil
}

// named returns the index of the version that c names by number and digest.
func (s *State) named(c admitted) (int, *failure.Error) {
	i := s.find(c.Version)
	switch {
	case i < 0 && c.Version <= s.HighestProposed:
		return 0, failure.New(failure.StaleVersion, fmt.Sprintf("version %d is too old; version %d is in force", c.Version, s.Accepted))
	case i < 0:
		return 0, failure.New(failure.NotFound, fmt.Sprintf("version %d was not proposed", c.Version))
	case s.Versions[i].Digest != c.Digest:
		return 0, taken(s.Versions[i])
	}
	return i, nil
}

func (r Rules) approve(s *State, c admitted) (string, *failure.Error) {
	i, err := s.named(c)
	if err != nil {
		return "", err
	}
	if v := s.Versions[i]; v.approvedBy(c.Operator) {
		return fmt.Sprintf("%s approved version %d before", c.Operator, v.Number), nil
	}
	if i, err = s.proposal(c); err != nil {
		return "", err
	}
	if err := s.Versions[i].addApprovals(c.Approvals); err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d has %s", c.Version, r.progress(s.Versions[i])), nil
}

func (v Version) approvedBy(operator string) bool {
	return slices.ContainsFunc(v.Approvals, func(a Approval) bool { return a.Operator == operator })
}

// addApprovals adds the signatures of operators who have not signed yet.
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

func (r Rules) progress(v Version) string {
	return fmt.Sprintf("%d of the %d approvals that it needs", r.approvals(v), r.RequiredApprovals)
}

func (r Rules) roll(s *State, c admitted, now time.Time) (string, *failure.Error) {
	i, err := s.named(c)
	if err != nil {
		return "", err
	}
	if v := s.Versions[i]; v.Status == Accepted {
		return fmt.Sprintf("version %d is accepted already", v.Number), nil
	}
	if i, err = s.proposal(c); err != nil {
		return "", err
	}
	v := s.Versions[i]
	if v.BasedOn != s.Accepted || v.Number <= s.Accepted {
		return "", staleBase(v.Number, v.BasedOn, s.Accepted)
	}
	if r.approvals(v) < r.RequiredApprovals {
		return "", failure.New(failure.NotAllowed, fmt.Sprintf("version %d has only %s", v.Number, r.progress(v)))
	}
	s.accept(i, c.Operator, now)
	return fmt.Sprintf("version %d is accepted", v.Number), nil
}

// accept puts a version in force and ends every other open one, since those
// were written on top of what is no longer in force.
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

// replace proposes, approves and rolls in one step; if one of them is refused,
// none is done.
func (r Rules) replace(s *State, c admitted, now time.Time) (string, *failure.Error) {
	next := s.clone()
	if _, err := next.propose(c, now); err != nil {
		return "", err
	}
	i, err := next.named(c)
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

func (s *State) withdraw(c admitted, now time.Time) (string, *failure.Error) {
	i, err := s.named(c)
	if err != nil {
		return "", err
	}
	if v := s.Versions[i]; v.Status == Withdrawn {
		return fmt.Sprintf("version %d is withdrawn already", v.Number), nil
	}
	if v := s.Versions[i]; v.Status == Accepted {
		return "", failure.New(failure.StaleVersion, fmt.Sprintf("version %d is in force and cannot be withdrawn; replace it by a newer one", v.Number))
	}
	if i, err = s.proposal(c); err != nil {
		return "", err
	}
	s.Versions[i].end(Withdrawn, c.Operator, now)
	return fmt.Sprintf("version %d is withdrawn", c.Version), nil
}
