package health

const (
	groupMemory = 32   // outcomes remembered of a group
	prior       = 2.0  // outcomes that the prior rate counts as
	priorRate   = 0.1  // failure rate of a group that was never seen
	lowestRate  = 0.02 // failure rate that any group is allowed
	highestRate = 0.95
)

// outcome is one task's end at a target.
type outcome struct {
	target string
	failed bool
}

// group remembers the last outcomes of like tasks, in a ring.
type group struct {
	ring [groupMemory]outcome
	next int
	held int
}

func (g *group) add(o outcome) {
	g.ring[g.next] = o
	g.next = (g.next + 1) % groupMemory
	g.held = min(g.held+1, groupMemory)
}

// rateElsewhere returns the rate at which the group's tasks fail at targets
// other than the one named.
func (g *group) rateElsewhere(target string) float64 {
	failed, seen := prior*priorRate, prior
	for _, o := range g.ring[:g.held] {
		if o.target == target {
			continue
		}
		seen++
		if o.failed {
			failed++
		}
	}
	return min(max(failed/seen, lowestRate), highestRate)
}
