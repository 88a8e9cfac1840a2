package parts

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

const (
	// targetsPerPart is what one host orders with ease: at two orders a second
	// for each core of a target, about a fifth of the smallest host's processor.
	targetsPerPart = 24
	// growAbove is the mean number of targets in a part from which on the parts
	// are doubled; above targetsPerPart, so that the new ones are not too small.
	growAbove = targetsPerPart * 5 / 4
	// MaxShards bounds the parts of a domain.
	MaxShards = 16
)

// Pool names the pool of one part of a domain.
type Pool struct {
	Domain string
	Shard  int // from 0
}

// separator stands between a pool's domain and its part. Domains have no such
// sign in their names.
const separator = "#"

// String returns the pool's name between hosts: that of the domain for part 0.
func (p Pool) String() string {
	if p.Shard == 0 {
		return p.Domain
	}
	return p.Domain + separator + strconv.Itoa(p.Shard)
}

// ParsePool returns the pool of a name.
func ParsePool(name string) (Pool, error) {
	domain, part, found := strings.Cut(name, separator)
	if !found {
		return Pool{Domain: name}, nil
	}
	n, err := strconv.Atoi(part)
	if err != nil || n < 1 || n >= MaxShards {
		return Pool{}, fmt.Errorf("%q names no part of a domain", name)
	}
	return Pool{Domain: domain, Shard: n}, nil
}

// ShardOf returns the part that a target belongs to.
func ShardOf(target string, parts int) int {
	if parts < 2 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // a hash never fails
	return int(h.Sum32() % uint32(parts))
}

// GrowShardCount returns the number of parts for a domain's targets, given the number so
// far; it never shrinks.
func GrowShardCount(parts, targets int) int {
	parts = max(1, parts)
	for targets > parts*growAbove && parts < MaxShards {
		parts *= 2
	}
	return parts
}

// Load is what a pool's holder said last.
type Load struct {
	Pool        string
	FreeTasks   int  // tasks of usual size that would start at once
	QueuedTasks int  // tasks that wait
	HeldHere    bool // the host that chooses holds the pool, so the figures are of now
}

func (l Load) spare() int { return l.FreeTasks - l.QueuedTasks }

// roomyBy is how many times a job's tasks the host's own pool must have free to
// be chosen without a look at others: with less, jobs of the callers that happen
// to be connected here would fill it before the other pools.
const roomyBy = 4

// ChoosePool returns the pool for a job with a number of tasks: the host's own one
// while it has ample room, which saves a message; otherwise, of two that are drawn,
// the one with more room. The loads are up to a greeting old, and all hosts that looked for the
// greatest would send to one pool until the next (M. Mitzenmacher, "How useful is
// old information?", 2000). Draw returns a random number below its argument. It
// returns no name if there are no loads.
func ChoosePool(loads []Load, tasks int, draw func(below int) int) string {
	for _, l := range loads {
		if l.HeldHere && l.spare() >= roomyBy*tasks {
			return l.Pool
		}
	}
	switch len(loads) {
	case 0:
		return ""
	case 1:
		return loads[0].Pool
	}
	first := draw(len(loads))
	second := draw(len(loads) - 1)
	if second >= first {
		second++
	}
	if loads[second].spare() > loads[first].spare() {
		return loads[second].Pool
	}
	return loads[first].Pool
}
