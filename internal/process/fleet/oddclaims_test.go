package fleet

import (
	"math"
	"testing"

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
