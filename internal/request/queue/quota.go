package queue

// QuotaShare returns this host's share of a team's quota of running tasks in the
// failure domain, at least one task; a quota of 0 or less gives 0, for no quota. Half of an equal share is
// reserved for each host; the rest is split in proportion to the demand that the
// hosts last reported. ownDemand and allDemand are the waiting and running tasks of
// the team at this host and at all hosts.
//
// Every host computes the split from the same reports. A host without reports of all
// other hosts within the lease (complete is false) uses an equal share, so that the
// two sides of a network partition do not exceed the quota together.
func QuotaShare(quota, hosts, ownDemand, allDemand int, complete bool) int {
	if quota <= 0 {
		return 0
	}
	equalShare := max(1, quota/hosts)
	if !complete || hosts == 1 {
		return equalShare
	}
	reserved := equalShare - equalShare/2
	divisible := max(0, quota-reserved*hosts)
	if allDemand == 0 {
		return reserved + divisible/hosts
	}
	return reserved + divisible*ownDemand/allDemand
}
