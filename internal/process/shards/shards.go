package shards

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// targetsPerShard is the number of targets that one host serves with ease: at two
	// requests a second for each core of a target, they take about a fifth of the
	// smallest host's processor.
	targetsPerShard = 24
	// maxMeanTargets is the mean number of targets in a shard above which the number of
	// shards is doubled. It exceeds targetsPerShard so that the new shards are not too
	// small.
	maxMeanTargets = targetsPerShard * 5 / 4
	// MaxShards is the largest number of shards of a domain.
	MaxShards = 16
)

// Pool identifies the pool of one shard of a domain.
type Pool struct {
	Domain string
	Shard  int // from 0 to MaxShards-1
}

// shardSeparator stands between the domain and the shard in the name of a pool. The names
// of domains do not contain it.
const shardSeparator = "#"

// String returns the name of the pool in messages between hosts. For shard 0 it is the
// name of the domain.
func (p Pool) String() string {
	if p.Shard == 0 {
		return p.Domain
	}
	return p.Domain + shardSeparator + strconv.Itoa(p.Shard)
}

// ParsePool returns the pool with the given name, the inverse of Pool.String. It fails if
// the shard in the name is not a number from 1 to MaxShards-1.
func ParsePool(name string) (Pool, error) {
	domain, suffix, found := strings.Cut(name, shardSeparator)
	if !found {
		return Pool{Domain: name}, nil
	}
	shard, err := strconv.Atoi(suffix)
	if err != nil || shard < 1 || shard >= MaxShards {
		return Pool{}, fmt.Errorf("pool name %q has an invalid shard", name)
	}
	return Pool{Domain: domain, Shard: shard}, nil
}

// ShardOf returns the shard that a target belongs to, given the domain's number of shards.
func ShardOf(target string, shardCount int) int {
	if shardCount < 2 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // writing to a hash never fails
	return int(h.Sum32() % uint32(shardCount))
}

// GrowShardCount returns the number of shards for a domain with targetCount targets that
// has shardCount shards so far. It never returns a smaller number than that.
func GrowShardCount(shardCount, targetCount int) int {
	shardCount = max(1, shardCount)
	for targetCount > shardCount*maxMeanTargets && shardCount < MaxShards {
		shardCount *= 2
	}
	return shardCount
}

// Load is the load of a pool as its holder stated it last.
type Load struct {
	Pool        string        // name of the pool
	FreeTasks   int           // tasks of the usual size that would start at once
	QueuedTasks int           // tasks that wait
	HeldHere    bool          // the choosing host holds the pool, so the numbers are current
	Silent      bool          // the holder has missed hello messages, but still counts as alive
	Age         time.Duration // since the holder stated the numbers; 0 if HeldHere
	TakesParts  bool          // the holder runs parts of jobs; one of a former release does not
}

// AllSilent reports whether there are pools, all of whose holders have missed hello
// messages.
func AllSilent(loads []Load) bool {
	return len(loads) > 0 && !slices.ContainsFunc(loads, func(l Load) bool { return !l.Silent })
}

// Responsive returns the loads of the pools whose holders have not missed hello messages.
func Responsive(loads []Load) []Load {
	return slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return l.Silent })
}

// freeCapacity is the number of tasks that could start beyond the queued ones, negative
// if tasks have to wait.
func (l Load) freeCapacity() int { return l.FreeTasks - l.QueuedTasks }

// localHeadroomFactor is how many times the tasks of a job the host's own pool must have
// free to be chosen without comparing it with others. With a smaller factor, the jobs of
// the callers that happen to be connected to this host would fill its pool before the
// other pools.
const localHeadroomFactor = 4

// ChoosePool returns the name of the pool for a job with the given number of tasks, or ""
// if there are no loads. It returns the host's own pool while that has ample free
// capacity, which saves a message. Otherwise it draws two pools at random and returns the
// one with more free capacity: the loads are up to one hello interval old, and if all
// hosts chose the pool with the most free capacity, all would send to the same one until
// the next hello message (M. Mitzenmacher, "How useful is old information?", 2000).
// randomBelow returns a random number from 0 up to, but not including, its argument.
func ChoosePool(loads []Load, tasks int, randomBelow func(below int) int) string {
	for _, l := range loads {
		if l.HeldHere && l.freeCapacity() >= localHeadroomFactor*tasks {
			return l.Pool
		}
	}
	if len(loads) == 0 {
		return ""
	}
	return freerOfTwo(loads, randomBelow).Pool
}

// ChooseFreePool returns the name of the pool, of two drawn from those with enough free
// capacity for a job, that has more of it. It returns false if no pool has enough.
func ChooseFreePool(loads []Load, tasks int, randomBelow func(below int) int) (string, bool) {
	free := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return l.freeCapacity() < tasks })
	if len(free) == 0 {
		return "", false
	}
	return freerOfTwo(free, randomBelow).Pool, true
}

// freerOfTwo draws two of the loads, of which there is at least one, and returns the one
// with more free capacity.
func freerOfTwo(loads []Load, randomBelow func(below int) int) Load {
	if len(loads) == 1 {
		return loads[0]
	}
	first := randomBelow(len(loads))
	second := randomBelow(len(loads) - 1)
	if second >= first {
		second++
	}
	if loads[second].freeCapacity() > loads[first].freeCapacity() {
		return loads[second]
	}
	return loads[first]
}
