package measure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/standin/launch"
)

const (
	readyLimit = 60 * time.Second
	stopLimit  = 40 * time.Second
)

// Programs are the binaries that a fleet runs.
type Programs struct {
	Daemon  string // entry host
	Standin string // targets
}

// FleetConfig states what a fleet consists of.
type FleetConfig struct {
	Programs
	Domains          int
	HostsPerDomain   int
	TargetsPerDomain int
	Slots            int           // of each target
	Service          string        // run times of the targets, as "standin target" takes them
	Exchange         time.Duration // between exchanges of entry hosts; the default if 0
	Disks            int           // the first host of as many domains has a disk
	Operators        []settings.Operator
}

// Fleet is a set of running processes.
type Fleet struct {
	config    FleetConfig
	folder    string
	Hosts     []settings.Settings
	processes []*launch.Process // entry hosts first, in the order of Hosts
	log       *os.File
}

// StartFleet starts a fleet and waits until each host is ready and lists all
// targets of its domain.
func StartFleet(ctx context.Context, config FleetConfig) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "wasabifield-measure-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{config: config, folder: folder}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.log, err = os.Create(filepath.Join(f.folder, "log")); err != nil {
		return err
	}
	if err := f.startHosts(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, h := range f.Hosts {
		if err := launch.WaitUntilReady(ctx, h.HTTPAddress); err != nil {
			return err
		}
		if err := launch.WaitForTargets(ctx, h.HTTPAddress, f.config.TargetsPerDomain); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startHosts() error {
	ports := launch.NewPortAllocator()
	for d := range f.config.Domains {
		for i := range f.config.HostsPerDomain {
			s := settings.Default()
			s.Domain = fmt.Sprintf("d%02d", d)
			s.Host = fmt.Sprintf("%s-h%d", s.Domain, i)
			s.Log.Level = "warn"
			s.Timing.DrainDelay = 0
			if f.config.Exchange > 0 {
				s.Timing.BaseExchangeInterval = f.config.Exchange
			}
			var err error
			if s.HTTPAddress, err = ports.AllocateAddress(); err != nil {
				return err
			}
			if s.PeerAddress, err = ports.AllocateAddress(); err != nil {
				return err
			}
			s.Operators = f.config.Operators
			if i == 0 && d < f.config.Disks {
				s.DataFolder = filepath.Join(f.folder, s.Host+".data")
			}
			f.Hosts = append(f.Hosts, s)
		}
	}
	launch.SetPeers(f.Hosts, func(_, to settings.Settings) string { return to.PeerAddress })
	for _, s := range f.Hosts {
		file, err := launch.WriteSettings(f.folder, s)
		if err != nil {
			return err
		}
		if err := f.run(s.Host, f.config.Daemon, "--config", file); err != nil {
			return err
		}
	}
	return nil
}

// startTargets starts one process of targets for each entry host, which they
// announce themselves to first, so that announcements are spread evenly.
func (f *Fleet) startTargets() error {
	for n, s := range f.Hosts {
		i := n % f.config.HostsPerDomain
		count := f.config.TargetsPerDomain / f.config.HostsPerDomain
		if i < f.config.TargetsPerDomain%f.config.HostsPerDomain {
			count++
		}
		if count == 0 {
			continue
		}
		entries := s.HTTPAddress
		for _, other := range f.Hosts {
			if other.Domain == s.Domain && other.Host != s.Host {
				entries += "," + other.HTTPAddress
			}
		}
		err := f.run("targets-"+s.Host, f.config.Standin, "target",
			"--name", s.Host, "--domain", s.Domain, "--entry", entries, "--count", fmt.Sprint(count),
			"--slots", fmt.Sprint(f.config.Slots), "--service", f.config.Service, "--linger", "0s")
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) run(name, program string, args ...string) error {
	p, err := launch.Start(name, f.log, program, args...)
	if err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return nil
}

// Entries returns the HTTP addresses of the entry hosts.
func (f *Fleet) Entries() []string {
	list := make([]string, len(f.Hosts))
	for i, h := range f.Hosts {
		list[i] = h.HTTPAddress
	}
	return list
}

// Restart stops an entry host gracefully and starts it again. It returns the
// time from the start to the host's readiness.
func (f *Fleet) Restart(ctx context.Context, i int) (time.Duration, error) {
	if err := f.processes[i].Stop(stopLimit); err != nil {
		return 0, err
	}
	s := f.Hosts[i]
	begun := time.Now()
	file := launch.SettingsFile(f.folder, s)
	p, err := launch.Start(s.Host, f.log, f.config.Daemon, "--config", file)
	if err != nil {
		return 0, err
	}
	f.processes[i] = p
	err = launch.WaitUntilReady(ctx, s.HTTPAddress)
	return time.Since(begun), err
}

// Stop ends every process, targets first, and removes the fleet's files.
func (f *Fleet) Stop() error {
	var faults []error
	for i := len(f.processes) - 1; i >= 0; i-- {
		_ = f.processes[i].Terminate()
		if i == len(f.Hosts) {
			faults = append(faults, f.wait(f.processes[i:]))
		}
	}
	faults = append(faults, f.wait(f.processes[:min(len(f.processes), len(f.Hosts))]))
	if f.log != nil {
		_ = f.log.Close()
	}
	return errors.Join(append(faults, os.RemoveAll(f.folder))...)
}

func (f *Fleet) wait(processes []*launch.Process) error {
	var faults []error
	for _, p := range processes {
		if err := p.Stop(stopLimit); err != nil {
			faults = append(faults, fmt.Errorf("%s ended badly: %w", p.Name, err))
		}
	}
	return errors.Join(faults...)
}
