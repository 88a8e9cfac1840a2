package dispatch

// Team is what the bundle grants a team.
type Team struct {
	Weight    float64 // share of the slots in relation to the other teams; 0 counts as 1
	Quota     int     // tasks that may run at once in the failure domain; 0 for no quota
	MaxQueued int     // tasks that may wait in the failure domain; 0 for the queue's own bounds
}

// OtherTeams is the team of all tasks whose team the bundle does not list, so that
// a caller gains nothing by inventing teams.
const OtherTeams = "(others)"

// teamOf returns the team that a job's name counts against.
func (c *Core) teamOf(name string) string {
	if _, ok := c.config.Teams[name]; ok || len(c.config.Teams) == 0 {
		return name
	}
	return OtherTeams
}
