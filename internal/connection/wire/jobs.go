package wire

// JobStatus is one item of the answer to GET PathJobs: a job in progress at a host.
type JobStatus struct {
	Ticket         string `json:"ticket"`
	Team           string `json:"team"`
	Tasks          int    `json:"tasks"`
	RunningTasks   int    `json:"started"`     // tasks in progress
	CompletedTasks int    `json:"done"`        // tasks with an output
	AgeMS          int64  `json:"age_ms"`      // time since the submission, ms
	RemainingMS    int64  `json:"deadline_ms"` // time left until the deadline, ms
}
