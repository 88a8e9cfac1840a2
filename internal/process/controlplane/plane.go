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
	"wasabifield.example/wasabifield/internal/version/evacuation"
	"wasabifield.example/wasabifield/internal/version/trail"
)

// Config configures a Plane.
type Config struct {
	Domain      string
	DomainPeers []string // the other entry hosts of this failure domain
	DiskHosts   []string // the other hosts with a disk
	AnyDisk     bool     // whether any host has a disk; otherwise the control state can't be changed
	Rules       control.Rules
	Controller  *controller.Controller
	Trail       *trail.Trail // nil on a host without a disk
	Clock       func() time.Time
	Log         *slog.Logger

	// Activate puts a bundle in force on this host.
	Activate func(b bundle.Bundle, digest bundle.Digest)
	// SetEvacuations puts the evacuations of a control state in force on this host. It
	// is called for each control state, from one goroutine; nil on hosts without targets.
	SetEvacuations func(set evacuation.Set)
	// FetchEntries requests the audit entries from an index on from another disk
	// host.
	FetchEntries func(ctx context.Context, host string, from uint64) ([]control.Entry, error)
}

// Plane is the control path of one host. It implements operatorapi.Changer and
// operatorapi.Trail.
type Plane struct {
	config        Config
	tracker       *caughtUpTracker
	applied       atomic.Pointer[[]byte] // the content of the register that was applied last
	pendingStates chan control.State     // holds the newest state that maintainTrail has not received yet
}

// NewPlane returns a Plane.
func NewPlane(config Config) *Plane {
	return &Plane{
		config:        config,
		tracker:       newCaughtUpTracker(config.DomainPeers),
		pendingStates: make(chan control.State, 1),
	}
}

// Register registers the gRPC services for other hosts.
func (p *Plane) Register(r grpc.ServiceRegistrar) { p.config.Controller.Register(r) }

// Run runs the controller, applies control states and maintains the audit trail
// until ctx is cancelled.
func (p *Plane) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.config.Controller.Run(ctx) })
	group.Go(func() error { return p.applyUpdates(ctx) })
	group.Go(func() error { return p.maintainTrail(ctx) })
	return group.Wait()
}

// Change implements operatorapi.Changer. It fails with NotReady if no host has a
// disk.
func (p *Plane) Change(ctx context.Context, c control.Command) (control.Answer, error) {
	if !p.config.AnyDisk {
		return control.Answer{}, failure.New(failure.NotReady, "no host with a disk is in the settings")
	}
	var answer control.Answer
	_, err := p.config.Controller.Change(ctx, p.config.Rules.ChangeFunc(c, p.config.Clock, &answer))
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

const maxPageEntries = 256 // most audit entries in one message between hosts

// Entries implements operatorapi.Trail. On a host without a disk it asks the disk
// hosts in turn and fails with NoQuorum if none of them answers.
func (p *Plane) Entries(ctx context.Context, from uint64, limit int) ([]control.Entry, error) {
	if p.config.Trail != nil {
		return p.config.Trail.Entries(from, min(limit, maxPageEntries)), nil
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

// RecordReport stores the report of another host of the domain.
func (p *Plane) RecordReport(host string, r Report) { p.tracker.recordReport(host, r) }

// CatchUp fetches the control state from a host if that holds a newer version. An
// error is only logged.
func (p *Plane) CatchUp(ctx context.Context, host string, version uint64) {
	if version <= p.Version() {
		return
	}
	if err := p.config.Controller.CatchUp(ctx, host, version); err != nil {
		p.config.Log.Debug("Could not catch up.", "from", host, "error", err)
	}
}

// CaughtUp reports whether this host may serve with the bundle in force here. The
// bundle must be at least as new as any that the domain served with, and the
// newest control state that this host holds must have been applied. CaughtUp is
// always true if no host has a disk.
func (p *Plane) CaughtUp() bool {
	if !p.config.AnyDisk || p.tracker.isCaughtUp() {
		return true
	}
	s := p.config.Controller.Status()
	applied := p.applied.Load()
	if applied == nil && s.Version > 0 || applied != nil && !bytes.Equal(*applied, s.Content) {
		return false
	}
	return p.tracker.update(s.Version, s.Age >= 0)
}

// applyUpdates applies each new control state and activates scheduled bundles when
// they are due.
func (p *Plane) applyUpdates(ctx context.Context) error {
	activationTimer := time.NewTimer(time.Hour)
	defer activationTimer.Stop()
	var pending schedule
	for {
		select {
		case <-ctx.Done():
			return nil
		case content := <-p.config.Controller.Updates():
			p.applyContent(content, &pending)
		case <-activationTimer.C:
			p.activateDue(&pending)
		}
		if wait, ok := pending.untilNext(p.config.Clock()); ok {
			activationTimer.Reset(wait)
		}
	}
}

// applyContent applies a control state: it queues its audit entries, puts its
// evacuations in force and schedules its accepted bundle. Until the host has caught up, the bundle is due at once,
// because the domain may have activated it before.
func (p *Plane) applyContent(content []byte, pending *schedule) {
	state, err := control.Decode(content)
	if err != nil {
		p.config.Log.Error("Decoding the control state failed.", "error", err)
		return
	}
	p.queueState(state)
	if p.config.SetEvacuations != nil {
		p.config.SetEvacuations(state.Evacuations)
	}
	if a, delay, ok := p.rolloutBundle(state); ok {
		if !p.tracker.isCaughtUp() {
			delay = 0
		}
		pending.add(a, p.config.Clock().Add(delay))
		p.activateDue(pending)
	}
	p.applied.Store(&content)
}

// activateDue activates the newest bundle that is due, if there is one.
func (p *Plane) activateDue(pending *schedule) {
	if a, ok := pending.popDue(p.config.Clock()); ok {
		p.config.Activate(a.bundle, a.digest)
	}
}

// rolloutBundle returns the accepted bundle of a state and the delay until its
// activation in this domain. The delay follows from the domain's place in the
// rollout order, less the time since the acceptance. Clock differences between
// hosts can only shorten it.
func (p *Plane) rolloutBundle(state control.State) (acceptedBundle, time.Duration, bool) {
	v, ok := state.AcceptedVersion()
	if !ok {
		return acceptedBundle{}, 0, false
	}
	b, err := bundle.Parse([]byte(v.Document))
	if err != nil {
		p.config.Log.Error("Parsing the accepted bundle failed.", "version", v.Number, "error", err)
		return acceptedBundle{}, 0, false
	}
	delay := b.RolloutDelay(p.config.Domain)
	elapsed := p.config.Clock().Sub(v.EndedAt)
	return acceptedBundle{bundle: b, digest: v.Digest}, min(delay, max(0, delay-elapsed)), true
}
