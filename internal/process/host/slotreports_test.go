package host

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
)

// fullReport returns a request of host a that states all its slots.
func fullReport(slots map[string]uint32) *peerpb.ExchangeMessage {
	holds := poolHoldings{slots: slots}.grants()
	return &peerpb.ExchangeMessage{Host: "a", Slots: []*peerpb.SlotMessage{{Full: true, Holds: holds}}}
}

// sendReport encodes a request at the sender and decodes it at the receiver. It
// returns the receiver's response, the decoded request and the encoded size in
// bytes.
func sendReport(sender, receiver *slotReportCodec, request *peerpb.ExchangeMessage) (response, decoded *peerpb.ExchangeMessage, size int) {
	sender.encode("b", request)
	size = proto.Size(request)
	decoded = proto.CloneOf(request)
	response = &peerpb.ExchangeMessage{}
	receiver.decode(decoded, response)
	return response, decoded, size
}

func TestReceiverDecodesTheFullStateOrNone(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	sender, receiver := newSlotReportCodec(), newSlotReportCodec()
	slots := make(map[string]uint32)
	undecoded := 0
	for range 5000 {
		target := fmt.Sprint("t", random.IntN(20))
		if slots[target] = uint32(random.IntN(9)); slots[target] == 0 {
			delete(slots, target)
		}
		switch random.IntN(40) {
		case 0:
			sender = newSlotReportCodec()
		case 1:
			receiver = newSlotReportCodec()
		}
		response, decoded, _ := sendReport(sender, receiver, fullReport(slots))
		if random.IntN(20) > 0 {
			sender.acknowledge("b", response)
		}
		report := decoded.GetSlots()[0]
		if !report.GetFull() {
			undecoded++
			continue
		}
		g.Expect(newPoolHoldings(report.GetHolds()).slots).To(Equal(slots))
	}
	g.Expect(undecoded).To(BeNumerically("<", 500))
}

func TestReportOfUnchangedSlotsIsSmall(t *testing.T) {
	g := NewWithT(t)
	sender, receiver := newSlotReportCodec(), newSlotReportCodec()
	slots := make(map[string]uint32)
	for i := range 154 {
		slots[fmt.Sprint("target-", i)] = 4
	}
	response, _, fullSize := sendReport(sender, receiver, fullReport(slots))
	sender.acknowledge("b", response)
	_, _, deltaSize := sendReport(sender, receiver, fullReport(slots))
	g.Expect(fullSize).To(BeNumerically(">", 2000))
	g.Expect(deltaSize).To(BeNumerically("<", 40))
}
