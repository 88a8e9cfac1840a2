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
	Caller    CallerConfig
	Jobs      int
	TasksLow  int
	TasksHigh int
	Parallel  int           // callers at once
	Rate      float64       // jobs a second over all callers; 0 is as fast as answers come
	RunLow    time.Duration // run times of the tasks
	RunHigh   time.Duration
	Seed      uint64
}

// Run is one job's result beside its ideal response time, which is the run
// time of its longest task.
type Run struct {
	Result
	Tasks int
	Ideal time.Duration
}

// plan is one job to submit.
type plan struct {
	label string
	tasks []job.Task
	ideal time.Duration
}

// Load submits the jobs from parallel callers and returns what became of each.
func Load(ctx context.Context, config LoadConfig) []Run {
	plans := make(chan plan)
	var mu sync.Mutex
	var runs []Run
	var group errgroup.Group
	for i := range config.Parallel {
		one := config.Caller
		one.First += i
		group.Go(func() error {
			c := NewCaller(one)
			for p := range plans {
				result := c.Submit(ctx, p.label, p.tasks)
				mu.Lock()
				runs = append(runs, Run{Result: result, Tasks: len(p.tasks), Ideal: p.ideal})
				mu.Unlock()
			}
			return nil
		})
	}
	feed(ctx, config, plans)
	_ = group.Wait()
	return runs
}

// feed sends the plans at the configured rate.
func feed(ctx context.Context, config LoadConfig, plans chan<- plan) {
	defer close(plans)
	random := rand.New(rand.NewPCG(config.Seed, 2))
	begin := time.Now()
	for i := range config.Jobs {
		p := draw(random, config, i)
		if config.Rate > 0 {
			due := begin.Add(time.Duration(float64(i) / config.Rate * float64(time.Second)))
			pause(ctx, time.Until(due))
		}
		select {
		case <-ctx.Done():
			return
		case plans <- p:
		}
	}
}

// draw returns the plan of job i.
func draw(random *rand.Rand, config LoadConfig, i int) plan {
	p := plan{label: fmt.Sprintf("%d-%d-%x", config.Seed, i, random.Uint32())}
	count := config.TasksLow + random.IntN(config.TasksHigh-config.TasksLow+1)
	for n := range count {
		run := config.RunLow + time.Duration(random.Int64N(int64(config.RunHigh-config.RunLow)+1))
		p.ideal = max(p.ideal, run)
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
