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

// LoadConfig configures a run of many jobs.
type LoadConfig struct {
	Caller     CallerConfig
	Jobs       int
	MinTasks   int
	MaxTasks   int
	Callers    int           // callers at once
	Rate       float64       // jobs a second over all callers; 0 is as fast as answers come
	MinRunTime time.Duration // run times of the tasks
	MaxRunTime time.Duration
	Seed       uint64
}

// Run is one job's result beside its ideal response time, which is the run
// time of its longest task.
type Run struct {
	Result
	Tasks     int
	IdealTime time.Duration
}

// plan is one job to submit.
type plan struct {
	label     string
	tasks     []job.Task
	idealTime time.Duration
}

// RunLoad submits the jobs from parallel callers and returns what became of each.
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

// sendPlans sends the plans at the configured rate.
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

// newPlan returns the plan of job i.
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

// Task returns the task whose id and payload are p's.
func Task(p history.Payload) job.Task {
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return job.Task{ID: p.Task, Payload: raw}
}
