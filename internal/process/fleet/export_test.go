package fleet

import "time"

// FreeTasksOf returns how many tasks could start at once in another host's pool, as far
// as this host knows.
func (n *Node) FreeTasksOf(pool string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, _ := n.poolLoad(pool, time.Now())
	return l.FreeTasks
}
