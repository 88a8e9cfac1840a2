package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/standin/measure"
)

// operator signs the changes.
var operator = measure.NewOperator()

// suite runs the experiments one after another.
type suite struct {
	programs measure.Programs
	duration time.Duration
	only     []string
	exchange time.Duration // between exchanges of entry hosts; the default if 0
}

// experiment measures one cost at several sizes.
type experiment struct {
	name   string
	per    string    // what one step of size is
	sizes  []float64 // at least four, but for a single check at full size
	fleet  func(size int) measure.FleetConfig
	load   func(size int) (plan measure.LoadPlan, teams int) // nil for a fleet without jobs
	change func(size int) (hour, teams int)                  // changes an hour of bundles with as many teams; nil for none
	target float64                                           // the size that the letter asks for; 0 if the slope alone counts
}

const (
	slots         = 8
	scripted      = "scripted"
	letterTargets = 154 // 2,000 workers over 13 domains
	letterDomains = 13
	hosts         = 6 // entry hosts of a domain
	letterTeams   = 51
	letterStarts  = 3308 // a second in one domain: 43,000 over 13
	letterTasks   = 210
	letterChanges = 54 // an hour: 1,300 a day
	disks         = 3
)

func (s *suite) experiments() []experiment {
	idle := func(domains, hosts, targets int) measure.FleetConfig {
		return measure.FleetConfig{
			Programs: s.programs, Domains: domains, HostsPerDomain: hosts,
			TargetsPerDomain: targets, Slots: slots, Service: scripted, Exchange: s.exchange,
		}
	}
	controlled := func(int) measure.FleetConfig {
		f := idle(3, 2, 0)
		f.Disks = disks
		f.Operators = []settings.Operator{operator.Settings()}
		return f
	}
	busy := func(int) measure.FleetConfig { return idle(1, 1, 50) }
	plan := func(starts float64, tasks int) measure.LoadPlan {
		return measure.LoadPlan{
			Seed: 1, Duration: s.duration, Starts: starts, Tasks: tasks,
			RunLow: 10 * time.Millisecond, RunHigh: 50 * time.Millisecond,
		}
	}
	return []experiment{
		{
			name: "targets", per: "target of the domain", sizes: []float64{25, 50, 100, 200}, target: letterTargets,
			fleet: func(n int) measure.FleetConfig { return idle(1, 2, n) },
		},
		{
			name: "hosts", per: "entry host of the domain", sizes: []float64{2, 4, 6, 8}, target: hosts,
			fleet: func(n int) measure.FleetConfig { return idle(1, n, 48) },
		},
		{
			name: "domains", per: "failure domain of 6 entry hosts", sizes: []float64{1, 2, 4, 8, 13}, target: letterDomains,
			fleet: func(n int) measure.FleetConfig { return idle(n, hosts, 0) },
		},
		{
			name: "starts", per: "start a second", sizes: []float64{250, 500, 1000, 2000}, target: letterStarts,
			fleet: busy,
			load:  func(n int) (measure.LoadPlan, int) { return plan(float64(n), 20), 1 },
		},
		{
			name: "tasks", per: "task of a job, at 50 jobs a second", sizes: []float64{1, 5, 10, 20, 40}, target: letterTasks,
			fleet: busy,
			load:  func(n int) (measure.LoadPlan, int) { return plan(50*float64(n), n), 1 },
		},
		{
			name: "teams", per: "team, at 500 starts a second", sizes: []float64{1, 10, 25, 51}, target: letterTeams,
			fleet: busy,
			load:  func(n int) (measure.LoadPlan, int) { return plan(500, 5), n },
		},
		{
			name: "changes", per: "change an hour, 51 teams, 6 hosts of which 3 have a disk", sizes: []float64{0, 900, 1800, 3600}, target: letterChanges,
			fleet:  controlled,
			change: func(n int) (int, int) { return n, letterTeams },
		},
		{
			name: "bundle", per: "team in the bundle, at 1,800 changes an hour", sizes: []float64{25, 51, 100, 200}, target: letterTeams,
			fleet:  controlled,
			change: func(n int) (int, int) { return 1800, n },
		},
		{
			name: "whole", per: "(13 domains of 6 hosts and 154 targets, as asked)", sizes: []float64{letterDomains},
			fleet: func(n int) measure.FleetConfig { return idle(n, hosts, letterTargets) },
		},
	}
}

// point is one measurement.
type point struct {
	size     float64
	mean     measure.Cost
	complete string // jobs complete of all, under load
}

func (s *suite) run(ctx context.Context) (string, error) {
	var report strings.Builder
	fmt.Fprintf(&report, "%s\n\n", machine())
	for _, e := range s.experiments() {
		if len(s.only) > 0 && !slices.Contains(s.only, e.name) {
			continue
		}
		var points []point
		for _, size := range e.sizes {
			fmt.Fprintf(os.Stderr, "%s %g\n", e.name, size)
			p, err := s.measure(ctx, e, int(size))
			if err != nil {
				return report.String(), fmt.Errorf("%s at %g: %w", e.name, size, err)
			}
			points = append(points, p)
		}
		report.WriteString(table(e, points))
	}
	return report.String(), nil
}

func (s *suite) measure(ctx context.Context, e experiment, size int) (point, error) {
	fleet, err := measure.StartFleet(ctx, e.fleet(size))
	if err != nil {
		return point{}, err
	}
	p := point{size: float64(size), complete: "-"}
	costs, err := fleet.Measure(func() { p.complete = s.work(ctx, e, size, fleet) })
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	p.mean = mean(costs)
	return p, err
}

// work runs the experiment's load, or waits for as long.
func (s *suite) work(ctx context.Context, e experiment, size int, fleet *measure.Fleet) string {
	if e.change != nil {
		hour, teams := e.change(size)
		return s.changes(ctx, fleet, hour, teams)
	}
	if e.load == nil {
		time.Sleep(s.duration)
		return "-"
	}
	plan, teams := e.load(size)
	config := measure.LoadConfig{Entries: fleet.Entries(), Teams: teams, Deadline: 30 * time.Second}
	outcomes := measure.RunLoad(ctx, config, plan.Arrivals())
	complete := 0
	for _, o := range outcomes {
		if o.Complete {
			complete++
		}
	}
	return fmt.Sprintf("%d of %d", complete, len(outcomes))
}

// changes makes changes at an even rate and then waits out the duration.
func (s *suite) changes(ctx context.Context, fleet *measure.Fleet, hour, teams int) string {
	changer := fleet.NewChanger(operator, teams)
	end := time.Now().Add(s.duration)
	made, size := 0, 0
	for i := range int(float64(hour) * s.duration.Hours()) {
		time.Sleep(time.Until(end.Add(-s.duration + time.Duration(float64(i)/float64(hour)*float64(time.Hour)))))
		bytes, err := changer.Change(ctx)
		if err != nil {
			return fmt.Sprintf("%d changes, then: %v", made, err)
		}
		made, size = made+1, bytes
	}
	time.Sleep(time.Until(end))
	return fmt.Sprintf("%d changes of %d bytes", made, size)
}

func mean(costs []measure.Cost) measure.Cost {
	if len(costs) == 0 {
		return measure.Cost{}
	}
	average := func(value func(measure.Cost) float64) float64 { return measure.Mean(costs, value) }
	return measure.Cost{
		Seconds:  costs[0].Seconds,
		Cores:    average(func(c measure.Cost) float64 { return c.Cores }),
		RSS:      average(func(c measure.Cost) float64 { return c.RSS }),
		PeerSent: average(func(c measure.Cost) float64 { return c.PeerSent }),
		PeerRecv: average(func(c measure.Cost) float64 { return c.PeerRecv }),
		WebSent:  average(func(c measure.Cost) float64 { return c.WebSent }),
		WebRecv:  average(func(c measure.Cost) float64 { return c.WebRecv }),
	}
}
