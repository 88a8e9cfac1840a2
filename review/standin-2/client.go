package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	jobHost   = "desk.example"
	jobPrefix = "/jobs/"
)

// Balancer knows which edges are in rotation, as the platform does.
type Balancer struct {
	lab   *Lab
	mu    sync.Mutex
	miss  map[*Host]int
	ready map[*Host]bool
}

func newBalancer(ctx context.Context, l *Lab) *Balancer {
	b := &Balancer{lab: l, miss: map[*Host]int{}, ready: map[*Host]bool{}}
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for _, h := range l.edges("") {
		go func() {
			for ctx.Err() == nil {
				a, err := client.Get("http://" + h.ready() + "/wasabifield/ready")
				ok := err == nil && a.StatusCode == 200
				if err == nil {
					a.Body.Close()
				}
				b.mu.Lock()
				if ok {
					b.miss[h], b.ready[h] = 0, true
				} else if b.miss[h]++; b.miss[h] >= 2 {
					b.ready[h] = false
				}
				b.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

func (b *Balancer) allReady() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.lab.edges("") {
		if !b.ready[h] {
			return false
		}
	}
	return true
}

// pick chooses an edge of the zone, or of all for an empty one, but not the given one if others are there.
func (b *Balancer) pick(zone string, not *Host) *Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := func(zone string) (out []*Host) {
		all := b.lab.edges(zone)
		for _, h := range all {
			if b.ready[h] {
				out = append(out, h)
			}
		}
		if len(out) > 0 && len(out)*2 < len(all) {
			return all
		}
		return out
	}
	hosts := in(zone)
	if len(hosts) == 0 {
		hosts = in("")
	}
	if len(hosts) == 0 {
		hosts = b.lab.edges("")
	}
	for range 10 {
		if h := hosts[rand.IntN(len(hosts))]; h != not || len(hosts) == 1 {
			return h
		}
	}
	return hosts[0]
}

var callers = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}

// send makes one attempt at a job.
func (c *Checker) send(j *Job, h *Host, body []byte, wait time.Duration) int {
	c.mu.Lock()
	j.attempts++
	n := j.attempts
	c.mu.Unlock()
	c.record.add("client: job %s attempt %d to %s", j.id, n, h.name)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+h.front()+jobPrefix+j.id, bytes.NewReader(body))
	r.Host = jobHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	status, text := 0, []byte(nil)
	a, err := callers.RoundTrip(r)
	if err == nil {
		if text, err = io.ReadAll(a.Body); err == nil {
			status = a.StatusCode
		}
		a.Body.Close()
	}
	c.record.add("client: job %s attempt %d is answered %d %s %v", j.id, n, status, text, err)
	c.answer(j, status, string(text))
	return status
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

func document(version int, admits bool) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"desk","max_attempts":3,"slack_factor":1.6}],"services":[{"name":"desk","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":%v,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, jobHost, jobPrefix, admits)
}

// put sends a configuration until it is acknowledged, and returns how long that took.
func (l *Lab) put(version int, most time.Duration) (took time.Duration, ok bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	cores := l.cores()
	for i := rand.IntN(len(cores)); time.Since(began) < most; i++ {
		h := cores[i%len(cores)]
		r, _ := http.NewRequest("PUT", "http://"+h.control()+"/wasabifield/config", bytes.NewReader([]byte(document(version, l.admits))))
		r.Header.Set("Content-Type", "application/json")
		a, err := client.Do(r)
		if err != nil {
			l.record.add("operator: configuration %d to %s: %v", version, h.name, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(a.Body)
		a.Body.Close()
		l.record.add("operator: configuration %d to %s is answered %d %.100s", version, h.name, a.StatusCode, text)
		if a.StatusCode == 200 {
			return time.Since(began), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Since(began), false
}
