package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"
)

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// firstStart is the case of a control process that is killed just after the whole system has
// started for the first time. The last control process starts 0.25 s after the others: all start
// within 0.3 s of each other.
func firstStart(l *Lab, c *Checker) error {
	cores := l.cores()
	sort.Slice(cores, func(i, j int) bool { return cores[i].addr(l.ports.peer) < cores[j].addr(l.ports.peer) })
	last, killed := cores[len(cores)-1], cores[:1]
	if os.Getenv("ALL") == "1" { // all start at once, and all control processes are killed
		last, killed = nil, cores
	}
	for _, h := range l.hosts {
		if h == last {
			continue
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	began := time.Now()
	stableFrom := began
	if trouble() {
		time.Sleep(200*time.Millisecond - time.Since(began))
		for _, h := range killed {
			h.kill()
		}
		if err := startLast(last, began); err != nil {
			return err
		}
		time.Sleep(700*time.Millisecond - time.Since(began))
		for _, h := range killed {
			if err := h.start(); err != nil {
				return err
			}
		}
		stableFrom = time.Now()
	} else if err := startLast(last, began); err != nil {
		return err
	}
	// The core is stable contact_ms (3 s) after its last disruption. The operator sends its first
	// configuration, and again, to all nodes in turn.
	took, ok := l.put(1, 40*time.Second)
	l.record.add("the first configuration: acknowledged %v, after %v of sending, %v after the last disruption of the core", ok, took.Round(time.Millisecond), time.Since(stableFrom).Round(time.Millisecond))
	if time.Since(stableFrom) > 3*time.Second+4*time.Second && !ok {
		c.mu.Lock()
		c.fail("Acks", "the first configuration has no acknowledgement %v after the last disruption; ack_ms is 4 s", time.Since(stableFrom).Round(time.Second))
		c.mu.Unlock()
	}
	client := &http.Client{Timeout: time.Second}
	for _, h := range l.edges("") {
		a, err := client.Post("http://"+h.front()+jobPrefix+"0123456789abcdef", "application/json", strings.NewReader("{}"))
		if err == nil {
			l.record.add("a client at %s is answered %d", h.name, a.StatusCode)
			a.Body.Close()
		}
	}
	return nil
}

// startLast starts the last control process 0.25 s after the others.
func startLast(last *Host, began time.Time) error {
	if last == nil {
		return nil
	}
	time.Sleep(250*time.Millisecond - time.Since(began))
	return last.start()
}

// ready starts the hosts and minions, puts the first configuration and waits for readiness.
func (l *Lab) readyUp(ctx context.Context, c *Checker, perZone int) (*Balancer, error) {
	for zi, z := range l.zones {
		for i := range perZone {
			if _, err := newMinion(l, c, fmt.Sprintf("i-%s-%d", z, i), z, fmt.Sprintf("r%d-%d", zi, i/6), 16000); err != nil {
				return nil, err
			}
		}
	}
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	if _, ok := l.put(1, 15*time.Second); !ok {
		return nil, fmt.Errorf("the first configuration was not acknowledged")
	}
	b := newBalancer(ctx, l)
	for t := time.Now(); !b.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Since(t) > 15*time.Second {
			return nil, fmt.Errorf("not all nodes became ready")
		}
	}
	return b, nil
}

// shrunk is the case of an idle minion that is cut off from control, crashes behind the cut and
// starts again, under its id and address, as a smaller kind.
func shrunk(l *Lab, c *Checker) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l.admits = false
	const perZone, small, large, need = 5, 16000, 24000, 6800
	b, err := l.readyUp(ctx, c, perZone)
	if err != nil {
		return err
	}
	for _, z := range l.zones { // one minion of each zone is of the larger kind
		m := l.minion("i-" + z + "-0")
		m.set(func() { m.cpu, m.labels[0] = large, "b" })
		m.sendBeat()
	}
	time.Sleep(3 * time.Second)
	for _, z := range l.zones {
		m := l.minion("i-" + z + "-0")
		cutAt := time.Now()
		if trouble() {
			m.set(func() { m.cut = true })
			l.record.add("%s is cut off from control", m.id)
			m.crash(300*time.Millisecond, func() { m.cpu, m.labels[0] = small, "a" })
		}
		// Jobs come one after the other. Each fills the zone: two tasks on each smaller minion,
		// three on the larger one.
		for time.Since(cutAt) < 4*time.Second {
			c.sendJob(b.pick(z, nil), []Step{{Count: 2*(perZone-1) + large/need, CPU: need, Mem: 64, MS: 100}}, 3*time.Second)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Until(cutAt.Add(4800 * time.Millisecond)))
		if trouble() {
			m.set(func() { m.cut = false })
			l.record.add("%s reaches control again", m.id)
			m.sendBeat()
		}
		time.Sleep(4 * time.Second)
	}
	return nil
}
