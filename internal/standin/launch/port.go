package launch

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// Ports are allocated below the range from which the kernel assigns ports to
// outgoing connections, so that no outgoing connection occupies a port between
// its allocation and its use. highestPort itself is never allocated.
const (
	lowestPort      = 15_000
	highestPort     = 32_000
	maxPortAttempts = 1000
)

// PortAllocator allocates free TCP ports, each at most once. It is not safe for
// concurrent use.
type PortAllocator struct {
	locks []*os.File // one per allocated port, held until the process ends
}

// NewPortAllocator returns a PortAllocator that has allocated no port.
func NewPortAllocator() *PortAllocator { return &PortAllocator{} }

// AllocateAddress returns 127.0.0.1 with a port at which no process listens. A
// lock on a file in the temporary folder keeps other allocators, also those of
// other processes on the machine, from allocating the port between its
// allocation and its first use and while the host that uses it restarts.
func (p *PortAllocator) AllocateAddress() (string, error) {
	folder := filepath.Join(os.TempDir(), "wasabifield-ports")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	for range maxPortAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		lock, err := lockFile(filepath.Join(folder, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !isPortFree(address) {
			_ = lock.Close()
			continue
		}
		p.locks = append(p.locks, lock)
		return address, nil
	}
	return "", fmt.Errorf("no free port on 127.0.0.1 found in %d attempts", maxPortAttempts)
}

// lockFile opens a file, which it creates if necessary, and locks it until the
// file is closed or the process ends. It returns an error if the file is
// already locked, also if this process holds the lock.
func lockFile(name string) (*os.File, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func isPortFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
