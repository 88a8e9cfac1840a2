package fleet

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
)

// No token exceeds the largest one, so a claim with it took a pool from all hosts for good.
func TestAClaimWithATokenThatNoHostReachesTakesNoPool(t *testing.T) {
	t.Parallel()
	for _, token := range []uint64{maxToken + 1, math.MaxInt64 + 1, math.MaxUint64} {
		g := NewWithT(t)
		p, now := newHeldTestPool(t)
		p.node.pools[p.name] = p
		held := p.holderView.Claim()
		claims := []*fleetpb.Claim{
			{Pool: "north", Holder: "127.0.0.1:8", FencingToken: token}, {Pool: "south", Holder: "127.0.0.1:8", FencingToken: 5},
		}
		p.node.receiveHello(&fleetpb.Greeting{Claims: claims})
		applyEvents(p, now)
		g.Expect(p.heldHere.Load()).To(BeTrue())
		g.Expect(p.holderView.Claim()).To(Equal(held))
		g.Expect(p.node.claims).To(And(HaveLen(1), HaveKey("south")), "the other claims hold")

		_, err := (&service{node: p.node}).HandOver(t.Context(), &fleetpb.PoolState{Pool: "north", FencingToken: token})
		g.Expect(status.Code(err)).To(Equal(codes.InvalidArgument))
		p.holderView.RaiseToken(now)
		g.Expect(p.holderView.Claim().Token).To(BeNumerically(">", held.Token))
	}
}

// A row of a list with a start far ahead hid the host itself until the row was forgotten.
func TestAnOddRowOfAListOfHostsHidesNoHost(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(h *fleetpb.Host){
		"last incarnation": func(h *fleetpb.Host) { h.Incarnation = math.MaxUint64 },
		"born in a year":   func(h *fleetpb.Host) { h.Incarnation = uint64(time.Now().AddDate(1, 0, 0).UnixMilli()) },
		"no address":       func(h *fleetpb.Host) { h.Address = "" },
		"address of lines": func(h *fleetpb.Host) { h.Address = "127.0.0.1:1\n" },
		"huge address":     func(h *fleetpb.Host) { h.Address = strings.Repeat("1", 100<<10) },
		"silent for long":  func(h *fleetpb.Host) { h.AgeMs = math.MaxUint32 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, _ := newHeldTestPool(t)
			p.node.pools[p.name] = p
			row := func() *fleetpb.Host {
				return &fleetpb.Host{Address: "127.0.0.1:9", Domain: "south", Incarnation: uint64(time.Now().UnixMilli()), Entry: true}
			}
			p.node.links["127.0.0.1:9"] = nil // no link is opened
			odd := row()
			change(odd)
			p.node.receiveHello(&fleetpb.Greeting{Hosts: []*fleetpb.Host{odd}})
			p.node.receiveHello(&fleetpb.Greeting{Hosts: []*fleetpb.Host{row()}})
			g.Expect(p.node.Hosts()).To(HaveLen(1))
			g.Expect(p.node.Hosts()[0].Incarnation).To(BeNumerically("<=", uint64(time.Now().UnixMilli())))
			g.Expect(p.node.links).To(HaveLen(1), "a link to the odd host was opened")
		})
	}
}
