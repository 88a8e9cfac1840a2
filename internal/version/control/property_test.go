package control_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

// model drives a session with drawn commands and remembers what was answered.
type model struct {
	*session
	sent    []control.Command
	first   map[string]control.Answer  // the first answer to each request id
	winners map[uint64]bundle.Digest   // the content first seen under each number
	signed  map[uint64]map[string]bool // approvals answered as done
	rolled  uint64                     // greatest version answered as accepted
}

func TestAnySequenceOfCommandsKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			session: newSession(rapid.IntRange(1, 2).Draw(t, "approvals")),
			first:   map[string]control.Answer{},
			winners: map[uint64]bundle.Digest{},
			signed:  map[uint64]map[string]bool{},
		}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			m.step(t, m.draw(t))
		}
		if err := control.VerifyTo(m.state.Head, m.trail); err != nil {
			t.Fatalf("audit trail: %v", err)
		}
	})
}

// draw returns a new command, or one that was sent before.
func (m *model) draw(t *rapid.T) control.Command {
	if len(m.sent) > 0 && rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		return m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "resend")]
	}
	request := fmt.Sprint("q", len(m.sent))
	operator := rapid.SampledFrom(names).Draw(t, "operator")
	action := rapid.SampledFrom(control.Actions).Draw(t, "action")
	variant := rapid.IntRange(0, 1).Draw(t, "variant")
	low := max(1, int(m.state.Accepted)-1)
	version := uint64(rapid.IntRange(low, int(m.state.HighestProposed)+1).Draw(t, "version"))
	basedOn := min(m.state.Accepted, version-1)
	if v, ok := m.state.Version(version); ok && variant == 0 {
		basedOn = v.BasedOn
	}
	text := document(version, basedOn, variant)
	switch action {
	case control.Propose:
		return propose(request, operator, text, version)
	case control.Replace:
		return replace(request, text, version, operator, names[0])
	}
	digest := bundle.DigestOf(text)
	if v, ok := m.state.Version(version); ok && rapid.IntRange(0, 4).Draw(t, "right") > 0 {
		digest = v.Digest
	}
	return command(action, request, operator, version, digest)
}

func (m *model) step(t *rapid.T, c control.Command) {
	before := m.state
	plain := marshal(t, before)
	answer := m.apply(c)
	if !bytes.Equal(plain, marshal(t, before)) {
		t.Fatalf("Apply changed its argument")
	}
	m.checkAnswer(t, c, answer, before)
	m.checkContents(t)
	m.checkPromises(t, before)
	if rapid.IntRange(0, 15).Draw(t, "reload") == 0 {
		m.state = m.reload(t)
	}
	m.sent = append(m.sent, c)
}

// checkAnswer checks resends, and notes what a done command promised.
func (m *model) checkAnswer(t *rapid.T, c control.Command, answer control.Answer, before control.State) {
	grown := m.state.Sequence - before.Sequence
	if first, ok := m.first[c.RequestID]; ok {
		if answer != first || grown != 0 {
			t.Fatalf("resend of %s: got %+v, first %+v, sequence grew by %d", c.RequestID, answer, first, grown)
		}
		return
	}
	m.first[c.RequestID] = answer
	if grown != 1 || m.state.Head.Index != m.state.Sequence {
		t.Fatalf("sequence grew by %d, audit head %d", grown, m.state.Head.Index)
	}
	if !answer.Done() {
		return
	}
	switch c.Action {
	case control.Approve:
		if m.signed[c.Version] == nil {
			m.signed[c.Version] = map[string]bool{}
		}
		m.signed[c.Version][c.Operator] = true
	case control.Roll, control.Replace:
		m.rolled = max(m.rolled, c.Version)
		if m.state.Accepted != c.Version {
			t.Fatalf("version %d answered as accepted, but %d is", c.Version, m.state.Accepted)
		}
	}
}

// checkContents checks that a number keeps its first content.
func (m *model) checkContents(t *rapid.T) {
	for _, v := range m.state.Versions {
		if won, ok := m.winners[v.Number]; ok && won != v.Digest {
			t.Fatalf("version %d changed its content", v.Number)
		}
		m.winners[v.Number] = v.Digest
	}
}

// checkPromises checks that nothing answered as done was undone.
func (m *model) checkPromises(t *rapid.T, before control.State) {
	if m.state.Accepted < before.Accepted || m.state.Accepted < m.rolled {
		t.Fatalf("accepted version went from %d to %d; %d was answered", before.Accepted, m.state.Accepted, m.rolled)
	}
	v, ok := m.state.AcceptedVersion()
	if m.state.Accepted > 0 && (!ok || v.Status != control.Accepted || v.Document == "") {
		t.Fatalf("accepted version %d is %+v", m.state.Accepted, v)
	}
	if m.state.Accepted != before.Accepted && v.BasedOn != before.Accepted {
		t.Fatalf("version %d was written on %d and accepted after %d", v.Number, v.BasedOn, before.Accepted)
	}
	for _, v := range m.state.Versions {
		for operator := range m.signed[v.Number] {
			if !hasApproval(v, operator) {
				t.Fatalf("approval of version %d by %s is gone", v.Number, operator)
			}
		}
	}
}

func hasApproval(v control.Version, operator string) bool {
	for _, a := range v.Approvals {
		if a.Operator == operator {
			return true
		}
	}
	return false
}

func marshal(t *rapid.T, s control.State) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func encode(t *rapid.T, s control.State) []byte {
	text, err := control.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// reload returns the state as another host reads it.
func (m *model) reload(t *rapid.T) control.State {
	text := encode(t, m.state)
	s, err := control.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, encode(t, s)) {
		t.Fatalf("state differs after a round trip")
	}
	return s
}

func TestChangeRepeatsOnTheNewestValue(t *testing.T) {
	var answer control.Answer
	text := document(1, 0, 0)
	change := rulesFor(1, names...).ChangeFunc(replace("r", text, 1, "linh"), func() time.Time { return start }, &answer)
	after, err := change(nil)
	if err != nil || !answer.Done() {
		t.Fatalf("%v %+v", err, answer)
	}
	first := answer
	again, err := change(after)
	if err != nil || answer != first || !bytes.Equal(again, after) {
		t.Fatalf("a repeat on the changed value must change nothing: %v %+v", err, answer)
	}
}

func FuzzDecode(f *testing.F) {
	s := trailOf(3)
	text, err := control.Encode(s.state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = control.Decode(text)
	})
}
