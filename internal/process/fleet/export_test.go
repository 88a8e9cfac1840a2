package fleet

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/connectivity"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// FreeTasksOf returns how many tasks could start at once in another host's pool, as far
// as this host knows.
func (n *Node) FreeTasksOf(pool string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, _ := n.poolLoad(pool, time.Now())
	return l.FreeTasks
}

// KnowManyHosts makes this host know so many others that it exchanges few hello messages.
func (n *Node) KnowManyHosts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range 2 * smallSystemHosts {
		n.hostTable.Record(discovery.Host{Address: fmt.Sprintf("127.0.0.2:%d", i+1), Domain: "west", Entry: true, Incarnation: 1}, 0, time.Now())
	}
}

// Reaches reports whether the link to another host is connected.
func (n *Node) Reaches(address string) bool {
	link, ok := n.link(address)
	return ok && link.Current().GetState() == connectivity.Ready
}

// TakesParts reports whether the holder of a pool runs parts of jobs, as far as this host
// knows.
func (n *Node) TakesParts(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, _ := n.poolLoad(pool, time.Now())
	return l.TakesParts
}

// ForgetPartsAccepted forgets which hosts read the first task of a job, as if none of them
// had been heard from.
func (n *Node) ForgetPartsAccepted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partsAccepted)
}

// MayUse reports whether a target is known and neither draining nor gone, as far as this host
// knows.
func (n *Node) MayUse(target string) bool {
	a, ok := n.announcements.get(target)
	return ok && !a.Target.Draining && !a.Deregistered
}

// SubmitToPool submits a job to the holder of a pool.
func (n *Node) SubmitToPool(ctx context.Context, pool string, j scheduler.Job) scheduler.Answer {
	return n.submitToPool(ctx, pool, j)
}
