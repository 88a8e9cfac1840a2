package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/standin/measure"
)

const (
	targets     = 8
	slots       = 8
	tasksPerJob = 8
	runLow      = 10 * time.Millisecond
	runHigh     = 50 * time.Millisecond
	jobDeadline = 5 * time.Second
)

// capacity is the number of tasks a second that keeps every slot busy.
const capacity = float64(targets*slots) / (float64(runLow+runHigh) / 2 / float64(time.Second))

// loads are the shares of capacity that are offered.
var loads = []float64{0.5, 0.8, 0.95, 1.2}

// bench runs the loads one after another.
type bench struct {
	programs measure.Programs
	duration time.Duration
	seed     uint64
	out      io.Writer
}

func (b *bench) run(ctx context.Context) error {
	fmt.Fprintf(b.out, "%d targets of %d slots, jobs of %d tasks of %s to %s, %.0f tasks a second keep all slots busy.\n",
		targets, slots, tasksPerJob, runLow, runHigh, capacity)
	fmt.Fprint(b.out, "Times from arrival to whole answer, ms. A message is a request sent: a submission, a ticket, a start or a forward.\n\n")
	fmt.Fprint(b.out, "| load | dispatcher | complete | mean | p50 | p99 | messages a task | starts refused | starts a core-second | allocations a task |\n")
	fmt.Fprint(b.out, "| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, load := range loads {
		plan := measure.LoadPlan{
			Seed: b.seed, Duration: b.duration, Starts: load * capacity, Tasks: tasksPerJob,
			RunLow: runLow, RunHigh: runHigh,
		}
		if err := b.compare(ctx, load, plan.Arrivals()); err != nil {
			return err
		}
	}
	return nil
}

// compare sends the same arrivals through each dispatcher.
func (b *bench) compare(ctx context.Context, load float64, arrivals []measure.Arrival) error {
	least := fmt.Sprintf("%.3f | 0", float64(tasksPerJob+1)/tasksPerJob)
	b.row(load, "ideal, computed", len(arrivals), measure.IdealTimes(roundRuns(arrivals), targets*slots), least+" | - | -")
	for _, hosts := range []int{1, 2} {
		fleet, err := measure.StartFleet(ctx, measure.FleetConfig{
			Programs: b.programs, Domains: 1, HostsPerDomain: hosts,
			TargetsPerDomain: targets, Slots: slots, Service: "scripted",
		})
		if err != nil {
			return err
		}
		if hosts == 1 {
			if err := b.direct(ctx, load, fleet, arrivals); err != nil {
				return err
			}
		}
		err = b.dispatched(ctx, load, fleet, arrivals)
		if stopErr := fleet.Stop(); err == nil {
			err = stopErr
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// roundRuns rounds run times down to what the targets are told, whole
// milliseconds.
func roundRuns(arrivals []measure.Arrival) []measure.Arrival {
	rounded := slices.Clone(arrivals)
	for i := range rounded {
		rounded[i].Run = slices.Clone(rounded[i].Run)
		for j, run := range rounded[i].Run {
			rounded[i].Run[j] = run.Truncate(time.Millisecond)
		}
	}
	return rounded
}

func (b *bench) direct(ctx context.Context, load float64, fleet *measure.Fleet, arrivals []measure.Arrival) error {
	addresses, err := measure.TargetAddresses(fleet.Hosts[0].HTTPAddress)
	if err != nil {
		return err
	}
	outcomes := measure.RunDirect(ctx, addresses, slots, arrivals)
	b.row(load, "direct, central queue in the caller", len(arrivals), times(outcomes), "1.000 | 0 | - | -")
	return nil
}

func (b *bench) dispatched(ctx context.Context, load float64, fleet *measure.Fleet, arrivals []measure.Arrival) error {
	var outcomes []measure.Outcome
	config := measure.LoadConfig{Entries: fleet.Entries(), Teams: 1, Deadline: jobDeadline}
	costs, err := fleet.Measure(func() {
		outcomes = measure.RunLoad(ctx, config, arrivals)
		time.Sleep(time.Second) // the served metrics catch up
	})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("wasabifield, entry hosts: %d", len(costs))
	b.row(load, name, len(arrivals), times(outcomes), counts(costs, len(arrivals)*tasksPerJob))
	return nil
}

// times returns the response times of the complete jobs.
func times(outcomes []measure.Outcome) []time.Duration {
	var list []time.Duration
	for _, o := range outcomes {
		if o.Complete {
			list = append(list, o.Took)
		}
	}
	return list
}

// counts returns the columns that are counted at the entry hosts.
func counts(costs []measure.Cost, tasks int) string {
	var starts, refused, requests, allocations, busy float64
	for _, c := range costs {
		starts += c.Metrics.Sum("wasabifield_attempt_seconds_count")
		refused += c.Metrics.Sum("wasabifield_attempt_seconds_count", `outcome="not_started"`)
		requests += c.Metrics.Sum("wasabifield_requests", `pattern="POST /v1/jobs"`)
		requests += c.Metrics.Sum("wasabifield_requests", `pattern="POST /v1/tickets"`)
		allocations += c.Metrics.Sum("wasabifield_heap_allocated_objects")
		busy += c.Cores * c.Seconds
	}
	return fmt.Sprintf("%.3f | %.0f | %.0f | %.0f",
		(starts+requests)/float64(tasks), refused, (starts-refused)/busy, allocations/float64(tasks))
}

func (b *bench) row(load float64, name string, jobs int, took []time.Duration, rest string) {
	slices.Sort(took)
	fmt.Fprintf(b.out, "| %.0f%% | %s | %d of %d | %s | %s | %s | %s |\n", 100*load, name, len(took), jobs,
		ms(average(took)), ms(quantile(took, 0.5)), ms(quantile(took, 0.99)), rest)
}

func average(list []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(max(len(list), 1))
}

// quantile returns a quantile of a sorted list.
func quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[int(share*float64(len(list)-1))]
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1e3) }
