package crowd

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const sampleInterval = 5 * time.Millisecond

// Usage is the most that a process has used.
type Usage struct {
	MemoryBytes int64 // resident, and received by the kernel but not read
	Descriptors int
}

// Watch samples what a process uses.
type Watch struct {
	pid        int
	ip         netip.Addr
	stop       chan struct{}
	stopped    sync.WaitGroup
	mostUnread int64
	mostFiles  int
	err        error
}

// NewWatch watches the process that listens on the IP address until Stop.
func NewWatch(pid int, ip netip.Addr) *Watch {
	w := &Watch{pid: pid, ip: ip, stop: make(chan struct{})}
	w.stopped.Go(func() {
		for w.err == nil {
			w.sample()
			select {
			case <-w.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return w
}

// Stop ends the watch and returns the most that the process has used.
func (w *Watch) Stop() (Usage, error) {
	close(w.stop)
	w.stopped.Wait()
	if w.err != nil {
		return Usage{}, w.err
	}
	resident, err := peakResident(w.pid)
	return Usage{MemoryBytes: resident + w.mostUnread, Descriptors: w.mostFiles}, err
}

func (w *Watch) sample() {
	unread, err := unreadBytes(w.ip)
	if err != nil {
		w.err = err
		return
	}
	files, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(w.pid), "fd"))
	w.mostUnread, w.mostFiles, w.err = max(w.mostUnread, unread), max(w.mostFiles, len(files)), err
}

// peakResident returns the largest resident set that a process has had.
func peakResident(pid int) (int64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no resident set", pid)
}

// unreadBytes returns how much the kernel has received on the connections of a local IP
// address that no process has read.
func unreadBytes(ip netip.Addr) (int64, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	address := ip.As4()
	local := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(address[:]))
	const established = "01"
	var total int64
	for line := range strings.Lines(string(text)) {
		// The fields are: number, local address, remote address, state, tx_queue:rx_queue.
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] != established {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}
