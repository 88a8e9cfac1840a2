// Command force measures the time from the answer to a change until every
// entry host acts by it.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/standin/measure"
)

func main() {
	var config measure.FleetConfig
	var changes, teams int
	flag.StringVar(&config.Daemon, "daemon", "bin/wasabifieldd", "program of the entry host")
	flag.StringVar(&config.Standin, "standin", "bin/standin", "program of the stand-ins")
	flag.IntVar(&config.Domains, "domains", 13, "failure domains")
	flag.IntVar(&config.HostsPerDomain, "hosts", 6, "entry hosts of each domain")
	flag.IntVar(&config.Disks, "disks", 3, "entry hosts with a disk")
	flag.DurationVar(&config.Exchange, "exchange", 0, "time between exchanges; 0 is the default setting")
	flag.IntVar(&changes, "changes", 30, "number of changes")
	flag.IntVar(&teams, "teams", 51, "teams in the bundle")
	flag.Parse()
	if err := run(context.Background(), config, changes, teams); err != nil {
		fmt.Fprintln(os.Stderr, "force:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, config measure.FleetConfig, changes, teams int) error {
	fleet, err := measure.StartFleet(ctx, config)
	if err != nil {
		return err
	}
	defer func() { _ = fleet.Stop() }()
	changer := fleet.NewChanger(teams)
	var accept, force []time.Duration
	for range changes {
		begin := time.Now()
		if _, err := changer.Change(ctx); err != nil {
			return err
		}
		accepted := time.Now()
		everywhere, err := changer.AwaitForce(ctx)
		if err != nil {
			return err
		}
		accept = append(accept, accepted.Sub(begin))
		force = append(force, everywhere.Sub(accepted))
	}
	fmt.Printf("%d hosts, %d with a disk, %d changes of %d teams\n", len(fleet.Hosts), config.Disks, changes, teams)
	show("from sending to accepted", accept)
	show("from accepted to in force everywhere", force)
	return nil
}

func show(name string, list []time.Duration) {
	slices.Sort(list)
	at := func(share float64) time.Duration {
		return list[int(share*float64(len(list)-1))].Round(time.Millisecond)
	}
	fmt.Printf("%s: p50 %s, p99 %s, max %s\n", name, at(0.5), at(0.99), at(1))
}
