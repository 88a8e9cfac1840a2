package shards_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/process/shards"
)

var (
	weak   = shards.Capacity{CPUMilli: 144, LinkKbps: 19_000}
	middle = shards.Capacity{CPUMilli: 192, LinkKbps: 25_000}
	strong = shards.Capacity{CPUMilli: 480, LinkKbps: 62_000}
)

// hostsOf returns hosts with the given capacities and ascending addresses.
func hostsOf(capacities ...shards.Capacity) []shards.Candidate {
	var out []shards.Candidate
	for i, c := range capacities {
		out = append(out, shards.Candidate{Address: fmt.Sprintf("h%02d", i), Capacity: c})
	}
	return out
}

// unevenDomain returns nine weak hosts and then three strong ones.
func unevenDomain() []shards.Candidate {
	return hostsOf(weak, weak, weak, weak, weak, weak, weak, weak, weak, strong, strong, strong)
}

// orderByAddress is the order of a former release, and of a domain of equal hosts.
func orderByAddress(hosts []shards.Candidate, start int) []string {
	var out []string
	for i := range hosts {
		out = append(out, hosts[(start+i)%len(hosts)].Address)
	}
	return out
}

func TestTheScarcerOfProcessorAndLinkLimitsWhatAHostCarries(t *testing.T) {
	g := NewWithT(t)
	for capacity, want := range map[shards.Capacity]int{
		{}: 0, middle: 24, strong: 59, weak: 18, {CPUMilli: 192}: 24, {LinkKbps: 50_000}: 48, {CPUMilli: 4000}: 96, {CPUMilli: 4000, LinkKbps: 25_000}: 24,
	} {
		g.Expect(capacity.CarriedTargets()).To(Equal(want), "%+v", capacity)
	}
}

// Domains whose hosts are equal, differ by little or don't report their capacity must keep
// the candidates and shards of hosts that know of no capacity.
func TestEqualHostsKeepTheirCandidatesAndShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var capacities []shards.Capacity
		for range rapid.IntRange(1, 40).Draw(t, "hosts") {
			capacities = append(capacities, rapid.SampledFrom([]shards.Capacity{{}, strong, strong, {CPUMilli: 400, LinkKbps: 70_000}}).Draw(t, "capacity"))
		}
		hosts, start := hostsOf(capacities...), rapid.IntRange(0, 100).Draw(t, "start")
		if got := shards.OrderCandidates(hosts, start); !slices.Equal(got, orderByAddress(hosts, start)) {
			t.Fatalf("candidates: %v", got)
		}
		count, targets := 1<<rapid.IntRange(0, 4).Draw(t, "shards"), rapid.IntRange(0, 600).Draw(t, "targets")
		if got, want := shards.WantedShardCount(count, targets, hosts), shards.GrowShardCount(count, targets); got != want {
			t.Fatalf("shards: %d, want %d", got, want)
		}
	})
}

// Pools went to the first host by address, whatever its capacity.
func TestStrongHostsAreCandidatesBeforeWeakOnes(t *testing.T) {
	g := NewWithT(t)
	hosts := unevenDomain()
	var first []string
	for shard := range 4 {
		order := shards.OrderCandidates(hosts, shard)
		first = append(first, order[0])
		g.Expect(order[:3]).To(ConsistOf("h09", "h10", "h11"))
		g.Expect(slices.Sorted(slices.Values(order))).To(Equal(orderByAddress(hosts, 0)), "each host is a candidate")
	}
	g.Expect(first).To(Equal([]string{"h09", "h10", "h11", "h09"}))
	g.Expect(shards.OrderCandidates(hosts[:9], 1)[0]).To(Equal("h01"), "the strong hosts are lost")
	mixed := hostsOf(weak, shards.Capacity{}, strong)
	g.Expect(shards.OrderCandidates(mixed, 0)).To(Equal([]string{"h02", "h01", "h00"}), "a host that reports nothing counts as average")
}

// The number of shards follows from what the strong hosts carry, if they carry all.
func TestStrongHostsCarryLargerShards(t *testing.T) {
	g := NewWithT(t)
	g.Expect(shards.WantedShardCount(1, 117, unevenDomain())).To(Equal(2), "4 in a domain of equal hosts")
	g.Expect(shards.WantedShardCount(1, 117, unevenDomain()[:11])).To(Equal(2), "one strong host is lost")
	g.Expect(shards.WantedShardCount(1, 117, unevenDomain()[:10])).To(Equal(4), "the strong host alone doesn't carry all")
	g.Expect(shards.WantedShardCount(1, 117, unevenDomain()[:9])).To(Equal(4), "the strong hosts are lost")
	g.Expect(shards.WantedShardCount(4, 117, unevenDomain())).To(Equal(4), "shards are never merged")
	g.Expect(shards.WantedShardCount(1, 70, unevenDomain())).To(Equal(1))
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsOf(rapid.SliceOfN(rapid.SampledFrom([]shards.Capacity{{}, weak, middle, strong, {CPUMilli: 8000}}), 1, 20).Draw(t, "hosts")...)
		targets, count := rapid.IntRange(0, 600).Draw(t, "targets"), 1<<rapid.IntRange(0, 4).Draw(t, "shards")
		if got := shards.WantedShardCount(count, targets, hosts); got < count || got > shards.GrowShardCount(count, targets) {
			t.Fatalf("%d shards of %d", got, count)
		}
	})
}

// Hosts of a former release order all hosts by address. In a domain of both releases, no
// pool may wait for a host that in its own order is not the first.
func TestAPoolOfHostsOfTwoReleasesHasAClaimant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsOf(rapid.SliceOfN(rapid.SampledFrom([]shards.Capacity{{}, weak, middle, strong}), 1, 12).Draw(t, "hosts")...)
		start := rapid.IntRange(0, 20).Draw(t, "start")
		order, former := shards.OrderCandidates(hosts, start), orderByAddress(hosts, start)
		if !slices.Equal(slices.Sorted(slices.Values(order)), orderByAddress(hosts, 0)) {
			t.Fatalf("not each host is a candidate once: %v", order)
		}
		if !slices.ContainsFunc(hosts, func(h shards.Candidate) bool {
			if h.Capacity == (shards.Capacity{}) {
				return h.Address == former[0]
			}
			return h.Address == order[0]
		}) {
			t.Fatalf("nobody claims: by capacity %v, by address %v", order, former)
		}
	})
}

// Hosts that have not yet heard of the same capacities may each take another one for the
// first candidate. Some host must claim the pool all the same, and where all have heard
// of all, only the first.
func TestAPoolIsClaimedWhileHostsHaveHeardOfDifferentCapacities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsOf(rapid.SliceOfN(rapid.SampledFrom([]shards.Capacity{weak, middle, strong}), 1, 12).Draw(t, "hosts")...)
		start, complete := rapid.IntRange(0, 20).Draw(t, "start"), rapid.Bool().Draw(t, "all have heard of all")
		claimants := 0
		for i, self := range hosts {
			view := slices.Clone(hosts)
			for other := range view {
				if other != i && !complete && rapid.Bool().Draw(t, "unheard") {
					view[other].Capacity = shards.Capacity{}
				}
			}
			if shards.ClaimOrder(view, self.Address, start, time.Duration(len(hosts))*time.Second)[0] == self.Address {
				claimants++
			}
		}
		if claimants == 0 || complete && claimants > 1 {
			t.Fatalf("%d hosts claim", claimants)
		}
	})
}
