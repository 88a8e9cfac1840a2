package fleet

import (
	"slices"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/process/shards"
)

// rackIndexLifetime is how long an index of racks is used. Racks change with targets that are
// added or replaced, which announce themselves every few seconds.
const rackIndexLifetime = time.Second

// rackIndex reports which pools of this host's domain have targets in a rack. An entry host has
// the announcements of all targets of its domain, so no message is needed for it.
type rackIndex struct {
	mu         sync.Mutex
	builtAt    time.Time
	shardCount int
	pools      map[string]map[string]bool // names of pools by label of their targets
}

// poolsWithRack returns the names of the pools of this host's domain with targets in a rack
// that are not draining.
func (n *Node) poolsWithRack(rack string, now time.Time) map[string]bool {
	domain, shardCount := n.config.Self.Domain, n.shardCount(n.config.Self.Domain)
	index := &n.racks
	index.mu.Lock()
	defer index.mu.Unlock()
	if index.pools == nil || index.shardCount != shardCount || now.Sub(index.builtAt) > rackIndexLifetime {
		index.pools = map[string]map[string]bool{}
		index.builtAt, index.shardCount = now, shardCount
		for _, a := range n.announcements.recent(now) {
			if a.Target.Domain != domain || a.Deregistered || a.Target.Draining {
				continue
			}
			pool := shards.Pool{Domain: domain, Shard: shards.ShardOf(a.Target.ID, shardCount)}.String()
			for _, label := range a.Target.Labels {
				if index.pools[label] == nil {
					index.pools[label] = map[string]bool{}
				}
				index.pools[label][pool] = true
			}
		}
	}
	return index.pools[rack]
}

// preferRack returns the loads of the pools that a job is sent to for the sake of its data
// rack: those with targets in the rack that the job's first step with one names, if any of
// them has free capacity for the job. Otherwise it returns all loads.
func (n *Node) preferRack(loads []shards.Load, j scheduler.Job, now time.Time) []shards.Load {
	if n.config.RemoteFactor <= 1 || len(loads) < 2 {
		return loads
	}
	first := slices.IndexFunc(j.Steps, func(s scheduler.Step) bool { return s.DataRack != "" })
	if first < 0 {
		return loads
	}
	pools := n.poolsWithRack(j.Steps[first].DataRack, now)
	return shards.PreferPools(loads, j.TaskCount(), func(pool string) bool { return pools[pool] })
}

// logLocalWait logs and counts the end of a task's wait for a target in its data rack.
func (p *pool) logLocalWait(e scheduler.LocalWaitEnded) {
	p.metrics.recordLocalWait(e)
	p.log.Info("A wait for a local place ended.", "job", e.Run.Job, "task", e.Run.TaskID(), "run", e.Run.Number, "rack", e.Rack,
		"outcome", e.Outcome.String(), "waited", e.Waited, "longest", e.Longest, "forecast", e.LocalIn, "remote_cost", e.RemoteCost,
		"slack", e.Slack, "success_rate", e.SuccessRate)
}
