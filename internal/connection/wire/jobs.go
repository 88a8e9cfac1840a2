package wire

// JobStatus is one line of GET PathJobs: a job that a host works on.
type JobStatus struct {
	Ticket       string `json:"ticket"`
	Team         string `json:"team"`
	Tasks        int    `json:"tasks"`
	RunningTasks int    `json:"started"`     // tasks in progress
	DoneTasks    int    `json:"done"`        // tasks with an output
	AgeMS        int64  `json:"age_ms"`      // since the submission, ms
	RemainingMS  int64  `json:"deadline_ms"` // left to the deadline, ms
}
