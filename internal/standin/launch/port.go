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

// Ports below the range that the kernel gives to outgoing connections, so that
// none of these takes a port between its choice and its use.
const (
	lowestPort  = 15_000
	highestPort = 32_000
	portTries   = 1000
)

// PortAllocator chooses free ports, each once. It is not safe for concurrent use.
type PortAllocator struct {
	locks []*os.File // held until the process ends
}

// NewPortAllocator returns a Ports that has given none.
func NewPortAllocator() *PortAllocator { return &PortAllocator{} }

// AllocateAddress returns 127.0.0.1 with a port that nothing listens at. A lock on a
// file keeps other processes on the machine from choosing the port too, from
// its choice until it is listened at and while its host restarts.
func (p *PortAllocator) AllocateAddress() (string, error) {
	folder := filepath.Join(os.TempDir(), "wasabifield-ports")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		lock, err := lockFile(filepath.Join(folder, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !isFree(address) {
			_ = lock.Close()
			continue
		}
		p.locks = append(p.locks, lock)
		return address, nil
	}
	return "", fmt.Errorf("no free port in %d tries", portTries)
}

// lockFile locks a file until it is closed or the process ends. It fails if
// the file is locked already, be it by this process.
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

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
