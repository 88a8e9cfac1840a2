package wire

// Paths served by an entry host.
const (
	PathJobs    = "/v1/jobs"    // POST: submit a job; DELETE: cancel the job of a ticket; GET: list the jobs in progress
	PathTickets = "/v1/tickets" // POST: issue a ticket
	PathTargets = "/v1/targets" // POST: announce a target; GET: list them
	PathWorkers = "/v1/workers" // POST: report the usage of workers
	PathHosts   = "/v1/hosts"   // GET: list the entry hosts
	PathReady   = "/readyz"     // GET: 200 while new work is accepted
	PathHealth  = "/healthz"    // GET: 200 while the process runs
	PathMetrics = "/metrics"    // GET: counters in the text exposition format
)

// PathTasks is served by a target. POST starts one task. DELETE stops the task that
// TaskHeader names and answers 204 once the task neither runs nor will be started.
const PathTasks = "/v1/tasks"

// Headers of a task start and its answer.
const (
	// TaskHeader names one attempt to start a task:
	// "<host>.<incarnation>.<seq>/<task id>". The target returns it unchanged in every
	// answer, refusals included, so that the answer to another attempt is detected.
	TaskHeader = "Wasabifield-Task"
	// BudgetHeader holds the time left until the job's deadline, ms.
	BudgetHeader = "Wasabifield-Budget-Ms"
	// RanHeader is set on an error answer. From a target, "no" or "yes" states whether the
	// task was started; from the operator API, "no", "yes" or "unknown" states whether the
	// command was carried out.
	RanHeader = "Wasabifield-Ran"
)

// Announcement is what a target reports of itself.
type Announcement struct {
	Target       string `json:"target"`      // unique in the target's failure domain
	Incarnation  uint64 `json:"incarnation"` // increases at every restart of the target
	Address      string `json:"address"`     // IP:port that serves PathTasks
	Domain       string `json:"domain"`
	Rack         string `json:"rack,omitempty"`
	Worker       string `json:"worker,omitempty"` // the worker on which the target runs
	Slots        int    `json:"slots"`            // maximum number of tasks that the target runs at once
	Connections  int    `json:"connections"`      // maximum number of connections that it accepts from all hosts together
	Accelerators int    `json:"accelerators,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"` // the target wants no new work
}

// WorkerUsage is the load of one worker as reported by the platform. The platform
// sends a report to every entry host of the worker's failure domain.
type WorkerUsage struct {
	Worker     string  `json:"worker"`
	AgeMS      int64   `json:"age_ms"`     // time since the measurement, ms
	Processors float64 `json:"processors"` // used fraction, 0 to 1
	Memory     float64 `json:"memory"`     // used fraction, 0 to 1
}

// Lease is the answer to an announcement.
type Lease struct {
	LeaseMS      int64  `json:"lease_ms"` // length of the lease, ms from the answer
	RenewAfterMS int64  `json:"renew_ms"` // when the target should announce itself again, ms from the answer
	Host         string `json:"host"`     // the entry host that answered
}

// TicketGrant is the answer to POST PathTickets.
type TicketGrant struct {
	Ticket      string `json:"ticket"`
	ExpiresInMS int64  `json:"expires_in_ms"`
}
