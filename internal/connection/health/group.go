package health

const (
	maxGroupOutcomes = 32   // latest outcomes kept per group
	priorWeight      = 2.0  // number of outcomes that priorRate counts as
	priorRate        = 0.1  // failure rate assumed of a group without outcomes
	minFailureRate   = 0.02 // lower bound of an estimated failure rate
	maxFailureRate   = 0.95
)

// outcome is the result of one task at a target.
type outcome struct {
	target string
	failed bool
}

// group holds the latest outcomes of like tasks in a ring buffer.
type group struct {
	outcomes  [maxGroupOutcomes]outcome
	nextIndex int
	count     int
}

// add records an outcome and overwrites the oldest one if the buffer is full.
func (g *group) add(o outcome) {
	g.outcomes[g.nextIndex] = o
	g.nextIndex = (g.nextIndex + 1) % maxGroupOutcomes
	g.count = min(g.count+1, maxGroupOutcomes)
}

// rateElsewhere returns the estimated failure rate of the group's tasks at targets
// other than the given one, from minFailureRate to maxFailureRate.
func (g *group) rateElsewhere(target string) float64 {
	failed, seen := priorWeight*priorRate, priorWeight
	for _, o := range g.outcomes[:g.count] {
		if o.target == target {
			continue
		}
		seen++
		if o.failed {
			failed++
		}
	}
	return min(max(failed/seen, minFailureRate), maxFailureRate)
}
