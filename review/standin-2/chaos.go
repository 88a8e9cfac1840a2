package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

var planned bool // only planned work

var long float64 // share of long jobs

var allLate bool // orders to all minions are carried out late, a share of them

// chaos plays random disruptions and looks for broken rules. It is no case: it searches for some.
func chaos(l *Lab, c *Checker, seed uint64, length time.Duration, rate float64, perZone int, late float64) error {
	random := rand.New(rand.NewPCG(seed, 7))
	for zi, z := range l.zones {
		for i := range perZone {
			m, err := newMinion(l, c, fmt.Sprintf("i-%s-%d", z, i), z, fmt.Sprintf("r%d-%d", zi, i/6), 16000)
			if err != nil {
				return err
			}
			m.guards = l.admits
			if i%2 == 1 {
				m.labels[0] = "b"
			}
		}
	}
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	if _, ok := l.put(1, 15*time.Second); !ok {
		return fmt.Errorf("no configuration")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newBalancer(ctx, l)
	for t := time.Now(); !b.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Since(t) > 15*time.Second {
			return fmt.Errorf("not ready")
		}
	}
	var jobs sync.WaitGroup
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			zone := l.zones[rand.IntN(len(l.zones))]
			width, ms := 2, 100+rand.IntN(200)
			switch rand.IntN(14) {
			case 0, 1, 2:
				width, ms = 4+rand.IntN(8), 30+rand.IntN(60)
			case 3:
				width, ms = 2+rand.IntN(4), 500+rand.IntN(900)
			}
			if rand.Float64() < long {
				width, ms = 1+rand.IntN(3), 1200+rand.IntN(2400)
			}
			cpu := 5800 + rand.IntN(2000)
			steps := []Step{{Count: width, CPU: cpu, Mem: 64, MS: ms}}
			if rand.IntN(3) == 0 {
				steps = append(steps, Step{Count: 1 + rand.IntN(3), CPU: cpu, Mem: 64, MS: ms, After: []int{0}})
			}
			switch rand.IntN(8) {
			case 0:
				steps[0].Label = "b"
			case 1:
				steps[0].Spread = 1
			}
			jobs.Go(func() { c.run(b, zone, steps, 3) })
		}
	}()
	if allLate {
		for _, m := range l.minions {
			m.set(func() { m.lateness = late })
		}
	}
	version := 1
	busy := map[*Host]bool{}
	var mu sync.Mutex
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		kind := random.IntN(14)
		if planned {
			kind = []int{4, 4, 13, 14, 14, 15}[random.IntN(6)]
		}
		if allLate {
			kind = []int{0, 0, 0, 1, 2, 4, 7, 11}[random.IntN(8)]
		}
		if l.net != nil && random.IntN(3) == 0 {
			go l.cutSomething(random.Uint64(), d0(random))
			continue
		}
		edges := l.edges("")
		h := edges[random.IntN(len(edges))]
		m := l.minions[random.IntN(len(l.minions))]
		d := time.Duration(200+random.IntN(3000)) * time.Millisecond
		take := func(h *Host, f func()) {
			mu.Lock()
			n := 0
			for o, x := range busy {
				if x && o.core == h.core {
					n++
				}
			}
			free := !busy[h] && (h.core && n == 0 || !h.core && n < 2)
			if free {
				busy[h] = true
			}
			mu.Unlock()
			if free {
				go func() {
					f()
					if h.core {
						time.Sleep(4 * time.Second)
					}
					mu.Lock()
					busy[h] = false
					mu.Unlock()
				}()
			}
		}
		switch kind {
		case 0:
			take(h, func() { h.kill(); time.Sleep(500 * time.Millisecond); h.start() })
		case 1, 2, 3:
			take(h, func() { h.signal(syscall.SIGSTOP); time.Sleep(d); h.signal(syscall.SIGCONT) })
		case 4, 5:
			take(h, func() { h.term(); time.Sleep(300 * time.Millisecond); h.start() })
		case 6:
			cores := l.cores()
			h := cores[random.IntN(len(cores))]
			take(h, func() { h.kill(); time.Sleep(500 * time.Millisecond); h.start() })
		case 7, 8:
			go func() { m.set(func() { m.silent = true }); time.Sleep(d); m.set(func() { m.silent = false }) }()
		case 9:
			go func() { m.set(func() { m.mute = true }); time.Sleep(d); m.set(func() { m.mute = false }) }()
		case 10:
			go func() { m.set(func() { m.lateness = late }); time.Sleep(d); m.set(func() { m.lateness = 0 }) }()
		case 11:
			go m.crash(d)
			if random.IntN(2) == 0 {
				m.set(func() { m.labels[0] = []string{"a", "b"}[random.IntN(2)] })
			}
		case 12:
			go func() { m.set(func() { m.still = true }); time.Sleep(d); m.set(func() { m.still = false }) }()
		case 14:
			go func() {
				m.mu.Lock()
				already := m.draining
				m.draining, m.ackedAt = true, time.Time{}
				m.mu.Unlock()
				if already {
					return
				}
				m.sendBeat()
				time.Sleep(time.Duration(3000+rand.IntN(5000)) * time.Millisecond)
				m.leave(500 * time.Millisecond)
			}()
		case 15:
			h.signal(syscall.SIGHUP)
		case 13:
			version += 1 + random.IntN(3)
			v := version
			go l.put(v, 5*time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	cancel()
	jobs.Wait()
	return nil
}

func d0(random *rand.Rand) time.Duration {
	return time.Duration(300+random.IntN(5000)) * time.Millisecond
}

// cutSomething cuts links for a while.
func (l *Lab) cutSomething(seed uint64, d time.Duration) {
	random := rand.New(rand.NewPCG(seed, 9))
	var pairs [][2]string
	link := func(a, b string, way int) {
		if a == b {
			return
		}
		if way != 1 {
			pairs = append(pairs, [2]string{a, b})
		}
		if way != 2 {
			pairs = append(pairs, [2]string{b, a})
		}
	}
	way := []int{0, 0, 0, 1, 2}[random.IntN(5)]
	edges := l.edges("")
	h := edges[random.IntN(len(edges))]
	what := ""
	switch random.IntN(6) {
	case 0:
		what = h.name + " from all hosts"
		for _, o := range l.hosts {
			link(h.name, o.name, way)
		}
	case 1:
		what = h.name + " from the cores"
		for _, o := range l.cores() {
			link(h.name, o.name, way)
		}
	case 2:
		z := l.zones[random.IntN(len(l.zones))]
		what = "zone " + z
		for _, a := range l.hosts {
			for _, b := range l.hosts {
				if a.zone == z && b.zone != z {
					link(a.name, b.name, way)
				}
			}
			for _, m := range l.minions {
				if (a.zone == z) != (m.zone == z) {
					link(a.name, m.id, way)
				}
			}
		}
	case 3, 4:
		what = "minions"
		for _, i := range random.Perm(len(l.minions))[:max(1, len(l.minions)/6)] {
			what += " " + l.minions[i].id
			for _, a := range l.hosts {
				link(a.name, l.minions[i].id, way)
			}
		}
	case 5:
		o := edges[random.IntN(len(edges))]
		what = h.name + " from " + o.name
		link(h.name, o.name, way)
	}
	l.record.add("cut (way %d) %s for %v", way, what, d)
	l.net.add(pairs, 1)
	time.Sleep(d)
	l.net.add(pairs, -1)
	l.record.add("healed %s", what)
}
