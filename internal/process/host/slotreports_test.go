package host

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
)

// stated returns a question that states the slots of host a.
func stated(slots map[string]uint32) *peerpb.ExchangeMessage {
	holds := poolHoldings{slots: slots}.grants()
	return &peerpb.ExchangeMessage{Host: "a", Slots: []*peerpb.SlotMessage{{Full: true, Holds: holds}}}
}

// carry passes a question from a to b and returns the answer and what b read.
func carry(a, b *slotReportCodec, question *peerpb.ExchangeMessage) (answer, read *peerpb.ExchangeMessage, size int) {
	a.encode("b", question)
	size = proto.Size(question)
	read = proto.CloneOf(question)
	answer = &peerpb.ExchangeMessage{}
	b.decode(read, answer)
	return answer, read, size
}

func TestReceiverReadsTheStateOrNone(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	a, b := newSlotReportCodec(), newSlotReportCodec()
	slots := make(map[string]uint32)
	unread := 0
	for range 5000 {
		target := fmt.Sprint("t", random.IntN(20))
		if slots[target] = uint32(random.IntN(9)); slots[target] == 0 {
			delete(slots, target)
		}
		switch random.IntN(40) {
		case 0:
			a = newSlotReportCodec()
		case 1:
			b = newSlotReportCodec()
		}
		answer, read, _ := carry(a, b, stated(slots))
		if random.IntN(20) > 0 {
			a.acknowledge("b", answer)
		}
		got := read.GetSlots()[0]
		if !got.GetFull() {
			unread++
			continue
		}
		g.Expect(newPoolHoldings(got.GetHolds()).slots).To(Equal(slots))
	}
	g.Expect(unread).To(BeNumerically("<", 500))
}

func TestUnchangedSlotsCostFewBytes(t *testing.T) {
	g := NewWithT(t)
	a, b := newSlotReportCodec(), newSlotReportCodec()
	slots := make(map[string]uint32)
	for i := range 154 {
		slots[fmt.Sprint("target-", i)] = 4
	}
	answer, _, whole := carry(a, b, stated(slots))
	a.acknowledge("b", answer)
	_, _, again := carry(a, b, stated(slots))
	g.Expect(whole).To(BeNumerically(">", 2000))
	g.Expect(again).To(BeNumerically("<", 40))
}
