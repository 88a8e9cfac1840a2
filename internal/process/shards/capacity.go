package shards

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The processor and the link of a host that carries targetsPerShard targets.
	referenceCPUMilli = 192
	referenceLinkKbps = 25_000
	// maxCarriedTargets bounds what one host carries, whatever its capacity: all targets
	// of a shard wait while it is handed over or its holder is lost.
	maxCarriedTargets = 96
	// sameClassRatio is the share of the capacity of the strongest host of a class that
	// the other hosts of the class have at least. Hosts whose settings differ by little
	// thus count as equal.
	sameClassRatio = 0.75
)

// Capacity is what a host may use, as its settings state it. A value of 0 is unknown.
type Capacity struct {
	CPUMilli int // thousandths of a core
	LinkKbps int
}

// carriedTargets returns the number of targets that a host of this capacity carries, or
// 0 if the capacity is unknown. The scarcer of processor and link decides.
func (c Capacity) carriedTargets() float64 {
	carried := float64(0)
	if c.CPUMilli > 0 {
		carried = targetsPerShard * float64(c.CPUMilli) / referenceCPUMilli
	}
	if byLink := targetsPerShard * float64(c.LinkKbps) / referenceLinkKbps; c.LinkKbps > 0 && (carried == 0 || byLink < carried) {
		carried = byLink
	}
	return min(carried, maxCarriedTargets)
}

// CarriedTargets returns the number of targets that a host of this capacity carries, or
// 0 if the capacity is unknown.
func (c Capacity) CarriedTargets() int { return int(c.carriedTargets()) }

// Candidate is a host that may hold a pool.
type Candidate struct {
	Address  string
	Capacity Capacity
}

// capacityClass is the hosts of similar capacity.
type capacityClass struct {
	addresses []string
	strongest float64 // targets that the strongest of them carries
	weakest   float64
}

// capacityClasses groups the hosts that report their capacity, the strongest class first.
func capacityClasses(hosts []Candidate) []capacityClass {
	known := slices.DeleteFunc(slices.Clone(hosts), func(h Candidate) bool { return h.Capacity.carriedTargets() == 0 })
	slices.SortFunc(known, func(a, b Candidate) int { return cmp.Compare(b.Capacity.carriedTargets(), a.Capacity.carriedTargets()) })
	var classes []capacityClass
	for _, h := range known {
		carried := h.Capacity.carriedTargets()
		if len(classes) == 0 || carried < sameClassRatio*classes[len(classes)-1].strongest {
			classes = append(classes, capacityClass{strongest: carried})
		}
		class := &classes[len(classes)-1]
		class.addresses = append(class.addresses, h.Address)
		class.weakest = carried
	}
	return classes
}

// Uneven reports whether some of the hosts have clearly more capacity than others. All
// that follows from capacity takes effect only then.
func Uneven(hosts []Candidate) bool { return len(capacityClasses(hosts)) > 1 }

// meanCarriedTargets returns the mean of what the hosts that report their capacity carry,
// which stands for the hosts that don't.
func meanCarriedTargets(hosts []Candidate) float64 {
	sum, count := 0.0, 0
	for _, h := range hosts {
		if carried := h.Capacity.carriedTargets(); carried > 0 {
			sum += carried
			count++
		}
	}
	return sum / float64(max(1, count))
}

// OrderCandidates returns the addresses of the hosts that may hold a pool in order of
// preference. Hosts of similar capacity are in the order of their addresses, beginning
// with a different one for each start. In an uneven domain, those with more capacity come
// first; hosts that don't report it count as average.
//
// A host of a former release orders all hosts by address and takes no pool of which it
// is not the first by that order. So the first one here must always report its capacity,
// unless all that do are similar: a mean is below the strongest.
func OrderCandidates(hosts []Candidate, start int) []string {
	classes := capacityClasses(hosts)
	if len(classes) < 2 {
		return rotatedAddresses(addressesOf(hosts), start)
	}
	silent := addressesOf(slices.DeleteFunc(slices.Clone(hosts), func(h Candidate) bool { return h.Capacity.carriedTargets() > 0 }))
	mean := meanCarriedTargets(hosts)
	var out []string
	for i, class := range classes {
		if i > 0 && class.strongest < mean {
			out = append(out, rotatedAddresses(silent, start)...)
			silent = nil
		}
		out = append(out, rotatedAddresses(class.addresses, start)...)
	}
	return append(out, rotatedAddresses(silent, start)...)
}

// claimRankDelay is how long after the host before it in the order a host claims a pool
// that nobody holds, while hosts may disagree about the order. It is several times as
// long as hosts listen before a claim.
const claimRankDelay = time.Second

// ClaimOrder returns the order in which hosts claim a pool that has been without a holder
// for some time, as far as the host self knows. It is that of OrderCandidates while all
// hosts agree on it. Where some report their capacity and others don't, which may be
// because they have not been heard of yet, each host may take another one for the first.
// So that somebody claims the pool, a host comes first there after claimRankDelay for
// each host before it; of several claims, one wins.
func ClaimOrder(hosts []Candidate, self string, start int, withoutHolder time.Duration) []string {
	order := OrderCandidates(hosts, start)
	silent := 0
	for _, h := range hosts {
		if h.Capacity.carriedTargets() == 0 {
			silent++
		}
	}
	rank := slices.Index(order, self)
	if silent == 0 || silent == len(hosts) || rank < 1 || withoutHolder < time.Duration(rank)*claimRankDelay {
		return order
	}
	return append([]string{self}, slices.Delete(order, rank, rank+1)...)
}

func addressesOf(hosts []Candidate) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Address)
	}
	return out
}

// rotatedAddresses returns the addresses in order, beginning at index start, modulo their
// number.
func rotatedAddresses(addresses []string, start int) []string {
	if len(addresses) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(addresses))
	start %= len(sorted)
	return slices.Concat(sorted[start:], sorted[:start])
}

// WantedShardCount returns the number of shards for a domain with targetCount targets
// that has shardCount shards so far, never a smaller one. In an uneven domain it is the
// smallest number whose shards, dealt out to the hosts of the strongest class, give none
// of them more than it carries; the same margin applies as to equal hosts. If these hosts
// cannot carry all targets, the others have to hold shards too, and the number is that of
// a domain of equal hosts.
func WantedShardCount(shardCount, targetCount int, hosts []Candidate) int {
	shardCount = max(1, shardCount)
	equal := GrowShardCount(shardCount, targetCount)
	classes := capacityClasses(hosts)
	if len(classes) < 2 {
		return equal
	}
	strong := len(classes[0].addresses)
	bound := min(maxCarriedTargets, classes[0].weakest*maxMeanTargets/targetsPerShard)
	for count := shardCount; count < equal; count *= 2 {
		mostHeld := (count + strong - 1) / strong // shards of one host
		if float64(mostHeld*targetCount) <= bound*float64(count) {
			return count
		}
	}
	return equal
}
