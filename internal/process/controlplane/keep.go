package controlplane

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/version/control"
)

// trailRetry is the time between two attempts to get the entries that the
// trail lacks, which other disk hosts hold.
const trailRetry = 2 * time.Second

// noteState hands a state to keepTrail, in place of one that was not taken.
// Only the goroutine of follow calls it.
func (p *Plane) noteState(state control.State) {
	select {
	case <-p.states:
	default:
	}
	p.states <- state
}

// keepTrail brings the trail up to each new state. It is a duty of its own,
// so that a bundle comes into force without waiting for the disk or for other
// hosts.
func (p *Plane) keepTrail(ctx context.Context) error {
	if p.config.Trail == nil {
		return p.dropStates(ctx)
	}
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	var state control.State
	for {
		select {
		case <-ctx.Done():
			return nil
		case state = <-p.states:
		case <-retry.C:
		}
		if !p.record(ctx, state) {
			retry.Reset(trailRetry)
		}
	}
}

// dropStates takes the states of a host without a disk.
func (p *Plane) dropStates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.states:
		}
	}
}

// record appends what the trail lacks and reports whether it lacks nothing
// now. Entries that the state no longer holds are asked of other disk hosts.
func (p *Plane) record(ctx context.Context, state control.State) bool {
	entries, whole := state.After(p.config.Trail.Head())
	if !whole {
		p.fill(ctx, state)
		entries, whole = state.After(p.config.Trail.Head())
	}
	if !whole {
		p.config.Log.Warn("The audit trail lacks entries; asking again.", "head", p.config.Trail.Head().Index, "want", state.Head.Index)
		return false
	}
	if err := p.config.Trail.Append(entries); err != nil {
		p.config.Log.Error("The audit trail was not written.", "error", err)
		return false
	}
	return true
}

// fill asks the other disk hosts for the entries before those in the state.
func (p *Plane) fill(ctx context.Context, state control.State) {
	for _, host := range p.config.DiskHosts {
		for p.config.Trail.Head().Index < state.Head.Index {
			head := p.config.Trail.Head()
			entries, err := p.config.FetchEntries(ctx, host, head.Index+1)
			if err != nil || len(entries) == 0 {
				break
			}
			if err := p.config.Trail.Append(entries); err != nil {
				p.config.Log.Error("Audit entries of another host do not fit.", "host", host, "error", err)
				break
			}
		}
	}
}
