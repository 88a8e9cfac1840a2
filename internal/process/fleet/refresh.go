package fleet

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/connection/hostlink"
)

// Targets announce themselves to the hosts with a disk, which forward what they hear to the
// entry hosts of the target's domain and to the holder of its pool. A host of another domain that
// takes the pool over remembers announcements that are up to forgetTargetAfter old, and one that
// has been handed the pool may have missed what was sent to its former holder. A target may have
// said meanwhile that it is draining.
//
// So a new holder tells each host with a disk of its claim and asks for what that host remembers.
// The host forwards later announcements to it. Until all have answered, the new holder uses only
// targets of which it has a recent announcement.

const (
	// announcementValidity is how old an announcement may be that proves that its target may be
	// used. It is half of the time for which a target that is draining goes on serving.
	announcementValidity = time.Second
	// refreshTries is how often a host with a disk is asked. The second try that is not answered
	// replaces the connection.
	refreshTries   = 2
	refreshTimeout = time.Second // after which no answer is awaited any more
)

// targetRefresh is what a pool awaits from the hosts with a disk before it uses all targets
// that this host remembers.
type targetRefresh struct {
	number  uint64 // of this refresh, among those of the pool
	begunAt time.Time
	awaited map[string]bool // addresses of the hosts that have not answered
}

// beginRefresh tells the hosts with a disk that this host holds the pool and asks for the
// announcements of its targets.
func (p *pool) beginRefresh(now time.Time) {
	p.refresh = targetRefresh{number: p.refresh.number + 1, begunAt: now, awaited: map[string]bool{}}
	request := &fleetpb.TargetsRequest{Claim: p.claimMessage()}
	for _, address := range p.node.aliveDiskHosts(now) {
		if link, ok := p.node.link(address); ok {
			p.refresh.awaited[address] = true
			number := p.refresh.number
			p.node.group.Go(func() error {
				p.refreshFrom(address, link, request, number)
				return nil
			})
		}
	}
}

// aliveDiskHosts returns the addresses of the other hosts with a disk that are alive.
func (n *Node) aliveDiskHosts(now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, h := range n.hostTable.Alive(hostListWindow, now) {
		if _, age, _ := n.hostTable.Get(h.Address, now); h.HasDisk && !n.isSilent(h, age, now) {
			out = append(out, h.Address)
		}
	}
	return out
}

// refreshFrom asks one host for the announcements of the pool's targets.
func (p *pool) refreshFrom(address string, link *hostlink.Link, request *fleetpb.TargetsRequest, number uint64) {
	var err error
	for try := 0; try < refreshTries && p.node.runCtx.Err() == nil; try++ {
		if try > 0 {
			time.Sleep(noticeRetryDelay)
		}
		if err = p.tryRefresh(link, request); err == nil {
			break
		}
	}
	p.post(refreshedEvent{address: address, number: number, err: err})
}

func (p *pool) tryRefresh(link *hostlink.Link, request *fleetpb.TargetsRequest) error {
	ctx, cancel := context.WithTimeout(p.node.runCtx, noticeTimeout)
	defer cancel()
	askedAt := p.node.now()
	var m *fleetpb.Announcements
	err := link.Exchange(ctx, func(ctx context.Context, conn *hostlink.Conn) (err error) {
		m, err = fleetpb.NewFleetClient(conn).Targets(ctx, request)
		return err
	})
	if err == nil {
		p.node.recordAnswered(m, askedAt)
	}
	return err
}

// refreshedEvent reports that a host with a disk has answered, after the events of the
// announcements in its answer, or that it does not answer.
type refreshedEvent struct {
	address string
	number  uint64
	err     error
}

func (e refreshedEvent) apply(p *pool, now time.Time) {
	if e.number != p.refresh.number || !p.refresh.awaited[e.address] {
		return
	}
	if e.err != nil {
		p.log.Warn("A host did not tell which targets it knows.", "pool", p.name, "peer", e.address, "error", e.err)
	}
	delete(p.refresh.awaited, e.address)
	if len(p.refresh.awaited) == 0 {
		p.log.Info("The targets of the pool are known.", "pool", p.name, "targets", len(p.sessions), "took", now.Sub(p.refresh.begunAt))
	}
}

// isConfirmed reports whether what this host knows of a target is new enough for it to be used.
func (p *pool) isConfirmed(id string, now time.Time) bool {
	if len(p.refresh.awaited) == 0 || now.Sub(p.refresh.begunAt) > refreshTimeout {
		return true
	}
	a, ok := p.node.announcements.get(id)
	return ok && !a.Target.LabelsUnknown && now.Sub(a.ReceivedAt) <= announcementValidity
}
