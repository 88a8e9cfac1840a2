package control_test

import (
	"fmt"
	"testing"
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

// sitedState returns the state after the given number of changes of a bundle
// with 51 teams and 13 failure domains.
func sitedState(tb testing.TB, changes int) control.State {
	tb.Helper()
	b := bundle.Default()
	for i := range 51 {
		b.Teams = append(b.Teams, bundle.Team{Name: fmt.Sprint("team-", i), Quota: b.OtherTeams})
	}
	for i := range 13 {
		name := fmt.Sprint("domain-", i)
		b.Roll.Order = append(b.Roll.Order, name)
		b.Routing.Domains = append(b.Routing.Domains, bundle.DomainRouting{Name: name, SlotPolicy: bundle.Shares})
	}
	s := newSession(2)
	for i := range changes {
		b.Version, b.BasedOn = uint64(i+1), uint64(i)
		b.Teams[i%51].Queued++
		b.Teams[i*7%51].InProgress += i
		text, err := bundle.Encode(b)
		if err != nil {
			tb.Fatal(err)
		}
		if a := s.apply(replace(fmt.Sprint("request-", i), text, b.Version, "linh", "mere")); !a.Done() {
			tb.Fatal(a.Message)
		}
	}
	return s.state
}

func BenchmarkEncode(b *testing.B) {
	s := sitedState(b, 1000)
	var size int
	for b.Loop() {
		text, err := control.Encode(s)
		if err != nil {
			b.Fatal(err)
		}
		size = len(text)
	}
	b.ReportMetric(float64(size), "B/state")
}

func BenchmarkDecode(b *testing.B) {
	text, err := control.Encode(sitedState(b, 1000))
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
	s := sitedState(b, 1000)
	rules := rulesFor(2, names...)
	c := propose("new", "linh", document(1001, 1000, 0), 1001)
	for b.Loop() {
		if _, a := rules.Apply(s, c, time.Time{}); !a.Done() {
			b.Fatal(a.Message)
		}
	}
}
