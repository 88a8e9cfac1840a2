package control_test

import (
	"fmt"
	"testing"
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

// stateAfterChanges returns the state after a number of changes to a bundle with 13
// failure domains.
func stateAfterChanges(tb testing.TB, teams, changes int) control.State {
	tb.Helper()
	b := bundle.Default()
	for i := range teams {
		b.Teams = append(b.Teams, bundle.Team{Name: fmt.Sprint("team-", i), Quota: b.OtherTeams})
	}
	for i := range 13 {
		name := fmt.Sprint("domain-", i)
		b.Rollout.Order = append(b.Rollout.Order, name)
		b.Routing.Domains = append(b.Routing.Domains, bundle.DomainRouting{Name: name, SlotPolicy: bundle.Shares})
	}
	s := newSession(2)
	for i := range changes {
		b.Version, b.BasedOn = uint64(i+1), uint64(i)
		b.Teams[i%teams].Queued++
		b.Teams[i*7%teams].InProgress += i
		text, err := bundle.Encode(b)
		if err != nil {
			tb.Fatal(err)
		}
		if a := s.apply(replaceCommand(fmt.Sprint("request-", i), text, b.Version, "linh", "mere")); !a.Done() {
			tb.Fatal(a.Message)
		}
	}
	return s.state
}

// BenchmarkEncode reports the size of the encoded state by the number of teams in
// the bundle and by the number of changes.
func BenchmarkEncode(b *testing.B) {
	for _, size := range []struct{ teams, changes int }{
		{13, 1000}, {26, 1000}, {51, 1000}, {102, 1000}, {51, 1}, {51, 16}, {51, 64}, {51, 128},
	} {
		b.Run(fmt.Sprintf("teams=%d/changes=%d", size.teams, size.changes), func(b *testing.B) {
			s := stateAfterChanges(b, size.teams, size.changes)
			var length int
			for b.Loop() {
				text, err := control.Encode(s)
				if err != nil {
					b.Fatal(err)
				}
				length = len(text)
			}
			b.ReportMetric(float64(length), "B/state")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	text, err := control.Encode(stateAfterChanges(b, 51, 1000))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := control.Decode(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	s := stateAfterChanges(b, 51, 1000)
	rules := rulesFor(2, operatorNames...)
	c := proposeCommand("new", "linh", document(1001, 1000, 0), 1001)
	for b.Loop() {
		if _, a := rules.Apply(s, c, time.Time{}); !a.Done() {
			b.Fatal(a.Message)
		}
	}
}
