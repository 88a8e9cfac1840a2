package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/target"
)

const waitTimeout = 20 * time.Second

// fakeEntry is an entry host that only grants leases.
type fakeEntry struct {
	mu       sync.Mutex
	received []wire.Announcement
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a wire.Announcement
	_ = json.NewDecoder(r.Body).Decode(&a)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, a)
	_ = json.NewEncoder(w).Encode(wire.Lease{LeaseMS: 1000, RenewAfterMS: 10, Host: "a1"})
}

func (f *fakeEntry) announcements() []wire.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]wire.Announcement(nil), f.received...)
}

// testTarget is a target with its fake entry host.
type testTarget struct {
	*target.Target
	entry *fakeEntry
	leave context.CancelFunc
	ended chan error
	log   *logBuffer
}

// logBuffer is a buffer that is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) copy() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.buffer.Bytes())
}

func startTarget(t *testing.T, slots int) *testTarget {
	r := &testTarget{entry: &fakeEntry{}, ended: make(chan error, 1), log: &logBuffer{}}
	server := httptest.NewServer(r.entry)
	t.Cleanup(server.Close)
	service, err := target.ParseServiceTime("scripted", 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Target, err = target.NewTarget(target.TargetConfig{
		Name: "x", Domain: "north", Slots: slots, Connections: 8, ServiceTime: service,
		Entries: []string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")},
		History: history.NewWriter(r.log),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	r.leave = cancel
	go func() { r.ended <- r.Run(ctx) }()
	return r
}

// start sends one task and returns the answer with its body.
func (r *testTarget) start(payload string) (*http.Response, string, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+r.Address()+wire.PathTasks, strings.NewReader(payload))
	request.Header.Set(wire.TaskHeader, "a1.7.1/t1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func (r *testTarget) count(what history.EventKind) int {
	events, _ := history.Read(bytes.NewReader(r.log.copy()))
	n := 0
	for _, e := range events {
		if e.Kind == what {
			n++
		}
	}
	return n
}

func TestTargetAnnouncesItselfAndRunsATask(t *testing.T) {
	g := NewWithT(t)
	r := startTarget(t, 1)
	// The first announcement is followed by a renewal, and maybe by more before the
	// check.
	g.Eventually(func() int { return len(r.entry.announcements()) }, waitTimeout).Should(BeNumerically(">=", 2))
	g.Expect(r.entry.announcements()[0].Address).To(Equal(r.Address()))

	response, body, err := r.start(`{"job":"j","task":"t1"}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(wire.TaskHeader)).To(Equal("a1.7.1/t1"))
	g.Expect(body).To(MatchJSON(`{"task":"t1","target":"x","echo":{"job":"j","task":"t1"}}`))

	r.leave()
	g.Eventually(r.ended, waitTimeout).Should(Receive(BeNil()))
	seen := r.entry.announcements()
	g.Expect(seen[len(seen)-1].Leaving).To(BeTrue())
	g.Expect(r.count(history.Start)).To(Equal(1))
	g.Expect(r.count(history.End)).To(Equal(1))
	g.Expect(r.count(history.Leaving)).To(Equal(1))
}

func TestScriptedFaults(t *testing.T) {
	r := startTarget(t, 8)
	cases := map[string]struct {
		payload, ran, id string
		status           int
		broken           bool
	}{
		"failure":          {payload: `{"fail":true}`, status: 500, ran: "yes", id: "a1.7.1/t1"},
		"refusal":          {payload: `{"refuse":true}`, status: 429, ran: "no", id: "a1.7.1/t1"},
		"crossed answer":   {payload: `{"wrong_id":true}`, status: 200, id: "a1.7.1/t1-other"},
		"cut answer":       {payload: `{"cut":true}`, broken: true},
		"drop after start": {payload: `{"drop_after_start":true}`, broken: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			response, _, err := r.start(c.payload)
			if c.broken {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(c.status))
			g.Expect(response.Header.Get(wire.RanHeader)).To(Equal(c.ran))
			g.Expect(response.Header.Get(wire.TaskHeader)).To(Equal(c.id))
		})
	}
}

func TestLeavingTargetEndsItsTaskAndRefusesNewOnes(t *testing.T) {
	g := NewWithT(t)
	r := startTarget(t, 1)
	answered := make(chan string, 1)
	go func() {
		// The requests of the poll below may briefly occupy the only slot.
		body, err := "full", error(nil)
		for err == nil && strings.Contains(body, "full") {
			_, body, err = r.start(`{"job":"j","task":"t1","hang":true}`)
		}
		answered <- fmt.Sprint(body, err)
	}()
	refused := func() string {
		_, body, _ := r.start(`{"job":"k","task":"t1"}`)
		return body
	}
	g.Eventually(refused, waitTimeout).Should(ContainSubstring("full"))
	r.leave()
	g.Eventually(answered, waitTimeout).Should(Receive(ContainSubstring(`"job":"j"`)))
	g.Eventually(r.ended, waitTimeout).Should(Receive(BeNil()))
}

// stop sends a stop request for the task and returns the HTTP status.
func (r *testTarget) stop() (int, error) {
	request, _ := http.NewRequest(http.MethodDelete, "http://"+r.Address()+wire.PathTasks, nil)
	request.Header.Set(wire.TaskHeader, "a1.7.1/t1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func TestAStoppedTaskEndsAndDoesNotStartLater(t *testing.T) {
	g := NewWithT(t)
	r := startTarget(t, 1)
	answered := make(chan *http.Response, 1)
	go func() {
		response, _, _ := r.start(`{"hang":true}`)
		answered <- response
	}()
	g.Eventually(func() int { return r.count(history.Start) }, waitTimeout).Should(Equal(1))
	g.Expect(r.stop()).To(Equal(http.StatusNoContent))
	g.Expect(r.count(history.End)).To(Equal(1))
	g.Expect((<-answered).Header.Get(wire.RanHeader)).To(Equal("yes"))
	response, _, err := r.start(`{}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(wire.RanHeader)).To(Equal("no"))
}
