package control

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// domainPattern matches the names of domains that the settings of a host allow. It
// bounds what a refused command adds to the audit trail.
var domainPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// isEvacuation reports whether the command is about a failure domain, not a version.
func (c Command) isEvacuation() bool {
	return c.Action == StartEvacuation || c.Action == WithdrawEvacuation
}

// checkEvacuationForm checks the fields of a command about a failure domain.
func (c Command) checkEvacuationForm() *failure.Error {
	switch {
	case !domainPattern.MatchString(c.Domain):
		return failure.Invalid("domain", "must be 1 to 63 of a-z, 0-9 and -, not starting with -")
	case c.Version != 0:
		return failure.Invalid("version", fmt.Sprintf("is not allowed with %s", c.Action))
	case c.Digest != "":
		return failure.Invalid("digest", fmt.Sprintf("is not allowed with %s", c.Action))
	case len(c.Document) > 0:
		return failure.Invalid("document", fmt.Sprintf("is not allowed with %s", c.Action))
	case len(c.Approvals) > 0:
		return failure.Invalid("approvals", fmt.Sprintf("is not allowed with %s", c.Action))
	case c.Force && c.Action != StartEvacuation:
		return failure.Invalid("force", fmt.Sprintf("is not allowed with %s", c.Action))
	}
	return nil
}

// startEvacuation adds an evacuation. It succeeds without an effect if the domain is
// evacuated already. Without Force it refuses to evacuate the last domain of the
// settings that gets work; this check is part of the change, so that two operators
// can't evacuate the last two domains at the same time.
func (r Rules) startEvacuation(s *State, c verifiedCommand, now time.Time) (string, *failure.Error) {
	if !slices.Contains(r.Domains, c.Domain) {
		return "", r.unknownDomainError(c.Domain)
	}
	if e, ok := s.Evacuations.Find(c.Domain); ok {
		return fmt.Sprintf("domain %s is evacuated already, since %s", c.Domain, e.Since.Format(time.RFC3339)), nil
	}
	next := s.Evacuations.Start(c.Domain, now)
	allEvacuated := !slices.ContainsFunc(r.Domains, func(domain string) bool {
		_, evacuated := next.Find(domain)
		return !evacuated
	})
	if allEvacuated && !c.Force {
		return "", failure.New(failure.NotAllowed, fmt.Sprintf("domain %s is the last one that gets work; only a forced evacuation leaves none", c.Domain))
	}
	s.Evacuations = next
	if allEvacuated {
		return fmt.Sprintf("domain %s is evacuated; no domain is left that gets work", c.Domain), nil
	}
	return fmt.Sprintf("domain %s is evacuated", c.Domain), nil
}

// withdrawEvacuation removes an evacuation. It succeeds without an effect if the domain
// is not evacuated. A domain that the settings no longer name can still be withdrawn.
func (r Rules) withdrawEvacuation(s *State, c verifiedCommand) (string, *failure.Error) {
	_, evacuated := s.Evacuations.Find(c.Domain)
	switch {
	case evacuated:
		s.Evacuations = s.Evacuations.Withdraw(c.Domain)
		return fmt.Sprintf("the evacuation of domain %s is withdrawn", c.Domain), nil
	case !slices.Contains(r.Domains, c.Domain):
		return "", r.unknownDomainError(c.Domain)
	}
	return fmt.Sprintf("domain %s was not evacuated", c.Domain), nil
}

func (r Rules) unknownDomainError(domain string) *failure.Error {
	return failure.Invalid("domain", fmt.Sprintf("is %q, must be one of %v", domain, r.Domains))
}
