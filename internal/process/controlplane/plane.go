package controlplane

import (
	"bytes"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"wasabifield.example/wasabifield/internal/connection/operatorapi"
	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/trail"
)

// Config configures a Plane.
type Config struct {
	Domain      string
	DomainPeers []string // the other entry hosts of the domain
	DiskHosts   []string // the other hosts with a disk
	AnyDisk     bool     // whether any host has a disk; without one nothing can be changed
	Rules       control.Rules
	Controller  *controller.Controller
	Trail       *trail.Trail // nil on a host without a disk
	Clock       func() time.Time
	Log         *slog.Logger

	// Activate puts a bundle in force at this host.
	Activate func(b bundle.Bundle, digest bundle.Digest)
	// FetchEntries asks another disk host for audit entries from an index on.
	FetchEntries func(ctx context.Context, host string, from uint64) ([]control.Entry, error)
}

// Plane is one host's control path.
type Plane struct {
	config   Config
	informed *informed
	settled  atomic.Pointer[[]byte] // the control state that was taken in last
	states   chan control.State     // holds the newest state that the trail was not brought up to
}

// NewPlane returns a Plane.
func NewPlane(config Config) *Plane {
	return &Plane{
		config:   config,
		informed: newInformed(config.DomainPeers),
		states:   make(chan control.State, 1),
	}
}

// Register adds the services for other hosts to a gRPC server.
func (p *Plane) Register(r grpc.ServiceRegistrar) { p.config.Controller.Register(r) }

// Run works until ctx is cancelled.
func (p *Plane) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.config.Controller.Run(ctx) })
	group.Go(func() error { return p.follow(ctx) })
	group.Go(func() error { return p.keepTrail(ctx) })
	return group.Wait()
}

// Change implements operatorapi.Changer.
func (p *Plane) Change(ctx context.Context, c control.Command) (control.Answer, error) {
	if !p.config.AnyDisk {
		return control.Answer{}, failure.New(failure.NotReady, "no host with a disk is in the settings")
	}
	var answer control.Answer
	_, err := p.config.Controller.Change(ctx, p.config.Rules.Change(c, p.config.Clock, &answer))
	return answer, err
}

// State implements operatorapi.Changer.
func (p *Plane) State(ctx context.Context) (operatorapi.StateView, error) {
	if !p.config.AnyDisk {
		return operatorapi.StateView{}, nil
	}
	content, confirmed, age, err := p.config.Controller.Read(ctx)
	if err != nil {
		return operatorapi.StateView{}, err
	}
	state, err := control.Decode(content)
	if err != nil {
		return operatorapi.StateView{}, failure.Wrap(failure.Internal, "controlplane", err)
	}
	return operatorapi.StateView{State: state, Confirmed: confirmed, Age: age}, nil
}

const pageEntries = 256 // audit entries in one message between hosts

// Entries implements operatorapi.Trail.
func (p *Plane) Entries(ctx context.Context, from uint64, limit int) ([]control.Entry, error) {
	if p.config.Trail != nil {
		return p.config.Trail.Entries(from, min(limit, pageEntries)), nil
	}
	for _, host := range p.config.DiskHosts {
		if entries, err := p.config.FetchEntries(ctx, host, from); err == nil {
			return entries, nil
		}
	}
	return nil, failure.New(failure.NoQuorum, "no host with a disk answers")
}

// Version returns the version of the control state that this host holds.
func (p *Plane) Version() uint64 { return p.config.Controller.Version() }

// RecordReport takes in what a neighbour said of its control state.
func (p *Plane) RecordReport(host string, r Report) { p.informed.hear(host, r) }

// CatchUp fetches the control state from a host that holds a newer version.
func (p *Plane) CatchUp(ctx context.Context, host string, version uint64) {
	if version <= p.Version() {
		return
	}
	if err := p.config.Controller.CatchUp(ctx, host, version); err != nil {
		p.config.Log.Debug("Could not catch up.", "from", host, "error", err)
	}
}

// CaughtUp reports whether this host may serve with the bundle in force here:
// it is no older than what the domain served with, and has been put in force.
func (p *Plane) CaughtUp() bool {
	if !p.config.AnyDisk || p.informed.already() {
		return true
	}
	s := p.config.Controller.Status()
	settled := p.settled.Load()
	if settled == nil && s.Version > 0 || settled != nil && !bytes.Equal(*settled, s.Content) {
		return false
	}
	return p.informed.check(s.Version, s.Age >= 0)
}

// follow takes in each new control state.
func (p *Plane) follow(ctx context.Context) error {
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	var turns schedule
	for {
		select {
		case <-ctx.Done():
			return nil
		case content := <-p.config.Controller.Updates():
			p.settle(content, &turns)
		case <-due.C:
			p.force(&turns)
		}
		if wait, ok := turns.wait(p.config.Clock()); ok {
			due.Reset(wait)
		}
	}
}

// settle takes in a control state. Until the host is informed the accepted
// bundle comes into force at once: the domain may have had its turn before.
func (p *Plane) settle(content []byte, turns *schedule) {
	state, err := control.Decode(content)
	if err != nil {
		p.config.Log.Error("The control state cannot be read.", "error", err)
		return
	}
	p.noteState(state)
	if a, wait, ok := p.accepted(state); ok {
		if !p.informed.already() {
			wait = 0
		}
		turns.add(a, p.config.Clock().Add(wait))
		p.force(turns)
	}
	p.settled.Store(&content)
}

// force puts the newest bundle whose turn has come in force.
func (p *Plane) force(turns *schedule) {
	if a, ok := turns.take(p.config.Clock()); ok {
		p.config.Activate(a.bundle, a.digest)
	}
}

// accepted returns the bundle that state puts in force and how long to wait
// for it. The wait is the domain's place in the roll order, less the time since
// the acceptance; clocks that differ can only shorten it.
func (p *Plane) accepted(state control.State) (accepted, time.Duration, bool) {
	v, ok := state.InForce()
	if !ok {
		return accepted{}, 0, false
	}
	b, err := bundle.Parse([]byte(v.Document))
	if err != nil {
		p.config.Log.Error("The accepted bundle cannot be read.", "version", v.Number, "error", err)
		return accepted{}, 0, false
	}
	delay := b.RollDelay(p.config.Domain)
	passed := p.config.Clock().Sub(v.EndedAt)
	return accepted{bundle: b, digest: v.Digest}, min(delay, max(0, delay-passed)), true
}
