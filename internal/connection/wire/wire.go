package wire

// Paths served by an entry host.
const (
	PathJobs    = "/v1/jobs"    // POST: submit a job; DELETE: cancel the job of a ticket
	PathTickets = "/v1/tickets" // POST: get a first ticket
	PathTargets = "/v1/targets" // POST: announce a target; GET: list them
	PathWorkers = "/v1/workers" // POST: report the usage of workers
	PathHosts   = "/v1/hosts"   // GET: list the entry hosts
	PathReady   = "/readyz"     // GET: 200 while new work is accepted
	PathHealth  = "/healthz"    // GET: 200 while the process lives
	PathMetrics = "/metrics"    // GET: counters in the text exposition format
)

// PathTasks is served by a target: POST starts one task; DELETE stops the one
// that TaskHeader names and answers 204 when it neither runs nor will be started.
const PathTasks = "/v1/tasks"

// Headers of a task start and its answer.
const (
	// TaskHeader names the start: "<host>.<incarnation>.<seq>/<task id>". The target
	// returns it unchanged, refusals included, so that a crossed answer is detected.
	TaskHeader = "Wasabifield-Task"
	// BudgetHeader is the time left to the job's deadline, ms.
	BudgetHeader = "Wasabifield-Budget-Ms"
	// RanHeader is on a target's error answer: "no" or "yes".
	RanHeader = "Wasabifield-Ran"
)

// Announcement is what a target says of itself.
type Announcement struct {
	Target       string `json:"target"`      // the target's name, unique in its failure domain
	Incarnation  uint64 `json:"incarnation"` // grows at every restart of the target
	Address      string `json:"address"`     // IP:port that serves PathTasks
	Domain       string `json:"domain"`
	Rack         string `json:"rack,omitempty"`
	Worker       string `json:"worker,omitempty"` // the worker that the target runs on
	Slots        int    `json:"slots"`            // tasks that it runs at once
	Connections  int    `json:"connections"`      // connections that it accepts in all
	Accelerators int    `json:"accelerators,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"` // no new work is wanted
}

// WorkerUsage is what the platform reports of one worker. A report is sent to
// every entry host of the worker's failure domain.
type WorkerUsage struct {
	Worker     string  `json:"worker"`
	AgeMS      int64   `json:"age_ms"`     // since it was measured, ms
	Processors float64 `json:"processors"` // used part, 0 to 1
	Memory     float64 `json:"memory"`     // used part, 0 to 1
}

// Lease is the answer to an announcement.
type Lease struct {
	LeaseMS      int64  `json:"lease_ms"` // the lease's length, ms from the answer
	RenewAfterMS int64  `json:"renew_ms"` // when to announce again, ms from the answer
	Host         string `json:"host"`     // the entry host that answered
}

// TicketGrant is the answer to POST PathTickets.
type TicketGrant struct {
	Ticket      string `json:"ticket"`
	ExpiresInMS int64  `json:"expires_in_ms"`
}
