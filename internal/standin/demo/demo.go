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
	readyTimeout        = 30 * time.Second
	stopTimeout         = 40 * time.Second
	leaveWithin         = 5 * time.Second
	jobDeadline         = 30 * time.Second
	resubmissionTimeout = 40 * time.Second
)

// Config configures one run of the demo.
type Config struct {
	Daemon           string // path of the entry host's program
	Target           string // path of the standin program, which runs the targets
	JobCount         int
	CallerCount      int
	TargetsPerDomain int // number of targets in each failure domain
	SlotsPerTarget   int
	Seed             uint64
	KeepFolder       bool // keep the temporary folder also after success
	Out              io.Writer
}

// demoRun is the state of one run of the demo.
type demoRun struct {
	config    Config
	folder    string
	hosts     []settings.Settings
	processes []*launch.Process
	logs      []*os.File
}

// Run runs the demo, stops its processes and checks the histories. It returns an
// error if a process failed, an invariant was violated or a job was not
// complete. The temporary folder with logs and histories is kept after an error
// and if KeepFolder is set.
func Run(ctx context.Context, config Config) error {
	folder, err := os.MkdirTemp("", "wasabifield-demo-")
	if err != nil {
		return err
	}
	d := &demoRun{config: config, folder: folder}
	err = d.startAndSubmit(ctx)
	err = errors.Join(err, d.stopProcesses())
	if err == nil {
		err = d.checkHistories()
	}
	if err != nil || config.KeepFolder {
		fmt.Fprintf(config.Out, "logs and histories are kept in %s\n", folder)
		return err
	}
	return os.RemoveAll(folder)
}

// startAndSubmit starts the hosts and targets, waits until each host is ready
// and lists its targets, and submits the jobs.
func (d *demoRun) startAndSubmit(ctx context.Context) error {
	if err := d.startHosts(); err != nil {
		return err
	}
	if err := d.startTargets(); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range d.hosts {
		if err := launch.WaitUntilReady(ready, h.HTTPAddress); err != nil {
			return err
		}
		if err := launch.WaitForTargets(ready, h.HTTPAddress, d.config.TargetsPerDomain); err != nil {
			return err
		}
	}
	return d.submitJobs(ctx)
}

// startHosts starts one entry host in each of two failure domains.
func (d *demoRun) startHosts() error {
	ports := launch.NewPortAllocator()
	for _, name := range []string{"north", "south"} {
		s := settings.Default()
		s.Host, s.Domain = name+"-1", name
		var err error
		if s.HTTPAddress, err = ports.AllocateAddress(); err != nil {
			return err
		}
		if s.PeerAddress, err = ports.AllocateAddress(); err != nil {
			return err
		}
		d.hosts = append(d.hosts, s)
	}
	launch.SetPeers(d.hosts, func(_, to settings.Settings) string { return to.PeerAddress })
	for _, s := range d.hosts {
		file, err := launch.WriteSettings(d.folder, s)
		if err != nil {
			return err
		}
		if err := d.startProcess(s.Host, d.config.Daemon, "--config", file); err != nil {
			return err
		}
	}
	return nil
}

// startTargets starts one process in each failure domain, which runs all targets
// of the domain.
func (d *demoRun) startTargets() error {
	for _, s := range d.hosts {
		name := "targets-" + s.Domain
		err := d.startProcess(name, d.config.Target, "target",
			"--name", s.Domain, "--domain", s.Domain, "--entry", s.HTTPAddress,
			"--count", fmt.Sprint(d.config.TargetsPerDomain), "--slots", fmt.Sprint(d.config.SlotsPerTarget),
			"--service", "scripted", "--history", d.historyFile(name))
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demoRun) submitJobs(ctx context.Context) error {
	writer, file, err := history.Open(d.historyFile("callers"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	config := caller.LoadConfig{
		Caller: caller.CallerConfig{
			Team:         "demo",
			History:      writer,
			Deadline:     jobDeadline,
			RetryTimeout: resubmissionTimeout,
		},
		Jobs: d.config.JobCount, Callers: d.config.CallerCount,
		MinTasks: 1, MaxTasks: 210,
		MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second,
		Seed: d.config.Seed,
	}
	for _, h := range d.hosts {
		config.Caller.Entries = append(config.Caller.Entries, h.HTTPAddress)
	}
	runs := caller.RunLoad(ctx, config)
	caller.PrintResponseTimes(d.config.Out, runs)
	return ctx.Err()
}

// startProcess starts a process whose output goes to NAME.log in the folder of
// the run.
func (d *demoRun) startProcess(name, program string, args ...string) error {
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

// stopProcesses stops the targets first, so that they can announce to the entry
// hosts that they leave, and then the entry hosts.
func (d *demoRun) stopProcesses() error {
	var stopErrors []error
	for i := len(d.processes) - 1; i >= 0; i-- {
		p := d.processes[i]
		if err := p.Stop(stopTimeout); err != nil {
			stopErrors = append(stopErrors, fmt.Errorf("%s did not stop cleanly: %w", p.Name, err))
		}
	}
	for _, log := range d.logs {
		_ = log.Close()
	}
	return errors.Join(stopErrors...)
}

// checkHistories prints the account of the histories. It returns an error if an
// invariant was violated or not every job was complete.
func (d *demoRun) checkHistories() error {
	files, err := filepath.Glob(filepath.Join(d.folder, "*.history"))
	if err != nil {
		return err
	}
	events, err := history.ReadFiles(files...)
	if err != nil {
		return err
	}
	account := history.Check(events, history.CheckConfig{LeaveGracePeriod: leaveWithin})
	account.Print(d.config.Out)
	account.PrintMessages(d.config.Out)
	if n := len(account.Violations); n > 0 {
		return fmt.Errorf("the histories show %d violations of invariants", n)
	}
	if account.Complete != d.config.JobCount {
		return fmt.Errorf("only %d of %d jobs are complete", account.Complete, d.config.JobCount)
	}
	return nil
}

func (d *demoRun) historyFile(name string) string {
	return filepath.Join(d.folder, name+".history")
}
