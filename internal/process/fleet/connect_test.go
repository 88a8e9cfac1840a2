package fleet

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// unresponsiveAddress returns the address of a loopback listener whose queue of new
// connections is full, so that opening packets to it are dropped, as those to a host
// without power are.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = syscall.Close(fd) })
	g.Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(syscall.Listen(fd, 0)).To(Succeed())
	name, err := syscall.Getsockname(fd)
	g.Expect(err).NotTo(HaveOccurred())
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for {
		conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// A host that starts before its seeds have power must try them again soon. A connection
// attempt without a timeout of its own waits for the kernel's next opening packet.
func TestAConnectionToAHostWithoutPowerIsGivenUpSoon(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testDialLimit)
	defer cancel()
	_, err := connect(ctx, unresponsiveAddress(t))
	var timeout net.Error
	g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeTrue(), "%v", err)
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
}

// testDialLimit is well above connectTimeout and below the time after which the kernel
// gives up by itself, two minutes.
const testDialLimit = 20 * time.Second
