package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/standin/measure"
)

const (
	rest = 10 * time.Second // length of the measurement at rest
)

// run is one measurement.
type run struct {
	fleet   measure.FleetConfig
	changes int
	pause   time.Duration // between two changes
}

func (r run) measure(ctx context.Context, out io.Writer) error {
	operator := measure.NewOperator()
	r.fleet.Operators = []settings.Operator{operator.Settings()}
	r.fleet.Slots, r.fleet.Service = 1, "fixed:1ms"
	fleet, err := measure.StartFleet(ctx, r.fleet)
	if err != nil {
		return err
	}
	err = r.report(ctx, out, fleet, operator)
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (r run) report(ctx context.Context, out io.Writer, fleet *measure.Fleet, operator measure.Operator) error {
	fmt.Fprintf(out, "%d domains of %d entry hosts, %d disks, no targets\n\n", r.fleet.Domains, r.fleet.HostsPerDomain, r.fleet.Disks)
	idle, err := fleet.Measure(func() { time.Sleep(rest) })
	if err != nil {
		return err
	}
	var rollouts []measure.Rollout
	busy, err := fleet.Measure(func() { rollouts, err = fleet.Changes(ctx, operator, r.changes, r.pause) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "| %d changes, ms | p50 | p99 | greatest |\n| --- | ---: | ---: | ---: |\n", len(rollouts))
	printTimes(out, "answered", rollouts, func(o measure.Rollout) time.Duration { return o.Answered })
	printTimes(out, "in force at every host", rollouts, func(o measure.Rollout) time.Duration { return o.InForce })
	fmt.Fprintf(out, "\n| greatest of a host | share of a core | resident MB | KB/s sent to hosts | KB/s received |\n| --- | ---: | ---: | ---: | ---: |\n")
	printCost(out, "at rest", idle)
	printCost(out, "while changing", busy)
	return r.restarts(ctx, out, fleet)
}

// restarts restarts a host with a disk and one without.
func (r run) restarts(ctx context.Context, out io.Writer, fleet *measure.Fleet) error {
	fmt.Fprintf(out, "\n| restart after %d changes | ms to readiness |\n| --- | ---: |\n", r.changes)
	for i, name := range []string{"with a disk", "without"} {
		if i >= r.fleet.HostsPerDomain {
			break
		}
		took, err := fleet.Restart(ctx, i)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s | %.1f |\n", name, float64(took.Microseconds())/1000)
	}
	return nil
}

func printTimes(out io.Writer, name string, rollouts []measure.Rollout, value func(measure.Rollout) time.Duration) {
	times := make([]time.Duration, len(rollouts))
	for i, o := range rollouts {
		times[i] = value(o)
	}
	slices.Sort(times)
	at := func(share float64) float64 {
		return float64(times[int(share*float64(len(times)-1))].Microseconds()) / 1000
	}
	fmt.Fprintf(out, "| %s | %.1f | %.1f | %.1f |\n", name, at(0.5), at(0.99), at(1))
}

func printCost(out io.Writer, name string, costs []measure.Cost) {
	cores := measure.Greatest(costs, func(c measure.Cost) float64 { return c.Cores })
	memory := measure.Greatest(costs, func(c measure.Cost) float64 { return c.RSS })
	sent := measure.Greatest(costs, func(c measure.Cost) float64 { return c.PeerSent })
	received := measure.Greatest(costs, func(c measure.Cost) float64 { return c.PeerRecv })
	fmt.Fprintf(out, "| %s | %.2f%% | %.1f | %.2f | %.2f |\n", name, cores*100, memory/(1<<20), sent/1000, received/1000)
}
