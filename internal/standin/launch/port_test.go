package launch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/standin/launch"
)

// The allocators share the locks of the ports only through files, so a lock that
// one allocator of a process holds must exclude the other as well.
func TestAllocatorsOfOneProcessNeverReturnTheSamePort(t *testing.T) {
	const count = 200
	g := NewWithT(t)
	returned := map[string]bool{}
	allocators := []*launch.PortAllocator{launch.NewPortAllocator(), launch.NewPortAllocator()}
	for i := range count {
		address, err := allocators[i%len(allocators)].AllocateAddress()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(returned[address]).To(BeFalse(), address)
		returned[address] = true
	}
	g.Expect(allocators).To(HaveLen(2))
}
