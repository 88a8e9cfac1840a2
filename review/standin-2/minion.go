package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Minion is a stand-in of a minion as PROTOCOL.md describes it: it checks fencing tokens, run
// numbers, leases and, where admits is set, its room.
type Minion struct {
	lab      *Lab
	checker  *Checker
	zone     string
	rack     string
	address  string
	listener net.Listener
	server   *http.Server
	cpu      int64
	labels   []string
	guards   bool
	maxHold  time.Duration
	beat     time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	began    time.Time // of this incarnation
	token    uint64
	runs     map[string]*Run
	tomb     map[string]int // highest run that ended or was stopped, by task
	ended    []endRow
	number   int
	used     int64
	leaseEnd time.Time
	sequence uint64
	down     bool
	lives    int
	target   string // heartbeat_addr

	cut     bool // from control
	changed chan struct{}
	closed  chan struct{}
}

type endRow struct {
	n    int
	task string
	run  int
	how  string
}

// Run is one run of a task on a minion.
type Run struct {
	task    string
	number  int
	minion  *Minion
	life    int
	cpu     int64
	began   time.Time
	length  time.Duration
	ended   bool
	stopped time.Time
	endedAt time.Time // guarded by the checker
}

func newMinion(l *Lab, c *Checker, id, zone, rack string, cpu int64) (*Minion, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Minion{lab: l, checker: c, id: id, zone: zone, rack: rack, address: listener.Addr().String(), listener: listener, cpu: cpu,
		labels: []string{"a", rack}, guards: l.admits, maxHold: time.Second, beat: 1500 * time.Millisecond, changed: make(chan struct{}), closed: make(chan struct{})}
	m.mu.Lock()
	m.live()
	m.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /wasabifield/run-start", m.order(m.runStart))
	mux.HandleFunc("POST /wasabifield/run-stop", m.order(m.runStop))
	mux.HandleFunc("POST /wasabifield/hold", m.hold)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(listener) }()
	go m.watch()
	l.minions = append(l.minions, m)
	return m, nil
}

// live begins an incarnation, which knows nothing of before. The caller holds the lock.
func (m *Minion) live() {
	for _, r := range m.runs {
		r.ended = true
		m.checker.end(r, "crash")
	}
	m.lives++
	m.began = time.Now()
	m.born = m.began.UnixMilli()
	m.token, m.number, m.used, m.sequence = 0, 0, 0, 0
	m.runs, m.tomb, m.ended = map[string]*Run{}, map[string]int{}, nil
	m.leaseEnd = time.Time{}
	m.target = ""
	m.notify()
}

func (m *Minion) notify() { close(m.changed); m.changed = make(chan struct{}) }

func (m *Minion) clock() int64 { return time.Since(m.began).Milliseconds() }

func (m *Minion) close() {
	m.server.Close()
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
}

// crash ends the incarnation; after d the next one begins, under the same id and address, as
// change makes it.
func (m *Minion) crash(d time.Duration, change func()) {
	m.mu.Lock()
	m.live()
	m.down = true
	m.mu.Unlock()
	m.lab.record.add("%s crashes", m.id)
	time.Sleep(d)
	m.mu.Lock()
	m.live()
	change()
	m.down = false
	m.lab.record.add("%s is back, with %d of cpu, born %d", m.id, m.cpu, m.born)
	m.mu.Unlock()
	m.sendBeat()
}

func (m *Minion) set(f func()) { m.mu.Lock(); f(); m.notify(); m.mu.Unlock() }

// watch ends what has lapsed and sends heartbeats.
func (m *Minion) watch() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	next := time.Now().Add(time.Duration(rand.Int64N(int64(m.beat / 4))))
	for {
		select {
		case <-m.closed:
			return
		case <-tick.C:
		}
		m.mu.Lock()
		now := time.Now()
		for _, r := range m.runs {
			switch {
			case now.After(m.leaseEnd):
				m.finish(r, "lapsed")
			case !r.stopped.IsZero() && now.After(r.stopped.Add(20*time.Millisecond)):
				m.finish(r, "stopped")
			case now.After(r.began.Add(r.length)):
				m.finish(r, "done")
			}
		}
		down := m.down
		m.mu.Unlock()
		if now.After(next) && !down {
			next = now.Add(m.beat)
			go m.sendBeat()
		}
	}
}

// finish ends a run. The caller holds the lock.
func (m *Minion) finish(r *Run, how string) {
	r.ended = true
	delete(m.runs, r.task)
	m.used -= r.cpu
	m.tomb[r.task] = max(m.tomb[r.task], r.number)
	m.number++
	m.ended = append(m.ended, endRow{m.number, r.task, r.number, how})
	m.checker.end(r, how)
	m.notify()
}

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// sendBeat sends a heartbeat: to heartbeat_addr, else to the nodes in turn.
func (m *Minion) sendBeat() {
	m.mu.Lock()
	m.sequence++
	life, id := m.lives, m.id
	if m.cut {
		m.mu.Unlock()
		return
	}
	body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":%d,"mem_mb":32768,"gpu":0},"labels":[%q,%q],"machine":"m-%s","born":%d,"clock_ms":%d,"sequence":%d}`,
		m.address, m.zone, m.cpu, m.labels[0], m.rack, m.id, m.born, m.clock(), m.sequence)
	var to []string
	if m.target != "" {
		to = append(to, m.target)
	}
	m.mu.Unlock()
	cores := m.lab.cores()
	for _, i := range rand.Perm(len(cores)) {
		to = append(to, cores[i].control())
	}
	for i, address := range to {
		r, _ := http.NewRequest("PUT", "http://"+address+"/wasabifield/instances/"+id, strings.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		a, err := beatClient.Do(r)
		if err != nil {
			if i == 0 {
				m.set(func() { m.target = "" })
			}
			continue
		}
		text, _ := io.ReadAll(a.Body)
		a.Body.Close()
		if a.StatusCode/100 != 2 {
			continue
		}
		var named struct {
			Addr string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal(text, &named)
		m.mu.Lock()
		if m.lives == life {
			if named.Addr != "" {
				m.target = named.Addr
			}
		}
		m.mu.Unlock()
		return
	}
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Cursor   int    `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func (m *Minion) order(carryOut func(b orderBody) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		var b orderBody
		_ = json.Unmarshal(text, &b)
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			panic(http.ErrAbortHandler) // no process is there
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != m.id {
			m.mu.Unlock()
			w.WriteHeader(421)
			return
		}
		status, reason := carryOut(b)
		answer := fmt.Sprintf(`{"clock_ms":%d,"born":%d`, m.clock(), m.born)
		if reason != "" {
			answer += fmt.Sprintf(`,"reason":%q`, reason)
		}
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		io.WriteString(w, answer+"}")
	}
}

func (m *Minion) extend(deadline int64) {
	until := min(deadline, m.clock()+m.maxHold.Milliseconds())
	if at := m.began.Add(time.Duration(until) * time.Millisecond); at.After(m.leaseEnd) {
		m.leaseEnd = at
	}
}

func (m *Minion) accept(token uint64) bool {
	if token < m.token {
		return false
	}
	m.token = token
	return true
}

// runStart carries out a start. The caller holds the lock.
func (m *Minion) runStart(b orderBody) (int, string) {
	if !m.accept(b.Token) {
		return 409, "fence"
	}
	if b.Deadline <= m.clock() {
		return 409, "late"
	}
	if r := m.runs[b.Task]; r != nil {
		m.extend(b.Deadline)
		if r.number == b.Run {
			return 200, ""
		}
		return 409, "old"
	}
	if b.Run <= m.tomb[b.Task] {
		m.extend(b.Deadline)
		return 409, "old"
	}
	var cpu, ms int64
	if _, err := fmt.Sscanf(b.Spec, "%d %d", &cpu, &ms); err != nil {
		return 400, ""
	}
	m.extend(b.Deadline)
	if m.guards && m.used+cpu > m.cpu {
		return 409, "room"
	}
	if !m.guards && m.used+cpu > m.cpu {
		m.checker.overfull(m, b.Task, m.used+cpu)
	}
	r := &Run{task: b.Task, number: b.Run, minion: m, life: m.lives, cpu: cpu, began: time.Now(), length: time.Duration(ms) * time.Millisecond}
	m.runs[b.Task] = r
	m.used += cpu
	m.checker.start(r, b.Spec, b.Token)
	return 200, ""
}

// runStop carries out a stop. The caller holds the lock.
func (m *Minion) runStop(b orderBody) (int, string) {
	if !m.accept(b.Token) {
		return 409, "fence"
	}
	m.tomb[b.Task] = max(m.tomb[b.Task], b.Run)
	if r := m.runs[b.Task]; r != nil && r.number <= b.Run && r.stopped.IsZero() {
		r.stopped = time.Now()
		m.lab.record.add("%s: %s run %d is to stop", m.id, r.task, r.number)
	}
	return 200, ""
}

func (m *Minion) hold(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	var b orderBody
	_ = json.Unmarshal(text, &b)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		panic(http.ErrAbortHandler) // no process is there
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != m.id {
		w.WriteHeader(421)
		return
	}
	if !m.accept(b.Token) {
		w.WriteHeader(409)
		fmt.Fprintf(w, `{"clock_ms":%d,"born":%d,"reason":"fence"}`, m.clock(), m.born)
		return
	}
	if b.Deadline > 0 {
		m.extend(b.Deadline)
	}
	for len(m.ended) > 0 && m.ended[0].n <= b.Cursor {
		m.ended = m.ended[1:]
	}
	until, life := time.Now().Add(time.Duration(min(b.Wait, 2000))*time.Millisecond), m.lives
	for len(m.ended) == 0 && time.Now().Before(until) {
		ch := m.changed
		m.mu.Unlock()
		select {
		case <-ch:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			m.mu.Lock()
			return
		}
		m.mu.Lock()
	}
	if m.down || life != m.lives {
		panic(http.ErrAbortHandler) // its process has ended
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, `{"clock_ms":%d,"born":%d,"running":[`, m.clock(), m.born)
	first := true
	for _, x := range m.runs {
		if !first {
			out.WriteString(",")
		}
		first = false
		percent := 99
		if x.length > 0 {
			percent = int(min(99, 100*time.Since(x.began)/x.length))
		}
		fmt.Fprintf(&out, `[%q,%d,"",%d,%d]`, x.task, x.number, percent, x.cpu)
	}
	out.WriteString(`],"ended":[`)
	for i, e := range m.ended {
		if i == 500 {
			break
		}
		if i > 0 {
			out.WriteString(",")
		}
		fmt.Fprintf(&out, `[%d,%q,%d,%q,""]`, e.n, e.task, e.run, e.how)
	}
	out.WriteString("]}")
	w.Header().Set("Content-Type", "application/json")
	w.Write(out.Bytes())
}

// minion returns the minion with an id.
func (l *Lab) minion(id string) *Minion {
	for _, m := range l.minions {
		if m.id == id {
			return m
		}
	}
	return nil
}
