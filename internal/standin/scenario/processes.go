package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/standin/launch"
)

// scenarioTiming shortens what scenarios wait for.
func scenarioTiming(t *settings.Timing) {
	t.TargetLease = time.Second
	t.BaseExchangeInterval = 50 * time.Millisecond
	t.DrainDelay = 100 * time.Millisecond
}

// Entry declares an entry host. All are declared before the first starts, since
// each knows the others. Overrides are settings in YAML.
func (w *World) Entry(name, domain string, overrides ...string) error {
	s := settings.Default()
	s.Host, s.Domain = name, domain
	s.Log.Level = "debug"
	scenarioTiming(&s.Timing)
	var err error
	if s.HTTPAddress, err = w.ports.AllocateAddress(); err != nil {
		return err
	}
	if s.PeerAddress, err = w.ports.AllocateAddress(); err != nil {
		return err
	}
	s.Operators = []settings.Operator{w.operator.Settings()}
	for _, o := range overrides {
		if err := yaml.Unmarshal([]byte(o), &s); err != nil {
			return fmt.Errorf("%s: %w", o, err)
		}
	}
	w.hosts[name] = &hostProcess{settings: s}
	w.names = append(w.names, name)
	if err := w.connect("caller-"+name, s.HTTPAddress); err != nil {
		return err
	}
	return w.connect("targets-"+name, s.HTTPAddress)
}

// direct is a flag of a target that is reached without a relay, so that its
// port refuses connections when it is gone.
const direct = "direct"

// Target declares a target that announces itself to the entry hosts.
func (w *World) Target(name, domain string, entries []string, flags ...string) error {
	listen, err := w.ports.AllocateAddress()
	if err != nil {
		return err
	}
	t := &targetProcess{domain: domain, entries: entries, listen: listen, announce: listen}
	t.flags = slices.DeleteFunc(flags, func(f string) bool { return f == direct })
	w.targets[name] = t
	w.names = append(w.names, name)
	if len(t.flags) < len(flags) {
		return nil
	}
	if err := w.connect(name, listen); err != nil {
		return err
	}
	t.announce = w.links[name].Address()
	return nil
}

// Start starts declared hosts and targets, for the first time or again, and
// waits until they serve. Hosts with disks need each other for that.
func (w *World) Start(names ...string) error {
	for _, name := range names {
		if err := w.launch(name); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := w.waitServing(name); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) waitServing(name string) error {
	if t, ok := w.targets[name]; ok {
		return w.Listed(t.entries[0], name, true)
	}
	return w.waitReady(name)
}

// launch starts a declared host or target and waits until it listens.
func (w *World) launch(name string) error {
	if h, ok := w.hosts[name]; ok {
		return w.launchHost(h)
	}
	if t, ok := w.targets[name]; ok {
		return w.launchTarget(name, t)
	}
	return fmt.Errorf("%s: not declared", name)
}

func (w *World) launchHost(h *hostProcess) error {
	if err := w.joinPeers(); err != nil {
		return err
	}
	file, err := launch.WriteSettings(w.config.Folder, h.settings)
	if err != nil {
		return err
	}
	h.process, err = w.start(h.settings.Host, w.config.Daemon, "--config", file)
	if err != nil {
		return err
	}
	return listening(h.settings.HTTPAddress)
}

func (w *World) waitReady(host string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return launch.WaitUntilReady(ctx, w.hosts[host].settings.HTTPAddress)
}

// joinPeers makes each host know the others by the links to them.
func (w *World) joinPeers() error {
	var all []settings.Settings
	for _, name := range w.names {
		if h, ok := w.hosts[name]; ok {
			all = append(all, h.settings)
		}
	}
	for _, from := range all {
		for _, to := range all {
			if from.Host == to.Host {
				continue
			}
			if err := w.connect(from.Host+"-"+to.Host, to.PeerAddress); err != nil {
				return err
			}
		}
	}
	launch.SetPeers(all, func(from, to settings.Settings) string {
		return w.links[from.Host+"-"+to.Host].Address()
	})
	for _, s := range all {
		w.hosts[s.Host].setSettings(s)
	}
	return nil
}

// setSettings changes the settings only if they differ, since others read them
// while a host is launched again.
func (h *hostProcess) setSettings(s settings.Settings) {
	if !reflect.DeepEqual(h.settings, s) {
		h.settings = s
	}
}

func (w *World) launchTarget(name string, t *targetProcess) error {
	var entries []string
	for _, e := range t.entries {
		link, err := w.Link("targets-" + e)
		if err != nil {
			return err
		}
		entries = append(entries, link.Address())
	}
	args := []string{"target", "--name", name, "--domain", t.domain,
		"--entry", strings.Join(entries, ","), "--listen", t.listen,
		"--announce", t.announce, "--history", w.historyFile(name)}
	var err error
	t.process, err = w.start(name, w.config.Target, append(args, t.flags...)...)
	if err != nil {
		return err
	}
	return listening(t.listen)
}

// listening waits until something listens at address. Both programs handle
// signals before they listen, so that a signal sent then is not lost.
func listening(address string) error {
	return poll(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	})
}

// Listed waits until the host lists the target as alive, or as not alive.
func (w *World) Listed(host, target string, alive bool) error {
	return poll(func() error {
		got, err := w.isAlive(host, target)
		if err == nil && got != alive {
			err = fmt.Errorf("%s lists %s with alive=%t", host, target, got)
		}
		return err
	})
}

func (w *World) isAlive(host, target string) (bool, error) {
	h, ok := w.hosts[host]
	if !ok {
		return false, fmt.Errorf("%s: no such host", host)
	}
	client := &http.Client{Timeout: waitLimit}
	response, err := client.Get("http://" + h.settings.HTTPAddress + wire.PathTargets)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	var list []wire.TargetStatus
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return false, err
	}
	for _, t := range list {
		if t.Target == target {
			return t.Alive, nil
		}
	}
	return false, nil
}
