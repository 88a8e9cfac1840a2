package launch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/standin/launch"
)

func TestNoPortIsGivenTwiceWhileItsOwnerLives(t *testing.T) {
	const count = 200
	g := NewWithT(t)
	given := map[string]bool{}
	owners := []*launch.PortAllocator{launch.NewPortAllocator(), launch.NewPortAllocator()}
	for i := range count {
		address, err := owners[i%len(owners)].AllocateAddress()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(given[address]).To(BeFalse(), address)
		given[address] = true
	}
	g.Expect(owners).To(HaveLen(2))
}
