package queue

// QuotaShare splits a team's quota of running tasks among the hosts of a
// failure domain, at least one for each host. Half of an equal part stays with
// each host; the rest is split in proportion to the demand that the hosts last
// reported.
//
// Every host computes the split from the same reports. A host that has not
// heard all others within the lease counts on an equal part alone, so that the
// two sides of a cut do not exceed the quota together.
func QuotaShare(quota, hosts, ownDemand, allDemand int, complete bool) int {
	if quota <= 0 {
		return 0
	}
	floor := max(1, quota/hosts)
	if !complete || hosts == 1 {
		return floor
	}
	kept := floor - floor/2
	rest := max(0, quota-kept*hosts)
	if allDemand == 0 {
		return kept + rest/hosts
	}
	return kept + rest*ownDemand/allDemand
}
