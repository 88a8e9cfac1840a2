package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/launch"
	"wasabifield.example/wasabifield/internal/standin/measure"
	"wasabifield.example/wasabifield/internal/standin/relay"
)

const (
	waitLimit = 60 * time.Second // for what must happen
	pollEvery = 10 * time.Millisecond
)

// WorldConfig configures a World.
type WorldConfig struct {
	Folder string // logs, settings and histories
	Daemon string // program of the entry host
	Target string // program of the stand-ins
	Check  history.CheckConfig
}

// World is the set of processes, links and jobs of one scenario.
type World struct {
	config   WorldConfig
	ports    *launch.PortAllocator
	names    []string // of hosts and targets in the order declared
	hosts    map[string]*hostProcess
	targets  map[string]*targetProcess
	links    map[string]*relay.Relay
	jobs     map[string]*jobState
	history  *history.Writer
	sender   *caller.Sender
	operator measure.Operator
	closers  []func()
}

// hostProcess is an entry host. Process is nil before its first start.
type hostProcess struct {
	settings settings.Settings
	process  *launch.Process
}

// targetProcess is a target. Process is nil before its first start.
type targetProcess struct {
	domain   string
	entries  []string // names of entry hosts that it announces itself to
	flags    []string
	listen   string // address that it listens at
	announce string // address that it announces: its relay's, or the same
	process  *launch.Process
}

// NewWorld returns a World without processes.
func NewWorld(config WorldConfig) (*World, error) {
	w := &World{
		config:   config,
		ports:    launch.NewPortAllocator(),
		hosts:    map[string]*hostProcess{},
		targets:  map[string]*targetProcess{},
		links:    map[string]*relay.Relay{},
		jobs:     map[string]*jobState{},
		operator: measure.NewOperator(),
	}
	writer, file, err := history.Open(w.historyFile("callers"))
	if err != nil {
		return nil, err
	}
	w.closers = append(w.closers, func() { _ = file.Close() })
	w.history = writer
	w.sender = caller.NewSender(senderConfig(writer))
	return w, nil
}

// Close ends all processes and links.
func (w *World) Close() {
	var ending sync.WaitGroup
	for _, name := range w.names {
		p, err := w.process(name)
		if err != nil {
			continue
		}
		ending.Go(func() {
			_ = p.Resume()
			p.Kill()
		})
	}
	ending.Wait()
	for _, link := range w.links {
		link.Close()
	}
	w.await()
	for _, closer := range w.closers {
		closer()
	}
}

// process returns the process of a host or target that was started.
func (w *World) process(name string) (*launch.Process, error) {
	var p *launch.Process
	if h, ok := w.hosts[name]; ok {
		p = h.process
	}
	if t, ok := w.targets[name]; ok {
		p = t.process
	}
	if p == nil {
		return nil, fmt.Errorf("%s: not started", name)
	}
	return p, nil
}

// Signal sends s to the process of that name.
func (w *World) Signal(name string, s syscall.Signal) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	return p.Signal(s)
}

// Kill ends the process of that name at once.
func (w *World) Kill(name string) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	p.Kill()
	return nil
}

// Exits waits for the end of a process and checks its exit code. A process that
// does not end is made to write its goroutines to its log.
func (w *World) Exits(name string, code int) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	got, err := p.ExitCode(waitLimit)
	if err != nil {
		_ = p.Signal(syscall.SIGQUIT)
		_ = p.Wait(waitLimit)
		return err
	}
	if got != code {
		return fmt.Errorf("%s: exit code %d, not %d", name, got, code)
	}
	return nil
}

// Logged waits until the log of the process has text.
func (w *World) Logged(name, text string) error {
	return poll(func() error {
		log, err := os.ReadFile(w.logFile(name))
		if err == nil && !strings.Contains(string(log), text) {
			err = fmt.Errorf("%s: the log does not have %q", name, text)
		}
		return err
	})
}

// Link returns the relay of a link: "caller-HOST", "targets-HOST", "HOST-HOST"
// or the name of a target.
func (w *World) Link(name string) (*relay.Relay, error) {
	link, ok := w.links[name]
	if !ok {
		return nil, fmt.Errorf("%s: no such link", name)
	}
	return link, nil
}

// connect adds a link to the address to.
func (w *World) connect(name, to string) error {
	if _, ok := w.links[name]; ok {
		return nil
	}
	link, err := relay.NewRelay("127.0.0.1:0", to)
	if err != nil {
		return err
	}
	w.links[name] = link
	return nil
}

// start runs a program whose output is appended to NAME.log.
func (w *World) start(name, program string, args ...string) (*launch.Process, error) {
	log, err := os.OpenFile(w.logFile(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	return launch.Start(name, log, program, args...)
}

func (w *World) logFile(name string) string {
	return filepath.Join(w.config.Folder, name+".log")
}

func (w *World) historyFile(name string) string {
	return filepath.Join(w.config.Folder, name+".history")
}

// Account waits for the answers and checks the histories so far.
func (w *World) Account() (history.Summary, error) {
	w.await()
	events, err := w.events()
	if err != nil {
		return history.Summary{}, err
	}
	return history.Check(events, w.config.Check), nil
}

func (w *World) events() ([]history.Event, error) {
	files, err := filepath.Glob(filepath.Join(w.config.Folder, "*.history"))
	if err != nil {
		return nil, err
	}
	return history.ReadFiles(files...)
}

// poll calls done until it returns nil. After the limit it returns the last
// error.
func poll(done func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		err := done()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("after %s: %w", waitLimit, err)
		case <-time.After(pollEvery):
		}
	}
}
