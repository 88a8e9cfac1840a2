package spill_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/spill"
)

func TestSpill(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Choosing a host of another failure domain")
}

var (
	now  = time.UnixMilli(1_700_000_000_000)
	own  = spill.Location{Domain: "own", Region: "r1"}
	need = spill.Need{Tasks: 5, Accelerators: 1}
)

// eligibleAdvert returns the advert of a host in the same region with capacity for need.
func eligibleAdvert(host string) spill.Advert {
	location := spill.Location{Domain: host, Region: own.Region}
	return spill.Advert{Host: host, Location: location, FreeSlots: 10, FreeAccelerators: 1, AdvertisedAt: now}
}

var _ = Describe("Choose", func() {
	var random *rand.Rand

	BeforeEach(func() { random = rand.New(rand.NewPCG(1, 1)) })

	It("returns an eligible host", func() {
		host, ok := spill.Choose(now, own, need, []spill.Advert{eligibleAdvert("b1")}, random)
		Expect(ok).To(BeTrue())
		Expect(host).To(Equal("b1"))
	})

	DescribeTable("ignores a host that is not eligible",
		func(spoil func(a *spill.Advert)) {
			a := eligibleAdvert("b1")
			spoil(&a)
			_, ok := spill.Choose(now, own, need, []spill.Advert{a}, random)
			Expect(ok).To(BeFalse())
		},
		Entry("own domain", func(a *spill.Advert) { a.Location.Domain = own.Domain }),
		Entry("unavailable", func(a *spill.Advert) { a.Unavailable = true }),
		Entry("old advert", func(a *spill.Advert) { a.AdvertisedAt = now.Add(-spill.MaxAdvertAge - 1) }),
		Entry("queue", func(a *spill.Advert) { a.QueuedTasks = 1 }),
		Entry("too few slots", func(a *spill.Advert) { a.FreeSlots = need.Tasks - 1 }),
		Entry("no accelerator", func(a *spill.Advert) { a.FreeAccelerators = 0 }),
	)

	It("prefers a host of its own region to one with more free slots", func() {
		far := eligibleAdvert("c1")
		far.Location.Region = "r2"
		far.FreeSlots = 1000
		for range 20 {
			host, _ := spill.Choose(now, own, need, []spill.Advert{far, eligibleAdvert("b1")}, random)
			Expect(host).To(Equal("b1"))
		}
	})
})
