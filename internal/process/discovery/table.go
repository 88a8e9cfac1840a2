package discovery

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// ForgetAfter is how long a host stays in the table without being heard. It
// outlasts the longest outage after which a host is expected back.
const ForgetAfter = 60 * time.Second

// Host is one process of the system.
type Host struct {
	Address     string // of the links between hosts; identifies the host
	Name        string
	Domain      string
	Disk        bool   // keeps the replicated register
	Entry       bool   // takes jobs from callers
	Incarnation uint64 // Unix milliseconds of the process's start
	Leaving     bool   // takes no new jobs
}

// entry is a host with the time at which it was last heard.
type entry struct {
	host  Host
	heard time.Time
}

// Table holds the hosts other than this one.
type Table struct {
	self  string
	hosts map[string]entry
}

// NewTable returns a Table for the host with the given address.
func NewTable(self string) *Table {
	return &Table{self: self, hosts: map[string]entry{}}
}

// Learn takes in that a host was heard some time ago. It reports whether the
// host is new or has started anew.
func (t *Table) Learn(h Host, age time.Duration, now time.Time) bool {
	if h.Address == t.self || h.Address == "" || age > ForgetAfter {
		return false
	}
	known, ok := t.hosts[h.Address]
	if ok && h.Incarnation < known.host.Incarnation {
		return false
	}
	fresh := !ok || h.Incarnation > known.host.Incarnation
	heard := now.Add(-age)
	if !fresh && heard.Before(known.heard) {
		return false
	}
	t.hosts[h.Address] = entry{host: h, heard: heard}
	return fresh
}

// Alive returns the hosts heard within a time, ordered by address.
func (t *Table) Alive(within time.Duration, now time.Time) []Host {
	var out []Host
	for _, e := range t.hosts {
		if now.Sub(e.heard) <= within {
			out = append(out, e.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Len returns how many hosts are known.
func (t *Table) Len() int { return len(t.hosts) }

// Get returns a host and the time since it was heard.
func (t *Table) Get(address string, now time.Time) (Host, time.Duration, bool) {
	e, ok := t.hosts[address]
	return e.host, now.Sub(e.heard), ok
}

// All returns every host that is not forgotten, ordered by address, and drops
// those that are.
func (t *Table) All(now time.Time) []Host {
	for address, e := range t.hosts {
		if now.Sub(e.heard) > ForgetAfter {
			delete(t.hosts, address)
		}
	}
	return t.Alive(ForgetAfter, now)
}

// Digest sums up which hosts are known, this one included. Two hosts with equal
// digests need not send each other their lists.
func (t *Table) Digest(self Host) uint64 {
	sum := hash(self)
	for _, e := range t.hosts {
		sum += hash(e.host) // in no order
	}
	return sum
}

func hash(h Host) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(key(h))) // a hash never fails
	return f.Sum64()
}

func key(h Host) string {
	return h.Address + "/" + strconv.FormatUint(h.Incarnation, 16) + ";"
}
