package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Checker checks what clients and minions see.
type Checker struct {
	record *Record
	mu     sync.Mutex
	jobs   map[string]*Job
	breaks []string
	starts int
	dones  int
}

// Job is a job as its client knows it.
type Job struct {
	id       string
	spec     string
	width    int
	attempts int
	rejected int
	state    string
	active   map[string]*Run
	done     map[string]bool
	starts   int
	steps    []Step
}

// Step is a step of a job.
type Step struct {
	Count  int    `json:"count"`
	CPU    int    `json:"cpu"`
	Mem    int    `json:"mem_mb"`
	MS     int    `json:"estimated_ms"`
	After  []int  `json:"after,omitempty"`
	Label  string `json:"requirements,omitempty"`
	Spread int    `json:"anti_affinity,omitempty"`
}

func newChecker(r *Record) *Checker { return &Checker{record: r, jobs: map[string]*Job{}} }

func (c *Checker) fail(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.breaks = append(c.breaks, text)
	c.record.add("BROKEN %s", text)
}

func (c *Checker) submit(j *Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.active, j.done = map[string]*Run{}, map[string]bool{}
	c.jobs[j.id] = j
}

// start checks a start. The caller holds the minion's lock.
func (c *Checker) start(r *Run, spec string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.record.add("%s starts %s run %d token %d", r.minion.id, r.task, r.number, token)
	id, _, _ := strings.Cut(r.task, ".")
	j := c.jobs[id]
	if j == nil || j.spec != spec {
		c.fail("UNASKED", "%s is told to start %s, which no client sent", r.minion.id, r.task)
		return
	}
	j.starts++
	if other := j.active[r.task]; other != nil {
		go c.checkTwice(r, other)
	}
	c.checkStep(j, r)
	if j.state == "" && j.attempts > 0 && j.rejected == j.attempts {
		c.fail("REFUSED", "%s starts %s, and all %d attempts were rejected", r.minion.id, r.task, j.attempts)
	}
	j.active[r.task] = r
}

// checkStep checks the order of steps, labels and spread.
func (c *Checker) checkStep(j *Job, r *Run) {
	var step, index int
	if _, err := fmt.Sscanf(r.task[len(j.id):], ".0.%d.%d", &step, &index); err != nil || step >= len(j.steps) || index >= j.steps[step].Count {
		c.fail("UNASKED", "%s is told to start %s, which is no task", r.minion.id, r.task)
		return
	}
	s := j.steps[step]
	for _, a := range s.After {
		for i := range j.steps[a].Count {
			if t := fmt.Sprintf("%s.0.%d.%d", j.id, a, i); !j.done[t] {
				c.fail("ORDER", "%s starts %s before %s has ended done", r.minion.id, r.task, t)
				return
			}
		}
	}
	if s.Label != "" && !strings.Contains(strings.Join(r.minion.labels, " "), s.Label) {
		c.fail("ROUTE", "%s starts %s, which needs %s", r.minion.id, r.task, s.Label)
	}
	if s.Spread > 0 {
		n := 1
		for t, o := range j.active {
			if t != r.task && o.minion == r.minion && !o.ended && strings.HasPrefix(t, fmt.Sprintf("%s.0.%d.", j.id, step)) {
				n++
			}
		}
		if n > s.Spread {
			c.fail("ROUTE", "%s starts %s beside %d tasks of its step, at most %d may run there", r.minion.id, r.task, n-1, s.Spread)
		}
	}
}

// checkTwice checks that another run of the task ends as this one begins: a minion notes the end
// of a lease up to some milliseconds late.
func (c *Checker) checkTwice(r, other *Run) {
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other.endedAt.IsZero() || other.endedAt.Sub(r.began) > 15*time.Millisecond {
		c.fail("TWICE", "%s starts %s run %d, which runs on %s as run %d since %v", r.minion.id, r.task, r.number, other.minion.id, other.number, r.began.Sub(other.began).Round(time.Millisecond))
	}
}

// end records the end of a run. The caller holds the minion's lock.
func (c *Checker) end(r *Run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.endedAt = time.Now()
	c.record.add("%s ends %s run %d %s", r.minion.id, r.task, r.number, how)
	id, _, _ := strings.Cut(r.task, ".")
	j := c.jobs[id]
	if j == nil {
		return
	}
	if j.active[r.task] == r {
		delete(j.active, r.task)
	}
	if how == "done" {
		c.dones++
		j.done[r.task] = true
	}
}

// answer records the answer to an attempt; status 0 stands for none.
func (c *Checker) answer(j *Job, status int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 503 || status == 429 || status == 404:
		j.rejected++
		if j.rejected == j.attempts && j.starts > 0 {
			c.fail("REFUSED", "job %s was rejected with %d though it had %d starts", j.id, status, j.starts)
		}
	case status == 200 && strings.Contains(body, "completed"):
		j.state = "completed"
		if len(j.done) < j.width {
			c.fail("MIXED", "job %s is said to be completed, %d of %d tasks are done", j.id, len(j.done), j.width)
		}
	case status == 200:
		j.state = "failed"
	}
}

// overfull records a start that brings a minion over its capacity. The caller holds the minion's lock.
func (c *Checker) overfull(m *Minion, task string, used int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail("LIMIT", "%s starts %s and is at %d of %d", m.id, task, used, m.cpu)
}
