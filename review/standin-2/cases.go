package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// firstStart is the case of a control process that is killed just after the whole system has
// started for the first time.
func firstStart(l *Lab, c *Checker) error {
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	began := time.Now()
	cores := l.cores()
	sort.Slice(cores, func(i, j int) bool { return cores[i].addr(l.ports.peer) < cores[j].addr(l.ports.peer) })
	stableFrom := began
	if trouble() {
		time.Sleep(200*time.Millisecond - time.Since(began))
		killed := cores[:1]
		if os.Getenv("ALL") == "1" { // all control processes at the same moment, back within a second
			killed = cores
		}
		for _, h := range killed {
			h.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range killed {
			if err := h.start(); err != nil {
				return err
			}
		}
		stableFrom = time.Now()
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
	for _, h := range l.edges("") {
		a, err := http.Post("http://"+h.front()+jobPrefix+"0123456789abcdef", "application/json", strings.NewReader("{}"))
		if err == nil {
			l.record.add("a client at %s is answered %d", h.name, a.StatusCode)
			a.Body.Close()
		}
	}
	return nil
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

// cancelled is the case of a client that cancels its job.
func cancelled(l *Lab, c *Checker) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	b, err := l.readyUp(ctx, c, 4)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	var jobs sync.WaitGroup
	for _, z := range l.zones {
		jobs.Go(func() { c.cancelOne(l, b, z) })
	}
	jobs.Wait()
	return nil
}

// cancelOne submits a job of two steps and cancels it 0.5 s later.
func (c *Checker) cancelOne(l *Lab, b *Balancer, zone string) {
	steps := []Step{{Count: 2, CPU: 5000, Mem: 64, MS: 3800}, {Count: 2, CPU: 5000, Mem: 64, MS: 3800, After: []int{0}}}
	j := &Job{id: fmt.Sprintf("%016x", time.Now().UnixNano()), steps: steps, width: 4, spec: ""}
	j.spec = fmt.Sprintf("5000 3800 %s", j.id)
	c.submit(j)
	text, _ := json.Marshal(steps)
	body := fmt.Appendf(nil, `{"spec":%q,"best_effort":true,"steps":%s}`, j.spec, text)
	h := b.pick(zone, nil)
	done := make(chan int, 1)
	go func() { done <- c.send(j, h, body, 30*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	if trouble() {
		r, _ := http.NewRequest("DELETE", "http://"+h.front()+jobPrefix+j.id, nil)
		r.Host = jobHost
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			l.record.add("client: cancelling job %s: %v", j.id, err)
			return
		}
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
		l.record.add("client: the cancelling of job %s is answered %d by %s", j.id, a.StatusCode, h.name)
		if a.StatusCode/100 == 2 || a.StatusCode == 410 {
			c.mu.Lock()
			j.cancelAt = time.Now()
			c.mu.Unlock()
			time.Sleep(3*time.Second + 50*time.Millisecond + 100*time.Millisecond) // cancel_ms, stop_ms and a margin
			c.mu.Lock()
			for t, r := range j.active {
				c.fail("UNASKED", "%s runs on %s %v after the cancelling of its job was acknowledged", t, r.minion.id, time.Since(j.cancelAt).Round(time.Millisecond))
			}
			c.mu.Unlock()
		}
	}
	l.record.add("client: job %s ended with %d", j.id, <-done)
}

// stopped is the case of edges that are stopped as planned, in turn, while jobs wait for a place.
func stopped(l *Lab, c *Checker) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l.timeout = 20000
	b, err := l.readyUp(ctx, c, 4)
	if err != nil {
		return err
	}
	for _, m := range l.minions { // one of four is of the other kind
		if strings.HasSuffix(m.id, "-0") {
			m.set(func() { m.labels[0] = "b" })
			m.sendBeat()
		}
	}
	time.Sleep(3 * time.Second)
	for _, zone := range []string{l.zones[1], l.zones[2], l.zones[1], l.zones[2]} {
		if err := c.stopOne(l, l.edges(zone)[0]); err != nil {
			return err
		}
		began := time.Now()
		for !b.allReady() {
			if time.Since(began) > 10*time.Second {
				return fmt.Errorf("an edge is not ready 10 s after its start")
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(3 * time.Second) // contact_ms
	}
	return nil
}

// stopOne stops one edge while jobs that were sent to it wait.
func (c *Checker) stopOne(l *Lab, edge *Host) error {
	const waiting = 60
	type result struct {
		j           *Job
		status      int
		sent, ended time.Time
	}
	// A long job fills the minion of the other kind, so that what needs that kind waits.
	filled := make(chan bool)
	go func() {
		c.sendJob(edge, []Step{{Count: 2, CPU: 7000, Mem: 64, MS: 9000, Label: "b"}}, 40*time.Second)
		close(filled)
	}()
	time.Sleep(300 * time.Millisecond)
	results := make(chan result, waiting)
	for range waiting {
		go func() {
			sent := time.Now()
			j, status := c.sendJob(edge, []Step{{Count: 1, CPU: 500, Mem: 64, MS: 2500}, {Count: 1, CPU: 7000, Mem: 64, MS: 2500, Label: "b", After: []int{0}}}, 12*time.Second)
			results <- result{j, status, sent, time.Now()}
		}()
	}
	time.Sleep(400 * time.Millisecond)
	at := time.Now()
	if trouble() {
		edge.term()
		l.record.add("%s has ended %v after its SIGTERM", edge.name, time.Since(at).Round(time.Millisecond))
		time.Sleep(500 * time.Millisecond)
		if err := edge.start(); err != nil {
			return err
		}
	}
	for range waiting {
		r := <-results
		c.mu.Lock()
		lastSixth, atWork := at.Add(5*time.Second), false // of grace_s
		for _, x := range r.j.past {
			atWork = atWork || x.endedAt.IsZero() || x.endedAt.After(lastSixth)
		}
		l.record.add("job %s: status %d (0: no answer) %v after it was sent, %d starts, at work in the last sixth of grace_s: %v", r.j.id, r.status, r.ended.Sub(r.sent).Round(time.Millisecond), r.j.starts, atWork)
		if trouble() && r.status == 0 && r.j.starts > 0 && !atWork && r.ended.Before(at.Add(7*time.Second)) {
			c.fail("LOST", "the connection of job %s ended without an answer %v after the SIGTERM of %s; a minion had run a task of it, none was at work", r.j.id, r.ended.Sub(at).Round(time.Millisecond), edge.name)
		}
		c.mu.Unlock()
	}
	<-filled
	return nil
}

// sendJob sends a job once.
func (c *Checker) sendJob(h *Host, steps []Step, wait time.Duration) (*Job, int) {
	j := &Job{id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps}
	for _, s := range steps {
		j.width += s.Count
	}
	j.spec = fmt.Sprintf("%d %d %s", steps[0].CPU, steps[0].MS, j.id)
	c.submit(j)
	text, _ := json.Marshal(steps)
	return j, c.send(j, h, fmt.Appendf(nil, `{"spec":%q,"best_effort":true,"steps":%s}`, j.spec, text), wait)
}
