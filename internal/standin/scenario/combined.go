package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// CombinedConfig configures a run of combined failures.
type CombinedConfig struct {
	Seed    uint64
	Steps   int           // failures that are brought about
	Pause   time.Duration // longest time between two steps
	Callers int
}

// Names of what the combined run starts: two entry hosts and three targets in
// each of two failure domains. Three hosts have disks. One target fails half of
// its tasks at once, one refuses half of them.
var (
	combinedDisks   = []string{"a1", "a2", "b1"}
	combinedHosts   = map[string]string{"a1": "north", "a2": "north", "b1": "south", "b2": "south"}
	combinedHostSeq = []string{"a1", "a2", "b1", "b2"}
	combinedTargets = []string{"n1", "n2", "n3", "s1", "s2", "s3"}
)

// combined is one run.
type combined struct {
	world  *World
	config CombinedConfig
	random *rand.Rand
	undo   []undo
	wiped  map[string]int // how often a host lost its disk
	last   uint64         // bundle version accepted last; read it when load has ended
	log    func(format string, args ...any)
}

// Combined starts a fleet in w, submits jobs without pause while it brings
// about failures drawn from the seed, heals everything, and checks that each
// host serves again. The histories are left to be checked.
func Combined(w *World, config CombinedConfig, log func(format string, args ...any)) error {
	c := &combined{world: w, config: config, random: rand.New(rand.NewPCG(config.Seed, 3)), wiped: map[string]int{}, log: log}
	if err := c.startFleet(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var load errgroup.Group
	for i := range config.Callers {
		load.Go(func() error { return c.call(ctx, i) })
	}
	load.Go(func() error { return c.cancelWaves(ctx) })
	load.Go(func() error { return c.changeBundles(ctx) })
	err := c.breakThings()
	stop()
	if err == nil {
		err = c.heal()
	}
	if loadErr := load.Wait(); err == nil {
		err = loadErr
	}
	if err != nil {
		return err
	}
	return c.serveAgain()
}

func (c *combined) startFleet() error {
	for _, name := range combinedHostSeq {
		if err := c.world.Entry(name, combinedHosts[name]); err != nil {
			return err
		}
	}
	for _, name := range combinedDisks {
		if err := c.world.giveDisk(name); err != nil {
			return err
		}
	}
	flags := map[string][]string{"n3": {"--fail-rate=0.5"}, "s3": {"--refuse-rate=0.5"}}
	for _, name := range combinedTargets {
		domain, entries := "north", []string{"a1", "a2"}
		if name[0] == 's' {
			domain, entries = "south", []string{"b2", "b1"}
		}
		if err := c.world.Target(name, domain, entries, append(flags[name], "--slots=4", "--linger=100ms")...); err != nil {
			return err
		}
	}
	return c.world.Start(c.world.names...)
}

// heal ends every failure and waits until the fleet serves.
func (c *combined) heal() error {
	if err := c.endDue(c.config.Steps + 3); err != nil {
		return err
	}
	for _, name := range combinedHostSeq {
		if err := c.world.waitReady(name); err != nil {
			return err
		}
	}
	for _, name := range combinedTargets {
		if err := c.world.Listed(c.world.targets[name].entries[0], name, true); err != nil {
			return err
		}
	}
	return nil
}

// serveAgain waits for the last bundle at each host, submits one job there and
// expects it complete. A job that meets the failing target is submitted again.
func (c *combined) serveAgain() error {
	c.log("version %d was accepted last, disks lost: %v", c.last, c.wiped)
	for _, host := range combinedHostSeq {
		if err := c.world.InForce(c.last, host); err != nil {
			return err
		}
		n := 0
		err := poll(func() error {
			n++
			label := fmt.Sprintf("again-%s-%d", host, n)
			c.world.Job(label, JobConfig{Tasks: 2, Deadline: 5 * time.Second})
			if err := c.world.Submit(label, host, waitLimit); err != nil {
				return err
			}
			return c.world.Answer(label, "complete")
		})
		if err != nil {
			return fmt.Errorf("after the failures, host %s: %w", host, err)
		}
	}
	return nil
}
