package dispatch

// Team holds the weight and the quotas that the bundle grants a team.
type Team struct {
	Weight    float64 // share of the slots relative to the other teams; 0 counts as 1
	Quota     int     // limit of running tasks in the failure domain; 0 for no limit
	MaxQueued int     // limit of waiting tasks in the failure domain; 0 for the limits of the queue alone
}

// OtherTeams is the team that jobs of all teams missing from the bundle count
// against, so that a caller gains nothing by inventing team names.
const OtherTeams = "(others)"

// teamOf returns the team that a job with the given team name counts against. Without
// teams in the bundle each name is a team.
func (c *Core) teamOf(name string) string {
	if _, ok := c.config.Teams[name]; ok || len(c.config.Teams) == 0 {
		return name
	}
	return OtherTeams
}
