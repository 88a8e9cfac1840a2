package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the case of a frozen edge machine.
const (
	frozenCycles  = 16
	frozenPeriod  = 5250 * time.Millisecond // and up to frozenJitter more
	frozenJitter  = 700 * time.Millisecond
	frozenFor     = 4 * time.Second        // the site file has 4.0 to 7.7 s
	leavesBefore  = 200 * time.Millisecond // before the freeze
	leavesAfter   = 3500 * time.Millisecond
	leavesAtOnce  = 2 // of 36 minions
	rollGap       = 2 * time.Second
	jobsPerSecond = 105 // as the sheet has for three of its four zones
	cpuOfAKind    = 6800
)

// kind is a kind of request of the sheet of tt-hutops.
type kind struct {
	prefix  string
	perMill int // of all jobs
	tasks   int
	ms      int64
}

var kinds = []kind{{"/avail/", 245, 8, 60}, {"/quote/", 44, 4, 900}, {"/avail/", 711, 2, 200}}

// playFrozen restarts the edge machines in turn. Then minions of a zone leave again and again, and
// the zone's only edge machine freezes just after.
func playFrozen(r *rig, trouble bool) int {
	rotation := r.probeReadiness()
	var stop atomic.Bool
	var clients sync.WaitGroup
	clients.Go(func() { r.sheet(rotation, &stop) })
	for _, m := range r.edges {
		m.mu.Lock()
		process, exited := m.process, m.exited
		m.mu.Unlock()
		r.disturbed()
		r.record("planned", m.name, "SIGTERM")
		_ = process.Process.Signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(6 * time.Second):
			_ = process.Process.Signal(syscall.SIGKILL)
		}
		time.Sleep(rollGap)
	}
	time.Sleep(time.Second)
	perZone := len(r.minions) / len(zones)
	next := time.Now()
	for i := range frozenCycles {
		zone := i % len(zones)
		for n := range leavesAtOnce {
			go r.minions[zone*perZone+leavesAtOnce*(i/len(zones))+n].leave(leavesAfter)
		}
		time.Sleep(leavesBefore)
		if trouble {
			r.freeze(r.edges[zone], frozenFor)
		}
		for n := range leavesAtOnce {
			if m, err := newMinion(r, zones[zone], 100+leavesAtOnce*i+n, r.control); err == nil {
				r.record("minion", m.id, "joins")
			}
		}
		next = next.Add(frozenPeriod + time.Duration(rand.Int64N(int64(frozenJitter))))
		time.Sleep(time.Until(next))
	}
	stop.Store(true)
	clients.Wait()
	if r.lateStarts.Load() > 0 {
		return broken
	}
	return held
}

func (r *rig) freeze(m *machine, length time.Duration) {
	m.mu.Lock()
	process := m.process.Process
	m.mu.Unlock()
	r.record("trouble", m.name, "node_freeze begins")
	_ = process.Signal(syscall.SIGSTOP)
	r.frozen.Store(true)
	time.Sleep(length)
	r.frozen.Store(false)
	r.disturbed()
	_ = process.Signal(syscall.SIGCONT)
	r.record("trouble", m.name, "node_freeze ends")
}

// sheet sends jobs as the sheet has them until stop is set.
func (r *rig) sheet(rotation *rotation, stop *atomic.Bool) {
	var wait sync.WaitGroup
	for i := 0; !stop.Load(); i++ {
		wait.Go(func() {
			k, left := kinds[len(kinds)-1], rand.IntN(1000)
			for _, each := range kinds {
				if left -= each.perMill; left < 0 {
					k = each
					break
				}
			}
			id, edge := newID(), rotation.pick(i%len(r.edges))
			body := jobText(fmt.Sprintf("%d %d", cpuOfAKind, k.ms), k.tasks, cpuOfAKind, k.ms)
			r.recordCall(edge, id, r.call(http.MethodPost, edge, k.prefix, id, body, 2*time.Second+time.Duration(k.ms)*time.Millisecond))
		})
		time.Sleep(time.Second / jobsPerSecond)
	}
	wait.Wait()
}

// rotation is what the platform knows of the edge machines.
type rotation struct {
	r      *rig
	mu     sync.Mutex
	misses []int
}

// probeReadiness asks each edge machine once a second whether it is ready.
func (r *rig) probeReadiness() *rotation {
	t := &rotation{r: r, misses: make([]int, len(r.edges))}
	for i, m := range r.edges {
		go func() {
			for ; !r.isOver(); time.Sleep(time.Second) {
				ready := r.readiness(m) == "200 OK"
				t.mu.Lock()
				if t.misses[i]++; ready {
					t.misses[i] = 0
				}
				t.mu.Unlock()
			}
		}()
	}
	return t
}

// pick returns the edge machine with a number or, without it, the next one in rotation.
func (t *rotation) pick(i int) *machine {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.misses {
		if t.misses[(i+n)%len(t.misses)] < 2 {
			return t.r.edges[(i+n)%len(t.misses)]
		}
	}
	return t.r.edges[i]
}

// readiness returns what the platform's probe of a machine is answered.
func (r *rig) readiness(m *machine) string {
	client := &http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + m.ip + ":" + readyPort + "/wasabifield/ready")
	if err != nil {
		return err.Error()
	}
	_ = answer.Body.Close()
	return answer.Status
}
