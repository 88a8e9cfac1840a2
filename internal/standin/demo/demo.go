package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/launch"
)

const (
	readyLimit  = 30 * time.Second
	stopLimit   = 40 * time.Second
	leaveWithin = 5 * time.Second
	jobDeadline = 30 * time.Second
	giveUpAfter = 40 * time.Second
)

// Config configures a run of the demo.
type Config struct {
	Daemon   string // program of the entry host
	Target   string // program of the stand-ins
	JobCount     int
	CallerCount int
	TargetsPerDomain  int // in each failure domain
	SlotsPerTarget    int
	Seed     uint64
	KeepFolder     bool // keep the temporary folder
	Out      io.Writer
}

// demo is one run.
type demo struct {
	config    Config
	folder    string
	hosts     []settings.Settings
	processes []*launch.Process
	logs      []*os.File
}

// Run runs the demo. Its error says what was lost, doubled or ended badly.
func Run(ctx context.Context, config Config) error {
	folder, err := os.MkdirTemp("", "wasabifield-demo-")
	if err != nil {
		return err
	}
	d := &demo{config: config, folder: folder}
	err = d.run(ctx)
	err = errors.Join(err, d.stop())
	if err == nil {
		err = d.check()
	}
	if err != nil || config.KeepFolder {
		fmt.Fprintf(config.Out, "logs and histories are kept in %s\n", folder)
		return err
	}
	return os.RemoveAll(folder)
}

// run starts everything and submits the jobs.
func (d *demo) run(ctx context.Context) error {
	if err := d.startHosts(); err != nil {
		return err
	}
	if err := d.startTargets(); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, h := range d.hosts {
		if err := launch.WaitUntilReady(ready, h.HTTP); err != nil {
			return err
		}
		if err := launch.WaitForTargets(ready, h.HTTP, d.config.TargetsPerDomain); err != nil {
			return err
		}
	}
	return d.submit(ctx)
}

// startHosts starts one entry host in each of two failure domains.
func (d *demo) startHosts() error {
	ports := launch.NewPortAllocator()
	for _, name := range []string{"north", "south"} {
		s := settings.Default()
		s.Host, s.Domain = name+"-1", name
		var err error
		if s.HTTP, err = ports.AllocateAddress(); err != nil {
			return err
		}
		if s.Peer, err = ports.AllocateAddress(); err != nil {
			return err
		}
		d.hosts = append(d.hosts, s)
	}
	launch.SetPeers(d.hosts, func(_, to settings.Settings) string { return to.Peer })
	for _, s := range d.hosts {
		file, err := launch.WriteSettings(d.folder, s)
		if err != nil {
			return err
		}
		if err := d.start(s.Host, d.config.Daemon, "--config", file); err != nil {
			return err
		}
	}
	return nil
}

// startTargets starts one process of targets in each failure domain.
func (d *demo) startTargets() error {
	for _, s := range d.hosts {
		name := "targets-" + s.Domain
		err := d.start(name, d.config.Target, "target",
			"--name", s.Domain, "--domain", s.Domain, "--entry", s.HTTP,
			"--count", fmt.Sprint(d.config.TargetsPerDomain), "--slots", fmt.Sprint(d.config.SlotsPerTarget),
			"--service", "scripted", "--history", d.historyFile(name))
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) submit(ctx context.Context) error {
	writer, file, err := history.Open(d.historyFile("callers"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	config := caller.LoadConfig{
		Caller: caller.CallerConfig{
			Team:        "demo",
			History:     writer,
			Deadline:    jobDeadline,
			GiveUpAfter: giveUpAfter,
		},
		Jobs: d.config.JobCount, Parallel: d.config.CallerCount,
		TasksLow: 1, TasksHigh: 210,
		RunLow: 50 * time.Millisecond, RunHigh: time.Second,
		Seed: d.config.Seed,
	}
	for _, h := range d.hosts {
		config.Caller.Entries = append(config.Caller.Entries, h.HTTP)
	}
	runs := caller.Load(ctx, config)
	caller.PrintTimes(d.config.Out, runs)
	return ctx.Err()
}

// start starts a process whose output goes to a log in the folder.
func (d *demo) start(name, program string, args ...string) error {
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return err
	}
	d.logs = append(d.logs, log)
	p, err := launch.Start(name, log, program, args...)
	if err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	return nil
}

// stop ends the targets first, so that they announce their leaving, then the
// entry hosts.
func (d *demo) stop() error {
	var faults []error
	for i := len(d.processes) - 1; i >= 0; i-- {
		p := d.processes[i]
		if err := p.Stop(stopLimit); err != nil {
			faults = append(faults, fmt.Errorf("%s ended badly: %w", p.Name, err))
		}
	}
	for _, log := range d.logs {
		_ = log.Close()
	}
	return errors.Join(faults...)
}

// check prints the account of the histories and returns their faults.
func (d *demo) check() error {
	files, err := filepath.Glob(filepath.Join(d.folder, "*.history"))
	if err != nil {
		return err
	}
	events, err := history.ReadFiles(files...)
	if err != nil {
		return err
	}
	account := history.Check(events, history.CheckConfig{LeaveWithin: leaveWithin})
	account.Print(d.config.Out)
	account.PrintMessages(d.config.Out)
	if n := len(account.Faults); n > 0 {
		return fmt.Errorf("%d invariants broken", n)
	}
	if account.Complete != d.config.JobCount {
		return fmt.Errorf("%d of %d jobs complete", account.Complete, d.config.JobCount)
	}
	return nil
}

func (d *demo) historyFile(name string) string {
	return filepath.Join(d.folder, name+".history")
}
