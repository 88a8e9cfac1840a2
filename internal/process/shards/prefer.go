package shards

import "slices"

// PreferPools returns the loads of the preferred pools if any of these has free capacity for
// a job with the given number of tasks, otherwise all loads.
func PreferPools(loads []Load, tasks int, preferred func(pool string) bool) []Load {
	out := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return !preferred(l.Pool) || l.freeCapacity() < tasks })
	if len(out) == 0 {
		return loads
	}
	return out
}
