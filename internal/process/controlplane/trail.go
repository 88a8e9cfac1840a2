package controlplane

import (
	"context"
	"time"

	"wasabifield.example/wasabifield/internal/version/control"
)

// trailRetryDelay is the time between two attempts to fetch the entries that the
// trail lacks from other disk hosts.
const trailRetryDelay = 2 * time.Second

// queueState passes a state to maintainTrail and replaces one that has not been
// received yet. Only the goroutine of applyUpdates may call it.
func (p *Plane) queueState(state control.State) {
	select {
	case <-p.pendingStates:
	default:
	}
	p.pendingStates <- state
}

// maintainTrail appends the entries of each new state to the audit trail. It runs
// in its own goroutine so that the activation of a bundle never waits for the disk
// or for other hosts.
func (p *Plane) maintainTrail(ctx context.Context) error {
	if p.config.Trail == nil {
		return p.discardStates(ctx)
	}
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	var newest control.State
	for {
		select {
		case <-ctx.Done():
			return nil
		case newest = <-p.pendingStates:
		case <-retry.C:
		}
		if !p.updateTrail(ctx, newest) {
			retry.Reset(trailRetryDelay)
		}
	}
}

// discardStates receives and drops the states on a host without a disk.
func (p *Plane) discardStates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.pendingStates:
		}
	}
}

// updateTrail appends the missing entries to the trail and reports whether the
// trail is complete up to the state. Entries that the state no longer holds are
// fetched from other disk hosts.
func (p *Plane) updateTrail(ctx context.Context, state control.State) bool {
	entries, complete := state.EntriesAfter(p.config.Trail.Head())
	if !complete {
		p.fetchMissingEntries(ctx, state)
		entries, complete = state.EntriesAfter(p.config.Trail.Head())
	}
	if !complete {
		p.config.Log.Warn("The audit trail lacks entries; retrying.", "head", p.config.Trail.Head().Index, "want", state.Head.Index)
		return false
	}
	if err := p.config.Trail.Append(entries); err != nil {
		p.config.Log.Error("Writing the audit trail failed; retrying.", "error", err)
		return false
	}
	return true
}

// fetchMissingEntries fetches the entries up to the state's head from the other
// disk hosts, one host after another, and appends them to the trail.
func (p *Plane) fetchMissingEntries(ctx context.Context, state control.State) {
	for _, host := range p.config.DiskHosts {
		for p.config.Trail.Head().Index < state.Head.Index {
			head := p.config.Trail.Head()
			entries, err := p.config.FetchEntries(ctx, host, head.Index+1)
			if err != nil || len(entries) == 0 {
				break
			}
			if err := p.config.Trail.Append(entries); err != nil {
				p.config.Log.Error("Appending the audit entries of another host failed.", "host", host, "error", err)
				break
			}
		}
	}
}
