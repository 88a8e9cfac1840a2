package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Net is what is cut. Names are those of hosts and minions.
type Net struct {
	lab     *Lab
	mu      sync.Mutex
	cut     map[[2]string]int // bytes from the first to the second are held up
	changed chan struct{}
}

func newNet(l *Lab) *Net { return &Net{lab: l, cut: map[[2]string]int{}, changed: make(chan struct{})} }

func (n *Net) add(pairs [][2]string, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range pairs {
		n.cut[p] += by
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait waits while bytes from one to another are held up.
func (n *Net) wait(from, to string) {
	for {
		n.mu.Lock()
		held, ch := n.cut[[2]string{from, to}] > 0, n.changed
		n.mu.Unlock()
		if !held {
			return
		}
		<-ch
	}
}

// owner returns the host whose process has a socket with the given local and remote address.
func (n *Net) owner(local, remote net.Addr) string {
	l, r := local.(*net.TCPAddr), remote.(*net.TCPAddr)
	hex := func(a *net.TCPAddr) string {
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	want := " " + hex(r) + " " + hex(l) + " "
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.Contains(line, want) {
			continue
		}
		f := strings.Fields(line)
		socket := "socket:[" + f[9] + "]"
		for _, h := range n.lab.hosts {
			h.mu.Lock()
			pid := 0
			if h.cmd != nil {
				pid = h.cmd.Process.Pid
			}
			h.mu.Unlock()
			dir := fmt.Sprintf("/proc/%d/fd", pid)
			fds, _ := os.ReadDir(dir)
			for _, fd := range fds {
				if to, _ := os.Readlink(filepath.Join(dir, fd.Name())); to == socket {
					return h.name
				}
			}
		}
	}
	return ""
}

// relay passes connections on to the owner of an address.
func (n *Net) relay(listener net.Listener, to, address string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			from := n.owner(c.LocalAddr(), c.RemoteAddr())
			if from != "" {
				n.wait(from, to)
				n.wait(to, from)
			}
			d, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			var both sync.WaitGroup
			both.Go(func() { n.pipe(c, d, from, to) })
			both.Go(func() { n.pipe(d, c, to, from) })
			both.Wait()
			c.Close()
			d.Close()
		}()
	}
}

func (n *Net) pipe(src, dst net.Conn, from, to string) {
	buffer := make([]byte, 16<<10)
	for {
		k, err := src.Read(buffer)
		if from != "" && to != "" {
			n.wait(from, to)
		}
		if k > 0 {
			if _, werr := dst.Write(buffer[:k]); werr != nil {
				src.(*net.TCPConn).SetLinger(0)
				src.Close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				dst.(*net.TCPConn).SetLinger(0)
				dst.Close()
				return
			}
			dst.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
