package shards

import (
	"cmp"
	"slices"
)

// maxParts is the largest number of parts of a job. A part takes a message, and the job
// breaks with any of their holders.
const maxParts = 4

// Part is a range of a job's tasks and the pool that it goes to.
type Part struct {
	Pool  string
	First int // index of the first task in the job
	Count int // tasks, at least one
}

// PlanParts divides a job with the given number of tasks among the fewest pools whose
// free capacity covers it, those with the most first, at most maxParts. Each gets tasks in
// proportion to its free capacity, so that what is not used remains in all of them: the
// loads may be old, and a part is refused by a pool that has less than it reported.
// PlanParts returns nil if one pool has capacity for the whole job, or if the pools do not
// cover it; the job then goes to one pool. A pool that does not take parts gets none.
func PlanParts(loads []Load, tasks int) []Part {
	if tasks < 2 || len(loads) < 2 {
		return nil
	}
	var usable []Load
	for _, l := range loads {
		if l.freeCapacity() >= tasks {
			return nil
		}
		if l.TakesParts && l.freeCapacity() > 0 {
			usable = append(usable, l)
		}
	}
	slices.SortFunc(usable, compareForParts)
	sum, used := 0, 0
	for used < min(len(usable), maxParts) && sum < tasks {
		sum += usable[used].freeCapacity()
		used++
	}
	if sum < tasks {
		return nil
	}
	parts := make([]Part, 0, used)
	first, passed := 0, 0
	for _, l := range usable[:used] {
		passed += l.freeCapacity()
		end := tasks * passed / sum // no part is empty, as each pool is needed to cover the job
		parts = append(parts, Part{Pool: l.Pool, First: first, Count: end - first})
		first = end
	}
	return parts
}

// PoolForRetry returns the pool with the most free capacity other than the one that has
// refused a part, or false if there is none.
func PoolForRetry(loads []Load, refusedBy string) (string, bool) {
	others := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return l.Pool == refusedBy || !l.TakesParts })
	if len(others) == 0 {
		return "", false
	}
	return slices.MinFunc(others, compareForParts).Pool, true
}

// compareForParts orders pools by free capacity, the highest first; the choosing host's
// own pool comes before an equal one, which saves a message.
func compareForParts(a, b Load) int {
	if d := cmp.Compare(b.freeCapacity(), a.freeCapacity()); d != 0 {
		return d
	}
	if a.HeldHere != b.HeldHere {
		if a.HeldHere {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Pool, b.Pool)
}
