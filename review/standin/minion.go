package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxHold  = time.Second           // max_hold_ms: the longest lease
	stopTime = 30 * time.Millisecond // a stop takes at most stop_ms (50)
	beatTime = 1500 * time.Millisecond
)

// minion is a stand-in for one machine's minion, as PROTOCOL.md describes it: it guards its
// capacity, keeps the highest fencing token, leases, run numbers and the list of ends.
type minion struct {
	lab      *lab
	zone     string
	service  string
	cpu, gpu int64
	server   *http.Server
	address  string

	mu       sync.Mutex
	id       string
	labels   []string
	born     int64
	started  time.Time
	sequence int
	token    uint64
	runs     map[string]*run
	highest  map[string]int // highest run that ended or was stopped, by task
	ended    [][]any
	lastEnd  int
	usedCPU  int64
	usedGPU  int64
	lease    time.Time
	leaseEnd atomic.Int64 // lease in Unix nanoseconds, read without the lock
	down     bool
	draining bool
	cut      bool   // from control: its heartbeats are lost
	beatAddr string // named by the last acknowledgement
	changed  chan struct{}
	life     int
}

type run struct {
	task     string
	number   int
	cpu, gpu int64
	started  time.Time
	length   time.Duration
	life     int
	stopAt   atomic.Int64 // when its stop was first accepted, Unix nanoseconds; 0 if none was
}

func newMinion(l *lab, zone, service, id string, cpu, gpu int64, labels ...string) *minion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannot("a minion cannot listen: %v", err)
	}
	m := &minion{lab: l, zone: zone, service: service, id: id, cpu: cpu, gpu: gpu, labels: labels, address: listener.Addr().String()}
	m.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /wasabifield/run-start", m.serve(m.start))
	mux.HandleFunc("POST /wasabifield/run-stop", m.serve(m.stop))
	mux.HandleFunc("POST /wasabifield/hold", m.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(listener) }()
	go m.tick()
	return m
}

// reset begins a new life. The caller holds the lock, but for the first.
func (m *minion) reset() {
	for _, r := range m.runs {
		m.lab.end(m, r, "gone")
	}
	m.started = time.Now()
	m.born = m.started.UnixMilli()
	m.sequence, m.token, m.lastEnd, m.usedCPU, m.usedGPU = 0, 0, 0, 0, 0
	m.runs, m.highest, m.ended, m.lease = map[string]*run{}, map[string]int{}, nil, time.Time{}
	m.draining, m.beatAddr = false, ""
	m.life++
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

func (m *minion) clock() int64 { return time.Since(m.started).Milliseconds() }

// crash ends the life. A new one begins after the given time, under the same id, with the
// given labels.
func (m *minion) crash(downFor time.Duration, labels []string) {
	m.mu.Lock()
	m.down = true
	m.reset()
	m.mu.Unlock()
	m.lab.note("crash", "%s at %s, down for %v", m.id, m.address, downFor)
	time.Sleep(downFor)
	m.mu.Lock()
	if labels != nil {
		m.labels = labels
	}
	m.reset()
	m.down = false
	m.lab.note("life", "%s at %s: born %d, labels %v", m.id, m.address, m.born, m.labels)
	m.mu.Unlock()
	m.beat()
}

func (m *minion) drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.lab.note("drain", "%s says that it drains", m.id)
	m.beat()
}

// tick sends heartbeats and lets leases expire.
func (m *minion) tick() {
	next := time.Now()
	for m.lab.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		if len(m.runs) > 0 && time.Now().After(m.lease) {
			for _, r := range m.runs {
				m.finish(r, "lapsed")
			}
		}
		m.mu.Unlock()
		if now := time.Now(); now.After(next) {
			next = now.Add(beatTime)
			go m.beat()
		}
	}
}

// beat sends a heartbeat to one node after the other until one acknowledges it.
func (m *minion) beat() {
	m.mu.Lock()
	if m.down || m.cut {
		m.mu.Unlock()
		return
	}
	m.sequence++
	state, life := "ready", m.life
	body := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": 32768, "gpu": m.gpu}, "labels": m.labels, "clock_ms": m.clock(),
		"sequence": m.sequence, "born": m.born,
	}
	if m.draining {
		state = "draining"
		body["remaining_ms"] = 2000
	}
	body["state"] = state
	id := m.id
	var addresses []string
	if m.beatAddr != "" {
		addresses = append(addresses, m.beatAddr)
	}
	m.mu.Unlock()
	text, _ := json.Marshal(body)
	for _, a := range append(addresses, m.lab.controlAddresses()...) {
		status, answer, err := m.lab.call(m.lab.beats, http.MethodPut, "http://"+a+"/wasabifield/instances/"+id, "", string(text), nil)
		m.mu.Lock()
		if m.life != life || m.cut {
			m.mu.Unlock()
			return
		}
		if err != nil || status/100 != 2 {
			m.beatAddr = ""
			m.mu.Unlock()
			continue
		}
		var named struct {
			Addr string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal([]byte(answer), &named)
		if named.Addr != "" {
			m.beatAddr = named.Addr
		} else {
			m.beatAddr = a
		}
		if state == "draining" {
			m.lab.drainAcknowledged(m, a)
		}
		m.mu.Unlock()
		return
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
}

func (m *minion) serve(apply func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.down {
			panic(http.ErrAbortHandler)
		}
		if !m.expected(w, r) {
			return
		}
		status, reason := apply(o)
		answer := map[string]any{"clock_ms": m.clock(), "born": m.born}
		if reason != "" {
			answer["reason"] = reason
		}
		writeJSON(w, status, answer)
	}
}

func (m *minion) expected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (m *minion) obeys(token uint64) bool {
	if token < m.token {
		return false
	}
	m.token = token
	return true
}

func (m *minion) extend(deadline int64) {
	end := m.started.Add(time.Duration(min(deadline, m.clock()+maxHold.Milliseconds())) * time.Millisecond)
	if deadline > 0 && end.After(m.lease) {
		m.lease = end
		m.leaseEnd.Store(end.UnixNano())
	}
}

func (m *minion) start(o order) (int, string) {
	if !m.obeys(o.Token) {
		return http.StatusConflict, "fence"
	}
	if o.Deadline <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(o.Deadline)
	if r := m.runs[o.Task]; r != nil {
		if r.number == o.Run {
			return http.StatusOK, ""
		}
		return http.StatusConflict, "old"
	}
	if o.Run <= m.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	need, ok := m.lab.needOf(o.Task, o.Spec)
	if !ok {
		m.lab.broken("UNASKED", "%s run %d on %s: no client sent it with this spec", o.Task, o.Run, m.id)
		return http.StatusBadRequest, ""
	}
	if m.usedCPU+need.CPU > m.cpu || m.usedGPU+need.GPU > m.gpu {
		return http.StatusConflict, "room"
	}
	r := &run{task: o.Task, number: o.Run, cpu: need.CPU, gpu: need.GPU, started: time.Now(), length: need.length, life: m.life}
	m.runs[o.Task] = r
	m.usedCPU += r.cpu
	m.usedGPU += r.gpu
	m.lab.start(m, r)
	time.AfterFunc(r.length, func() { m.finishLater(r, "done") })
	return http.StatusOK, ""
}

func (m *minion) stop(o order) (int, string) {
	if !m.obeys(o.Token) {
		return http.StatusConflict, "fence"
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number <= o.Run {
		r.stopAt.CompareAndSwap(0, time.Now().UnixNano())
		time.AfterFunc(stopTime, func() { m.finishLater(r, "stopped") })
	}
	return http.StatusOK, ""
}

func (m *minion) finishLater(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[r.task] == r {
		m.finish(r, how)
	}
}

// finish ends a run. The caller holds the lock.
func (m *minion) finish(r *run, how string) {
	delete(m.runs, r.task)
	m.usedCPU -= r.cpu
	m.usedGPU -= r.gpu
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, r.task, r.number, how, ""})
	m.lab.end(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Deadline int64  `json:"deadline_ms"`
		Token    uint64 `json:"fencing_token"`
		Cursor   int    `json:"ack_cursor"`
		Wait     int64  `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		panic(http.ErrAbortHandler)
	}
	if !m.expected(w, r) {
		return
	}
	if !m.obeys(b.Token) {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(), "born": m.born, "reason": "fence"})
		return
	}
	m.extend(b.Deadline)
	for len(m.ended) > 0 && m.ended[0][0].(int) <= b.Cursor {
		m.ended = m.ended[1:]
	}
	until, life := time.Now().Add(time.Duration(b.Wait)*time.Millisecond), m.life
	for len(m.ended) == 0 && time.Now().Before(until) && m.life == life {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Until(until)):
		}
		m.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
	if m.life != life || m.down {
		panic(http.ErrAbortHandler) // the connection breaks with the life
	}
	running := [][]any{}
	for _, r := range m.runs {
		percent := int(min(99, 100*time.Since(r.started)/max(1, r.length)))
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	ended := append([][]any{}, m.ended...)
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born, "running": running, "ended": ended[:min(len(ended), 500)]})
}

func (m *minion) name() string {
	return fmt.Sprintf("%s/%d [%s]", m.id, m.life, strings.Join(m.labels, ","))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// leave deregisters the minion and ends its life. Another one begins 2 s later under a new id.
func (m *minion) leave() {
	m.mu.Lock()
	id := m.id
	m.down = true
	m.mu.Unlock()
	_, _, _ = m.lab.call(m.lab.beats, http.MethodDelete, "http://"+m.lab.controlAddresses()[0]+"/wasabifield/instances/"+id, "", "", nil)
	m.mu.Lock()
	m.id = "i-" + newID()[:10]
	m.mu.Unlock()
	m.crash(2*time.Second, nil)
}
