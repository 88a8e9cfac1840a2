// Package operatorapitest holds a small control state in memory for tests of
// what operators use.
package operatorapitest

import (
	"context"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/operatorapi"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

// Register holds the encoded control state, as a replicated register would,
// and the whole audit trail. It is safe for concurrent use.
type Register struct {
	mu    sync.Mutex
	rules control.Rules
	clock func() time.Time
	bytes []byte
	trail []control.Entry
	fault failure.Kind
}

// NewRegister returns an empty Register.
func NewRegister(clock func() time.Time) *Register {
	return &Register{clock: clock}
}

// SetRules sets who may change the state.
func (r *Register) SetRules(rules control.Rules) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules
}

// Rules returns who may change the state.
func (r *Register) Rules() control.Rules {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules
}

// FailWith makes every change fail with a kind. An empty one ends that.
func (r *Register) FailWith(kind failure.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = kind
}

// EditTrail changes the kept audit trail behind the state's back.
func (r *Register) EditTrail(edit func([]control.Entry) []control.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trail = edit(r.trail)
}

// Change implements operatorapi.Changer.
func (r *Register) Change(_ context.Context, c control.Command) (control.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault != "" {
		return control.Answer{}, failure.New(r.fault, "the test says so")
	}
	before, err := control.Decode(r.bytes)
	if err != nil {
		return control.Answer{}, err
	}
	var answer control.Answer
	after, err := r.rules.ChangeFunc(c, r.clock, &answer)(r.bytes)
	if err != nil {
		return control.Answer{}, err
	}
	r.bytes = after
	state, err := control.Decode(after)
	missing, _ := state.EntriesAfter(before.Head)
	r.trail = append(r.trail, missing...)
	return answer, err
}

// State implements operatorapi.Changer.
func (r *Register) State(context.Context) (operatorapi.StateView, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, err := control.Decode(r.bytes)
	return operatorapi.StateView{State: state, Confirmed: r.fault == ""}, err
}

// Entries implements operatorapi.Trail.
func (r *Register) Entries(_ context.Context, from uint64, limit int) ([]control.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := []control.Entry{}
	for _, e := range r.trail {
		if e.Index >= from && len(entries) < limit {
			entries = append(entries, e)
		}
	}
	return entries, nil
}
