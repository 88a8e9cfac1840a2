package fleet

import (
	"time"

	"google.golang.org/grpc/connectivity"
)

// FreeTasksOf returns how many tasks could start at once in another host's pool, as far
// as this host knows.
func (n *Node) FreeTasksOf(pool string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, _ := n.poolLoad(pool, time.Now())
	return l.FreeTasks
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
