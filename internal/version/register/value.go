package register

import (
	"bytes"
	"slices"
	"strings"
)

// Member is a voter: a host and the identity of its disk.
type Member struct {
	Host     string
	Identity uint64 // drawn at random when the disk is first used; never 0
}

// Value is one version of the register's value: its content and its voters.
type Value struct {
	Version       uint64   // increases by one with each change; 0 is the initial value
	Members       []Member // the voters, ordered by host
	FormerMembers []Member // the voters of the previous version, if this value changes the voters
	Content       []byte
}

// Entry is a value with the ballot under which it was proposed. The zero Entry
// stands for no value.
type Entry struct {
	Ballot Ballot
	Value  Value
}

// InitialEntry returns the entry with which the given members bootstrap the
// register. Its ballot is zero.
func InitialEntry(members []Member) Entry {
	sorted := slices.SortedFunc(slices.Values(members), compareHosts)
	return Entry{Value: Value{Members: sorted}}
}

// IsZero reports whether the entry holds no value.
func (e Entry) IsZero() bool { return len(e.Value.Members) == 0 }

// newerThan reports whether e has a higher ballot than o. Any entry is newer than
// the zero Entry.
func (e Entry) newerThan(o Entry) bool {
	if e.IsZero() || o.IsZero() {
		return !e.IsZero()
	}
	return e.Ballot.Compare(o.Ballot) > 0
}

// Voters returns the members and former members without duplicates.
func (v Value) Voters() []Member {
	all := slices.Concat(v.Members, v.FormerMembers)
	slices.SortFunc(all, compareMembers)
	return slices.Compact(all)
}

// HasMember reports whether m is one of the members.
func (v Value) HasMember(m Member) bool { return slices.Contains(v.Members, m) }

// HasHost reports whether a disk of the host is one of the members.
func (v Value) HasHost(host string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.Host == host })
}

// WithMember returns v with m in place of any member on the same host.
func (v Value) WithMember(m Member) Value {
	v = v.WithoutHost(m.Host)
	v.Members = append(v.Members, m)
	slices.SortFunc(v.Members, compareHosts)
	return v
}

// WithoutHost returns v without the members on the host.
func (v Value) WithoutHost(host string) Value {
	v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.Host == host })
	return v
}

// hasQuorum reports whether the identities that voted form a quorum: a
// majority of the members and, if there are any, of the former members.
func (v Value) hasQuorum(voted func(identity uint64) bool) bool {
	return hasMajority(v.Members, voted) && (len(v.FormerMembers) == 0 || hasMajority(v.FormerMembers, voted))
}

// addedMembers returns the members that v adds.
func (v Value) addedMembers() []Member {
	if len(v.FormerMembers) == 0 {
		return nil
	}
	return membersNotIn(v.Members, v.FormerMembers)
}

// equal reports whether v and o have the same content and members.
func (v Value) equal(o Value) bool {
	return bytes.Equal(v.Content, o.Content) && slices.Equal(v.Members, o.Members)
}

func hasMajority(members []Member, voted func(identity uint64) bool) bool {
	count := 0
	for _, m := range members {
		if voted(m.Identity) {
			count++
		}
	}
	return count > len(members)/2
}

// membersNotIn returns the members of a that are not in b.
func membersNotIn(a, b []Member) []Member {
	var out []Member
	for _, m := range a {
		if !slices.Contains(b, m) {
			out = append(out, m)
		}
	}
	return out
}

// isSingleMemberChange reports whether at most one member is added, at most one is
// removed and some member remains. The two may be on different hosts, because the
// change needs a quorum of both sets of voters.
func isSingleMemberChange(from, to []Member) bool {
	return len(to) > 0 && len(membersNotIn(to, from)) <= 1 && len(membersNotIn(from, to)) <= 1
}

func compareHosts(a, b Member) int { return strings.Compare(a.Host, b.Host) }

func compareMembers(a, b Member) int {
	if c := compareHosts(a, b); c != 0 {
		return c
	}
	if a.Identity < b.Identity {
		return -1
	}
	if a.Identity > b.Identity {
		return 1
	}
	return 0
}
