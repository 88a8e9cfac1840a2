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
	own  = spill.Place{Domain: "own", Region: "r1"}
	need = spill.Need{Tasks: 5, Accelerators: 1}
)

// fit returns the advert of a host of the own region that need suits.
func fit(host string) spill.Advert {
	place := spill.Place{Domain: host, Region: own.Region}
	return spill.Advert{Host: host, Place: place, Free: 10, Accelerators: 1, Heard: now}
}

var _ = Describe("Choose", func() {
	var random *rand.Rand

	BeforeEach(func() { random = rand.New(rand.NewPCG(1, 1)) })

	It("takes a fit host", func() {
		host, ok := spill.Choose(now, own, need, []spill.Advert{fit("b1")}, random)
		Expect(ok).To(BeTrue())
		Expect(host).To(Equal("b1"))
	})

	DescribeTable("passes over a host that is not fit",
		func(spoil func(a *spill.Advert)) {
			a := fit("b1")
			spoil(&a)
			_, ok := spill.Choose(now, own, need, []spill.Advert{a}, random)
			Expect(ok).To(BeFalse())
		},
		Entry("own domain", func(a *spill.Advert) { a.Place.Domain = own.Domain }),
		Entry("unavailable", func(a *spill.Advert) { a.Unavailable = true }),
		Entry("old advert", func(a *spill.Advert) { a.Heard = now.Add(-spill.MaxAge - 1) }),
		Entry("queue", func(a *spill.Advert) { a.Queued = 1 }),
		Entry("few slots", func(a *spill.Advert) { a.Free = need.Tasks - 1 }),
		Entry("no accelerator", func(a *spill.Advert) { a.Accelerators = 0 }),
	)

	It("takes a host of the own region before one with more free slots", func() {
		far := fit("c1")
		far.Place.Region = "r2"
		far.Free = 1000
		for range 20 {
			host, _ := spill.Choose(now, own, need, []spill.Advert{far, fit("b1")}, random)
			Expect(host).To(Equal("b1"))
		}
	})
})
