package evacuation

import (
	"slices"
	"strings"
	"time"
)

// Evacuation states that the targets of a failure domain get no new work.
type Evacuation struct {
	Domain string    `json:"domain"`
	Since  time.Time `json:"since"` // when the operator's request was accepted, by the clock of the host that accepted it
}

// Set holds the evacuations in force, ordered by domain. The zero value holds none. A Set
// is never changed; Start and Withdraw return a new one.
type Set []Evacuation

// Find returns the evacuation of a domain. It returns false if the domain is not
// evacuated.
func (s Set) Find(domain string) (Evacuation, bool) {
	i, found := s.search(domain)
	if !found {
		return Evacuation{}, false
	}
	return s[i], true
}

// Start returns the set with an evacuation of the domain. A domain that is evacuated
// already keeps the time of the first request, so a request that is sent again changes
// nothing.
func (s Set) Start(domain string, now time.Time) Set {
	i, found := s.search(domain)
	if found {
		return s
	}
	return slices.Insert(slices.Clone(s), i, Evacuation{Domain: domain, Since: now})
}

// Withdraw returns the set without an evacuation of the domain. It returns the set itself
// if the domain is not evacuated.
func (s Set) Withdraw(domain string) Set {
	i, found := s.search(domain)
	if !found {
		return s
	}
	return slices.Delete(slices.Clone(s), i, i+1)
}

func (s Set) search(domain string) (int, bool) {
	return slices.BinarySearchFunc(s, domain, func(e Evacuation, domain string) int { return strings.Compare(e.Domain, domain) })
}
