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

// model applies drawn commands to a session and records what the answers imply.
type model struct {
	*session
	sent            []control.Command
	firstAnswers    map[string]control.Answer  // by request id
	digests         map[uint64]bundle.Digest   // the first content seen under each version number
	approved        map[uint64]map[string]bool // operators whose approval succeeded, by version number
	highestAccepted uint64                     // highest version whose acceptance succeeded
	evacuated       map[string]bool            // by the successful commands
}

func TestAnySequenceOfCommandsKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			session:      newSession(rapid.IntRange(1, 2).Draw(t, "approvals")),
			firstAnswers: map[string]control.Answer{},
			digests:      map[uint64]bundle.Digest{},
			approved:     map[uint64]map[string]bool{},
			evacuated:    map[string]bool{},
		}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			m.applyAndCheck(t, m.draw(t))
		}
		if err := control.VerifyTo(m.state.Head, m.trail); err != nil {
			t.Fatalf("audit trail: %v", err)
		}
	})
}

// draw returns a new command or a resend of an earlier one.
func (m *model) draw(t *rapid.T) control.Command {
	if len(m.sent) > 0 && rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		return m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "resend")]
	}
	request := fmt.Sprint("q", len(m.sent))
	operator := rapid.SampledFrom(operatorNames).Draw(t, "operator")
	action := rapid.SampledFrom(control.Actions).Draw(t, "action")
	if action == control.StartEvacuation || action == control.WithdrawEvacuation {
		return drawEvacuation(t, action, request, operator)
	}
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
		return proposeCommand(request, operator, text, version)
	case control.Replace:
		return replaceCommand(request, text, version, operator, operatorNames[0])
	}
	digest := bundle.DigestOf(text)
	if v, ok := m.state.Version(version); ok && rapid.IntRange(0, 4).Draw(t, "right") > 0 {
		digest = v.Digest
	}
	return newCommand(action, request, operator, version, digest)
}

func (m *model) applyAndCheck(t *rapid.T, c control.Command) {
	before := m.state
	encodedBefore := marshal(t, before)
	answer := m.apply(c)
	if !bytes.Equal(encodedBefore, marshal(t, before)) {
		t.Fatalf("Apply modified its argument")
	}
	m.checkAnswer(t, c, answer, before)
	m.checkDigests(t)
	m.checkEvacuations(t)
	m.checkCompletedCommands(t, before)
	if rapid.IntRange(0, 15).Draw(t, "reload") == 0 {
		m.state = m.reencode(t)
	}
	m.sent = append(m.sent, c)
}

// checkAnswer checks the answer to a command or a resend and records the effect of
// a command that succeeded.
func (m *model) checkAnswer(t *rapid.T, c control.Command, answer control.Answer, before control.State) {
	growth := m.state.Sequence - before.Sequence
	if first, ok := m.firstAnswers[c.RequestID]; ok {
		if answer != first || growth != 0 {
			t.Fatalf("resend of %s: got %+v, first %+v, sequence grew by %d", c.RequestID, answer, first, growth)
		}
		return
	}
	m.firstAnswers[c.RequestID] = answer
	if growth != 1 || m.state.Head.Index != m.state.Sequence {
		t.Fatalf("sequence grew by %d, audit head %d", growth, m.state.Head.Index)
	}
	if !answer.Done() {
		return
	}
	switch c.Action {
	case control.StartEvacuation:
		m.evacuated[c.Domain] = true
	case control.WithdrawEvacuation:
		delete(m.evacuated, c.Domain)
	case control.Approve:
		if m.approved[c.Version] == nil {
			m.approved[c.Version] = map[string]bool{}
		}
		m.approved[c.Version][c.Operator] = true
	case control.Roll, control.Replace:
		m.highestAccepted = max(m.highestAccepted, c.Version)
		if m.state.Accepted != c.Version {
			t.Fatalf("the acceptance of version %d succeeded, but version %d is accepted", c.Version, m.state.Accepted)
		}
	}
}

// checkDigests checks that each version number keeps its first content.
func (m *model) checkDigests(t *rapid.T) {
	for _, v := range m.state.Versions {
		if first, ok := m.digests[v.Number]; ok && first != v.Digest {
			t.Fatalf("version %d changed its content", v.Number)
		}
		m.digests[v.Number] = v.Digest
	}
}

// checkCompletedCommands checks that the effects of earlier successful commands
// still hold, and that a newly accepted version is based on its predecessor.
func (m *model) checkCompletedCommands(t *rapid.T, before control.State) {
	if m.state.Accepted < before.Accepted || m.state.Accepted < m.highestAccepted {
		t.Fatalf("accepted version went from %d to %d, but the acceptance of %d had succeeded", before.Accepted, m.state.Accepted, m.highestAccepted)
	}
	v, ok := m.state.AcceptedVersion()
	if m.state.Accepted > 0 && (!ok || v.Status != control.Accepted || v.Document == "") {
		t.Fatalf("accepted version %d is %+v", m.state.Accepted, v)
	}
	if m.state.Accepted != before.Accepted && v.BasedOn != before.Accepted {
		t.Fatalf("version %d is based on %d but was accepted after %d", v.Number, v.BasedOn, before.Accepted)
	}
	for _, v := range m.state.Versions {
		for operator := range m.approved[v.Number] {
			if !hasApproval(v, operator) {
				t.Fatalf("approval of version %d by %s was lost", v.Number, operator)
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

// reencode returns the state as another host decodes it, and checks that encoding
// it again gives the same bytes.
func (m *model) reencode(t *rapid.T) control.State {
	text := encode(t, m.state)
	s, err := control.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, encode(t, s)) {
		t.Fatalf("the state differs after a round trip")
	}
	return s
}

// The register may call the function on a value that already holds its result, when
// a write succeeded but its acknowledgement was lost.
func TestChangeFuncIsIdempotent(t *testing.T) {
	var answer control.Answer
	text := document(1, 0, 0)
	change := rulesFor(1, operatorNames...).ChangeFunc(replaceCommand("r", text, 1, "linh"), func() time.Time { return startTime }, &answer)
	after, err := change(nil)
	if err != nil || !answer.Done() {
		t.Fatalf("%v %+v", err, answer)
	}
	first := answer
	afterRepeat, err := change(after)
	if err != nil || answer != first || !bytes.Equal(afterRepeat, after) {
		t.Fatalf("a call on its own result must change nothing: %v %+v", err, answer)
	}
}

func FuzzDecode(f *testing.F) {
	s := sessionWithChanges(3)
	text, err := control.Encode(s.state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = control.Decode(text)
	})
}
