package discovery

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// ForgetAfter is how long a host stays in the table without being heard from. It is
// longer than the longest outage after which a host is expected back.
const ForgetAfter = 60 * time.Second

// Host is one process of the system.
type Host struct {
	Address     string // of the links between hosts; identifies the host
	Name        string
	Domain      string
	HasDisk     bool   // stores the replicated register
	Entry       bool   // accepts jobs from callers
	Incarnation uint64 // Unix milliseconds of the process's start
	Leaving     bool   // accepts no new jobs
	CPUMilli    int    // thousandths of a core that the process may use; 0 if unknown
	LinkKbps    int    // what its link carries; 0 if unknown
	BusyPercent int    // processor time used lately, of what it may use; at least 1, or 0 if unknown
}

// entry is a host with the time at which it was last heard from.
type entry struct {
	host    Host
	heardAt time.Time
}

// Table holds the known hosts other than this one.
type Table struct {
	self  string
	hosts map[string]entry
}

// NewTable returns a Table for the host with the given address.
func NewTable(self string) *Table {
	return &Table{self: self, hosts: map[string]entry{}}
}

// Record records that a host was heard from, age before now. It reports whether the
// host is new or has restarted. A report has no effect if it is of this host, older
// than ForgetAfter, or older than what the table holds.
func (t *Table) Record(h Host, age time.Duration, now time.Time) bool {
	if h.Address == t.self || h.Address == "" || age > ForgetAfter {
		return false
	}
	known, ok := t.hosts[h.Address]
	if ok && h.Incarnation < known.host.Incarnation {
		return false
	}
	isNew := !ok || h.Incarnation > known.host.Incarnation
	heardAt := now.Add(-age)
	if !isNew && heardAt.Before(known.heardAt) {
		return false
	}
	if !isNew && h.CPUMilli == 0 && h.LinkKbps == 0 {
		// A list of a host of a former release omits the capacity, which a process keeps.
		h.CPUMilli, h.LinkKbps, h.BusyPercent = known.host.CPUMilli, known.host.LinkKbps, known.host.BusyPercent
	}
	t.hosts[h.Address] = entry{host: h, heardAt: heardAt}
	return isNew
}

// Alive returns the hosts heard from within the given time before now, ordered by
// address.
func (t *Table) Alive(within time.Duration, now time.Time) []Host {
	var out []Host
	for _, e := range t.hosts {
		if now.Sub(e.heardAt) <= within {
			out = append(out, e.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Len returns the number of hosts in the table.
func (t *Table) Len() int { return len(t.hosts) }

// Get returns a host and the time since it was heard from.
func (t *Table) Get(address string, now time.Time) (Host, time.Duration, bool) {
	e, ok := t.hosts[address]
	return e.host, now.Sub(e.heardAt), ok
}

// All removes the hosts not heard from within ForgetAfter and returns the others,
// ordered by address.
func (t *Table) All(now time.Time) []Host {
	for address, e := range t.hosts {
		if now.Sub(e.heardAt) > ForgetAfter {
			delete(t.hosts, address)
		}
	}
	return t.Alive(ForgetAfter, now)
}

// Digest returns a hash of the addresses and incarnations of all known hosts,
// including this one. Two hosts with equal digests need not send each other their
// lists.
func (t *Table) Digest(self Host) uint64 {
	sum := hashHost(self)
	for _, e := range t.hosts {
		sum += hashHost(e.host) // a sum does not depend on the order
	}
	return sum
}

func hashHost(h Host) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(digestKey(h))) // a hash never fails
	return f.Sum64()
}

func digestKey(h Host) string {
	return h.Address + "/" + strconv.FormatUint(h.Incarnation, 16) + ";"
}
