package control_test

import (
	"crypto/ed25519"
	"fmt"
	"testing"
	"time"

	"wasabifield.example/wasabifield/internal/standin/fixedseed"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var (
	operatorNames = []string{"linh", "mere", "sione", "tuan"}
	domains       = []string{"north", "south"}
	startTime     = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

// keyOf returns the key of an operator, which depends only on the name.
func keyOf(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func rulesFor(approvals int, operators ...string) control.Rules {
	r := control.Rules{RequiredApprovals: approvals, Domains: domains}
	for _, name := range operators {
		key := keyOf(name).Public().(ed25519.PublicKey)
		r.Operators = append(r.Operators, control.Operator{Name: name, Key: key})
	}
	return r
}

// document returns an encoded bundle. Variants of one version differ in content.
func document(version, basedOn uint64, variant int) []byte {
	return fmt.Appendf(nil, "version: %d\nbased_on: %d\nretry: {attempts: %d}\n", version, basedOn, variant+1)
}

func proposeCommand(request, operator string, text []byte, version uint64) control.Command {
	c := control.Command{
		RequestID: request,
		Operator:  operator,
		Action:    control.Propose,
		Version:   version,
		Digest:    bundle.DigestOf(text),
		Document:  text,
	}
	return c.Sign(keyOf(operator))
}

func newCommand(action control.Action, request, operator string, version uint64, digest bundle.Digest) control.Command {
	c := control.Command{RequestID: request, Operator: operator, Action: action, Version: version, Digest: digest}
	if action == control.Approve {
		c.Approvals = []control.Approval{control.NewApproval(operator, keyOf(operator), version, digest)}
	}
	return c.Sign(keyOf(operator))
}

func replaceCommand(request string, text []byte, version uint64, signers ...string) control.Command {
	c := proposeCommand(request, signers[0], text, version)
	c.Action = control.Replace
	for _, name := range signers {
		c.Approvals = append(c.Approvals, control.NewApproval(name, keyOf(name), version, c.Digest))
	}
	return c.Sign(keyOf(signers[0]))
}

// session applies a sequence of commands and keeps the complete audit trail.
type session struct {
	rules control.Rules
	state control.State
	trail []control.Entry
	now   time.Time
}

func newSession(approvals int) *session {
	return &session{rules: rulesFor(approvals, operatorNames...), now: startTime}
}

func (s *session) apply(c control.Command) control.Answer {
	s.now = s.now.Add(time.Second)
	next, answer := s.rules.Apply(s.state, c, s.now)
	missing, _ := next.EntriesAfter(s.state.Head)
	s.trail = append(s.trail, missing...)
	s.state = next
	return answer
}
