package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// LoadConfig configures a run of many jobs. The number of tasks of a job and their run
// times are drawn uniformly between the given bounds.
type LoadConfig struct {
	Caller     CallerConfig
	Jobs       int
	MinTasks   int
	MaxTasks   int
	Callers    int           // number of callers that submit at the same time
	Rate       float64       // jobs per second over all callers; 0 means as fast as answers arrive
	MinRunTime time.Duration // least run time of a task
	MaxRunTime time.Duration
	Seed       uint64
}

// Run is the result of one job with its ideal response time, which is the run time of its
// longest task.
type Run struct {
	Result
	Tasks     int
	IdealTime time.Duration
}

// plan describes one job to submit.
type plan struct {
	label     string
	tasks     []job.Task
	idealTime time.Duration
}

// RunLoad submits the jobs from parallel callers and returns the result of each submitted
// job.
func RunLoad(ctx context.Context, config LoadConfig) []Run {
	plans := make(chan plan)
	var mu sync.Mutex
	var runs []Run
	var group errgroup.Group
	for i := range config.Callers {
		callerConfig := config.Caller
		callerConfig.FirstEntry += i
		group.Go(func() error {
			c := NewCaller(callerConfig)
			for p := range plans {
				result := c.Submit(ctx, p.label, p.tasks)
				mu.Lock()
				runs = append(runs, Run{Result: result, Tasks: len(p.tasks), IdealTime: p.idealTime})
				mu.Unlock()
			}
			return nil
		})
	}
	sendPlans(ctx, config, plans)
	_ = group.Wait()
	return runs
}

// sendPlans sends the plans at the configured rate and closes the channel. It stops early
// if ctx ends.
func sendPlans(ctx context.Context, config LoadConfig, plans chan<- plan) {
	defer close(plans)
	random := rand.New(rand.NewPCG(config.Seed, 2))
	startedAt := time.Now()
	for i := range config.Jobs {
		p := newPlan(random, config, i)
		if config.Rate > 0 {
			dueAt := startedAt.Add(time.Duration(float64(i) / config.Rate * float64(time.Second)))
			sleep(ctx, time.Until(dueAt))
		}
		select {
		case <-ctx.Done():
			return
		case plans <- p:
		}
	}
}

// newPlan draws the plan of job i.
func newPlan(random *rand.Rand, config LoadConfig, i int) plan {
	p := plan{label: fmt.Sprintf("%d-%d-%x", config.Seed, i, random.Uint32())}
	count := config.MinTasks + random.IntN(config.MaxTasks-config.MinTasks+1)
	for n := range count {
		run := config.MinRunTime + time.Duration(random.Int64N(int64(config.MaxRunTime-config.MinRunTime)+1))
		p.idealTime = max(p.idealTime, run)
		p.tasks = append(p.tasks, Task(history.Payload{Job: p.label, Task: fmt.Sprintf("t%d", n+1), RunMS: new(run.Milliseconds())}))
	}
	return p
}

// Task returns a task with the id and payload of p.
func Task(p history.Payload) job.Task {
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return job.Task{ID: p.Task, Payload: raw}
}
