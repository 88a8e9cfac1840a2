package dispatch

import (
	"slices"
	"time"

	sharing "wasabifield.example/wasabifield/internal/process/slots"
	"wasabifield.example/wasabifield/internal/request/queue"
)

// PoolMessage is a message about the slots of one pool.
type PoolMessage struct {
	Pool    int
	Message sharing.Message
}

// PeerMessage is a message between the hosts of a failure domain about slots and
// team quotas.
type PeerMessage struct {
	Pools     []PoolMessage
	HasDemand bool           // whether Demand is present
	Demand    map[string]int // waiting and running tasks of each team that has a quota
}

// OutgoingMessage is a PeerMessage to be sent to the peer To.
type OutgoingMessage struct {
	To      string
	Message PeerMessage
}

// peerDemand is the demand that a peer last reported.
type peerDemand struct {
	reportedAt time.Time
	demand     map[string]int
}

// SetPeers replaces the list of the other entry hosts of the failure domain. Their
// earlier reports are dropped.
func (c *Core) SetPeers(now time.Time, names []string) {
	c.peers = make(map[string]*peerDemand, len(names))
	for _, name := range names {
		c.peers[name] = &peerDemand{}
	}
	for _, pool := range c.pools.slotPools {
		pool.SetPeers(now, names)
	}
	c.reportsComplete = c.haveAllReports(now)
	c.updateTeamPolicies()
}

// PeerReport returns the periodic message to a peer, with this host's slots and
// demand.
func (c *Core) PeerReport(now time.Time, to string) PeerMessage {
	waiting := c.waitingTasks()
	m := PeerMessage{HasDemand: true, Demand: c.teamDemand()}
	for i, pool := range c.pools.slotPools {
		m.Pools = append(m.Pools, PoolMessage{i, pool.Report(now, to, waiting[i])})
	}
	return m
}

// Receive applies a peer's message and assigns waiting tasks.
func (c *Core) Receive(now time.Time, from string, m PeerMessage) {
	for _, p := range m.Pools {
		if p.Pool < poolCount {
			c.pools.slotPools[p.Pool].Receive(now, from, p.Message)
		}
	}
	if peer := c.peers[from]; peer != nil && m.HasDemand {
		peer.reportedAt, peer.demand = now, m.Demand
		c.reportsComplete = c.haveAllReports(now)
		c.updateTeamPolicies()
	}
	c.assignTasks(now)
}

// TakeMessagesFor removes the messages to a peer from the effects and returns them
// as one message, to be sent as the answer to the peer's own message.
func (c *Core) TakeMessagesFor(peer string) PeerMessage {
	var m PeerMessage
	c.effects.Messages = slices.DeleteFunc(c.effects.Messages, func(t OutgoingMessage) bool {
		if t.To == peer {
			m.Pools = append(m.Pools, t.Message.Pools...)
		}
		return t.To == peer
	})
	return m
}

// collectPoolMessages adds the messages that the pools have to send to the effects.
func (c *Core) collectPoolMessages(now time.Time) {
	waiting := c.waitingTasks()
	for i, pool := range c.pools.slotPools {
		for _, send := range pool.DueMessages(now, waiting[i]) {
			c.effects.Messages = append(c.effects.Messages, OutgoingMessage{send.To, PeerMessage{Pools: []PoolMessage{{i, send.Message}}}})
		}
	}
}

// teamDemand returns this host's waiting and running tasks of each team that has a
// quota.
func (c *Core) teamDemand() map[string]int {
	all := c.queue.Demand()
	own := make(map[string]int)
	for name, t := range c.config.Teams {
		if n := all[name]; n > 0 && t.Quota > 0 {
			own[name] = n
		}
	}
	return own
}

// updateTeamPolicies sets the weights of the teams and this host's shares of their
// quotas in the queue.
func (c *Core) updateTeamPolicies() {
	ownDemand := c.teamDemand()
	hosts := len(c.peers) + 1
	policies := make(map[string]queue.TeamPolicy, len(c.config.Teams))
	for name, t := range c.config.Teams {
		totalDemand := ownDemand[name]
		for _, p := range c.peers {
			totalDemand += p.demand[name]
		}
		limit := queue.QuotaShare(t.Quota, hosts, ownDemand[name], totalDemand, c.reportsComplete)
		policies[name] = queue.TeamPolicy{Weight: t.Weight, MaxRunning: limit, MaxWaiting: (t.MaxQueued + hosts - 1) / hosts}
	}
	c.queue.SetPolicies(policies)
}

// haveAllReports reports whether every peer has reported within PeerLease.
func (c *Core) haveAllReports(now time.Time) bool {
	for _, p := range c.peers {
		if now.Sub(p.reportedAt) >= c.config.PeerLease {
			return false
		}
	}
	return true
}
