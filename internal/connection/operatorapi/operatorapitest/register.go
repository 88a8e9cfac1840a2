// Package operatorapitest provides an in-memory control state and audit trail for
// tests of the operator API and of its clients.
package operatorapitest

import (
	"context"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/operatorapi"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

// Register stores the encoded control state, as the replicated register does, and the
// whole audit trail. It implements operatorapi.Changer and operatorapi.Trail and is
// safe for concurrent use.
type Register struct {
	mu           sync.Mutex
	rules        control.Rules
	clock        func() time.Time
	encodedState []byte
	trail        []control.Entry
	failureKind  failure.Kind
}

// NewRegister returns an empty Register.
func NewRegister(clock func() time.Time) *Register {
	return &Register{clock: clock}
}

// SetRules sets the rules that changes must satisfy.
func (r *Register) SetRules(rules control.Rules) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules
}

// Rules returns the rules that changes must satisfy.
func (r *Register) Rules() control.Rules {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules
}

// FailWith makes every change fail with a kind, and reads unconfirmed, until it is
// called with the empty kind.
func (r *Register) FailWith(kind failure.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failureKind = kind
}

// EditTrail replaces the stored audit trail with the result of edit and leaves the
// control state unchanged.
func (r *Register) EditTrail(edit func([]control.Entry) []control.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trail = edit(r.trail)
}

// Change implements operatorapi.Changer.
func (r *Register) Change(_ context.Context, c control.Command) (control.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failureKind != "" {
		return control.Answer{}, failure.New(r.failureKind, "failure set by the test")
	}
	previousState, err := control.Decode(r.encodedState)
	if err != nil {
		return control.Answer{}, err
	}
	var answer control.Answer
	newEncodedState, err := r.rules.ChangeFunc(c, r.clock, &answer)(r.encodedState)
	if err != nil {
		return control.Answer{}, err
	}
	r.encodedState = newEncodedState
	newState, err := control.Decode(newEncodedState)
	newEntries, _ := newState.EntriesAfter(previousState.Head)
	r.trail = append(r.trail, newEntries...)
	return answer, err
}

// State implements operatorapi.Changer.
func (r *Register) State(context.Context) (operatorapi.StateView, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, err := control.Decode(r.encodedState)
	return operatorapi.StateView{State: state, Confirmed: r.failureKind == ""}, err
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
