package spill_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/spill"
)

var now = time.UnixMilli(1_700_000_000_000)

func fit(host string) spill.Advert {
	return spill.Advert{Host: host, Place: spill.Place{Domain: host, Region: "r1"}, Free: 10, Heard: now}
}

func TestOnlyAFitHostIsChosen(t *testing.T) {
	own := spill.Place{Domain: "own", Region: "r1"}
	need := spill.Need{Tasks: 5, Accelerators: 1}
	cases := map[string]func(a *spill.Advert){
		"own domain":     func(a *spill.Advert) { a.Place.Domain = "own" },
		"unavailable":    func(a *spill.Advert) { a.Unavailable = true },
		"old":            func(a *spill.Advert) { a.Heard = now.Add(-spill.MaxAge - 1) },
		"queue":          func(a *spill.Advert) { a.Queued = 1 },
		"few slots":      func(a *spill.Advert) { a.Free = 4 },
		"no accelerator": func(a *spill.Advert) { a.Accelerators = 0 },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := fit("b1")
			a.Accelerators = 1
			random := rand.New(rand.NewPCG(1, 1))
			host, _ := spill.Choose(now, own, need, []spill.Advert{a}, random)
			g.Expect(host).To(Equal("b1"))
			spoil(&a)
			_, ok := spill.Choose(now, own, need, []spill.Advert{a}, random)
			g.Expect(ok).To(BeFalse())
		})
	}
}

func TestOwnRegionGoesFirst(t *testing.T) {
	g := NewWithT(t)
	far := fit("c1")
	far.Place.Region = "r2"
	far.Free = 1000
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		host, _ := spill.Choose(now, spill.Place{Domain: "own", Region: "r1"}, spill.Need{Tasks: 1}, []spill.Advert{far, fit("b1")}, random)
		g.Expect(host).To(Equal("b1"))
	}
}
