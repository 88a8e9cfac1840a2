package ticket_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

var start = time.UnixMilli(1_700_000_000_000)

func TestTicketIsAcceptedOnlyByItsIncarnation(t *testing.T) {
	g := NewWithT(t)
	first := ticket.NewMinter(ticket.Issuer{Host: "a1", Incarnation: 1}, []byte("key one"), time.Minute)
	second := ticket.NewMinter(ticket.Issuer{Host: "a1", Incarnation: 2}, []byte("key two"), time.Minute)
	other := ticket.NewMinter(ticket.Issuer{Host: "b1", Incarnation: 1}, []byte("key one"), time.Minute)
	text := first.Issue(start)

	g.Expect(first.Check(text, start)).To(Succeed())
	g.Expect(failure.KindOf(second.Check(text, start))).To(Equal(failure.RecordLost))
	g.Expect(failure.KindOf(other.Check(text, start))).To(Equal(failure.TicketInvalid))
	g.Expect(failure.KindOf(first.Check(text, start.Add(time.Minute)))).To(Equal(failure.TicketExpired))
}

func TestAlteredTicketIsRefused(t *testing.T) {
	m := ticket.NewMinter(ticket.Issuer{Host: "a1", Incarnation: 1}, []byte("key"), time.Minute)
	text := m.Issue(start)
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, len(text)-1).Draw(t, "position")
		c := byte(rapid.IntRange(1, 255).Draw(t, "change"))
		altered := []byte(text)
		altered[i] ^= c
		if m.Check(string(altered), start) == nil {
			t.Fatalf("accepted with byte %d changed", i)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("wf1.AAAA")
	f.Add(ticket.NewMinter(ticket.Issuer{Host: "a1", Incarnation: 1}, []byte("key"), time.Minute).Issue(start))
	f.Fuzz(func(t *testing.T, text string) {
		_, err := ticket.Parse(text)
		if err != nil && failure.KindOf(err) == failure.Internal {
			t.Fatalf("%q: %v", text, err)
		}
	})
}
