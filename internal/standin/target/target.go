package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// TargetConfig configures one target.
type TargetConfig struct {
	Name             string
	Incarnation      uint64
	ListenAddress    string // IP:port to listen at; empty selects a free port of 127.0.0.1
	AnnouncedAddress string // IP:port to announce; empty announces the address at which the target listens
	Domain           string
	Rack             string
	Worker           string
	Slots            int
	Connections      int
	Accelerators     int
	Entries          []string // HTTP addresses of entry hosts, tried in order
	ServiceTime      *ServiceTime
	FailRate         float64       // probability that a task fails after its run
	RefuseRate       float64       // probability that a task is refused without being started
	LingerTime       time.Duration // how long a leaving target without running tasks continues to refuse tasks
	History          *history.Writer
}

// Target is one stand-in target.
type Target struct {
	config         TargetConfig
	listener       net.Listener
	server         *http.Server
	leavingStarted chan struct{} // closed when the target starts to leave

	mu             sync.Mutex
	running        int
	leaving        bool
	renewalStopped bool
	leaseExpiresAt time.Time
	idle           chan struct{} // closed when a leaving target runs no task
	tasks          map[string]*runningTask
	stopped        map[string]bool // tasks that must not start any more, by task header
}

// NewTarget returns a Target that listens but does not serve yet. It returns an error if
// it cannot listen.
func NewTarget(config TargetConfig) (*Target, error) {
	if config.ListenAddress == "" {
		config.ListenAddress = "127.0.0.1:0"
	}
	inner, err := net.Listen("tcp", config.ListenAddress)
	if err != nil {
		return nil, err
	}
	t := &Target{
		config:         config,
		listener:       newLimitListener(inner, config.Connections),
		leavingStarted: make(chan struct{}),
		idle:           make(chan struct{}),
		tasks:          make(map[string]*runningTask),
		stopped:        make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathTasks, t.serveTask)
	mux.HandleFunc("DELETE "+wire.PathTasks, t.serveStop)
	t.server = &http.Server{Handler: mux}
	return t, nil
}

// Address returns the IP:port at which the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// announcedAddress returns the IP:port that the target announces.
func (t *Target) announcedAddress() string {
	if t.config.AnnouncedAddress != "" {
		return t.config.AnnouncedAddress
	}
	return t.Address()
}

// Run serves until ctx ends. It then announces that the target leaves, waits for its
// running tasks and returns.
func (t *Target) Run(ctx context.Context) error {
	served := make(chan error, 1)
	t.record(history.Event{Kind: history.Serving})
	go func() { served <- t.server.Serve(t.listener) }()
	t.renewLease(ctx)
	t.leave()
	err := t.server.Shutdown(context.Background())
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

// StopRenewing stops the renewals of the lease without announcing it, as when the target
// is lost silently. From the end of its lease the target should get no tasks.
func (t *Target) StopRenewing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.renewalStopped {
		return
	}
	t.renewalStopped = true
	t.record(history.Event{Kind: history.Leaving, At: t.leaseExpiresAt, Reason: "lapsed"})
}

// leave makes the target refuse new tasks, announces that it leaves, waits for the running
// tasks and continues to refuse tasks for LingerTime.
func (t *Target) leave() {
	t.mu.Lock()
	t.leaving = true
	if t.running == 0 {
		close(t.idle)
	}
	t.mu.Unlock()
	close(t.leavingStarted)
	t.record(history.Event{Kind: history.Leaving})
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_, _ = t.announce(ctx, true)
	<-t.idle
	time.Sleep(t.config.LingerTime)
}

// reserveSlot reserves a slot and adds the task to the running tasks, or returns the
// reason for a refusal.
func (t *Target) reserveSlot(header string) (task *runningTask, refusal string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return nil, "leaving"
	}
	if t.stopped[header] {
		return nil, "stopped"
	}
	if t.running >= t.config.Slots {
		return nil, "full"
	}
	t.running++
	task = &runningTask{stop: make(chan struct{}), ended: make(chan struct{})}
	t.tasks[header] = task
	return task, ""
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.leaving && t.running == 0 {
		close(t.idle)
	}
}

func (t *Target) record(e history.Event) {
	e.Target = t.config.Name
	e.Incarnation = t.config.Incarnation
	t.config.History.Write(e)
}
