package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// Arrival is one job of an open load: it is submitted at its time whether or
// not earlier ones were answered.
type Arrival struct {
	At    time.Duration // from the begin of the load
	Label string
	Run   []time.Duration // run time of each task
}

// LoadPlan describes an open load.
type LoadPlan struct {
	Seed     uint64
	Duration time.Duration
	Starts   float64 // tasks a second
	Tasks    int     // of each job
	RunLow   time.Duration
	RunHigh  time.Duration
}

// Arrivals draws the jobs of a Poisson process.
func (p LoadPlan) Arrivals() []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, 3))
	jobsPerSecond := p.Starts / float64(p.Tasks)
	var list []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / jobsPerSecond * float64(time.Second))
		if at >= p.Duration {
			return list
		}
		a := Arrival{At: at, Label: fmt.Sprintf("%d-%d-%x", p.Seed, len(list), random.Uint32())}
		for range p.Tasks {
			a.Run = append(a.Run, p.RunLow+time.Duration(random.Int64N(int64(p.RunHigh-p.RunLow)+1)))
		}
		list = append(list, a)
	}
}

func (a Arrival) tasks() []job.Task {
	list := make([]job.Task, len(a.Run))
	for i, run := range a.Run {
		list[i] = caller.Task(history.Payload{Job: a.Label, Task: fmt.Sprintf("t%d", i+1), RunMS: new(run.Milliseconds())})
	}
	return list
}

// Outcome is what became of one arrival.
type Outcome struct {
	Took     time.Duration // from its time of arrival
	Complete bool
	Answered bool
}

// LoadConfig states where a load is sent.
type LoadConfig struct {
	Entries  []string
	Teams    int           // jobs take turns among this many teams
	Deadline time.Duration // of each job; there is no resubmission
}

// RunLoad submits arrivals at their times. Callers are reused, so that all but
// the first job of each have a ticket already.
func RunLoad(ctx context.Context, config LoadConfig, arrivals []Arrival) []Outcome {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer client.CloseIdleConnections()
	idle := newCallers(config, client)
	outcomes := make([]Outcome, len(arrivals))
	var group sync.WaitGroup
	begin := time.Now()
	for i, a := range arrivals {
		due := begin.Add(a.At)
		time.Sleep(time.Until(due))
		group.Go(func() {
			c := idle.take(i)
			result := c.Submit(ctx, a.Label, a.tasks())
			outcomes[i] = Outcome{time.Since(due), result.Answer.Outcome == job.Complete, result.Answered}
			idle.put(i, c)
		})
	}
	group.Wait()
	return outcomes
}

// callers keeps callers that wait for a job, by team.
type callers struct {
	config LoadConfig
	client *http.Client
	mu     sync.Mutex
	idle   [][]*caller.Caller
	made   int
}

func newCallers(config LoadConfig, client *http.Client) *callers {
	config.Teams = max(config.Teams, 1)
	return &callers{config: config, client: client, idle: make([][]*caller.Caller, config.Teams)}
}

func (c *callers) take(i int) *caller.Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	team := i % c.config.Teams
	if n := len(c.idle[team]); n > 0 {
		last := c.idle[team][n-1]
		c.idle[team] = c.idle[team][:n-1]
		return last
	}
	c.made++
	return caller.NewCaller(caller.CallerConfig{
		Entries:      c.config.Entries,
		FirstEntry:   c.made,
		Team:         fmt.Sprintf("team-%02d", team),
		Deadline:     c.config.Deadline,
		RetryTimeout: 0,
		Client:       c.client,
	})
}

func (c *callers) put(i int, one *caller.Caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	team := i % c.config.Teams
	c.idle[team] = append(c.idle[team], one)
}
