package tool_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wasabifield.example/wasabifield/internal/connection/operatorapi"
	"wasabifield.example/wasabifield/internal/connection/operatorapi/operatorapitest"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/report"
	"wasabifield.example/wasabifield/internal/version/control"
)

var clockStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// hostMode is how a fake host responds to the requests that follow.
type hostMode string

const (
	modeAnswer     hostMode = "answer"
	modeLoseAnswer hostMode = "lose"   // carry out the request, then close the connection without an answer
	modeRefuse     hostMode = "refuse" // refuse with "draining", which promises that nothing was done
)

// fakeSystem holds two fake entry hosts that share one control state.
type fakeSystem struct {
	register *operatorapitest.Register
	hosts    [2]*fakeHost
}

type fakeHost struct {
	name   string
	system *fakeSystem
	server *httptest.Server
	mode   atomic.Value
}

func newFakeSystem() *fakeSystem {
	s := &fakeSystem{register: operatorapitest.NewRegister(tickingClock())}
	for i, name := range []string{"a1", "b1"} {
		h := &fakeHost{name: name, system: s}
		h.mode.Store(modeAnswer)
		h.server = httptest.NewServer(h)
		s.hosts[i] = h
	}
	return s
}

// tickingClock returns a clock that advances by a second with every call.
func tickingClock() func() time.Time {
	var mu sync.Mutex
	now := clockStart
	return func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(time.Second)
		return now
	}
}

func (s *fakeSystem) close() {
	for _, h := range s.hosts {
		h.server.Close()
	}
}

// ServeHTTP implements http.Handler. Each request gets new routes with the current
// operators, since a script may change them between requests.
func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.mode.Load() == modeRefuse {
		answer, _ := json.Marshal(control.Refusal(failure.New(failure.Draining, "the host is stopping")))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(answer)
		return
	}
	mux := h.newMux()
	if h.mode.Load() == modeLoseAnswer {
		mux.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	mux.ServeHTTP(w, r)
}

func (h *fakeHost) newMux() *http.ServeMux {
	mux := http.NewServeMux()
	operatorapi.New(operatorapi.Config{
		Host:     h.name,
		Rules:    h.system.register.Rules(),
		Changer:  h.system.register,
		Trail:    h.system.register,
		Reporter: newRecorder(h.name),
		Jobs:     fakeJobLister{},
		Clock:    func() time.Time { return clockStart },
		Log:      slog.New(slog.DiscardHandler),
	}).Register(mux)
	serveDocument(mux, wire.PathHosts, []wire.HostStatus{
		{Host: "a1", Domain: "north", State: "self", ControlVersion: 3},
		{Host: "b1", Domain: "south", State: "unknown", SinceLastMessageMS: -1},
	})
	serveDocument(mux, wire.PathTargets, []wire.TargetStatus{
		{Announcement: wire.Announcement{Target: "t1", Domain: "north", Address: "127.0.0.1:9", Slots: 8}, Alive: true, RunningTasks: 3, LeaseRemainingMS: 900},
		{Announcement: wire.Announcement{Target: "t2", Domain: "north", Address: "127.0.0.1:8", Slots: 8}, LeaseRemainingMS: -5},
	})
	return mux
}

func serveDocument(mux *http.ServeMux, path string, document any) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(document)
	})
}

// newRecorder returns the report recorder of a host that answered four jobs.
func newRecorder(host string) *report.Recorder {
	r := report.NewRecorder(host, clockStart)
	r.RecordBundleInForce(clockStart, 1, "")
	r.CountAnswer(clockStart, &job.Answer{Outcome: job.Complete})
	r.CountAnswer(clockStart, &job.Answer{Outcome: job.Complete})
	r.CountAnswer(clockStart, &job.Answer{Outcome: job.Failed, Error: &job.Error{Kind: string(failure.OutcomeUnknown)}})
	r.CountAnswer(clockStart, &job.Answer{Outcome: job.NotRun, Error: &job.Error{Kind: string(failure.OverQuota)}})
	return r
}

// scriptCommands are the commands that scripts can use besides testscript's own
// and the programs of TestMain.
var scriptCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"operators": setOperators,
	"host":      setMode,
	"fault":     setFault,
	"trail":     editTrail,
}

func systemOf(ts *testscript.TestScript) *fakeSystem { return ts.Value(systemKey{}).(*fakeSystem) }

type systemKey struct{}

// setOperators sets who may change the control state. Its arguments are the number
// of required approvals and the operators' files, as keygen --output json prints them.
func setOperators(ts *testscript.TestScript, _ bool, args []string) {
	approvals, err := strconv.Atoi(args[0])
	ts.Check(err)
	rules := control.Rules{RequiredApprovals: approvals, Domains: []string{"north", "south"}}
	for _, file := range args[1:] {
		var operator struct {
			Name      string `json:"name"`
			PublicKey string `json:"public_key"`
		}
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &operator))
		key, err := base64.StdEncoding.DecodeString(operator.PublicKey)
		ts.Check(err)
		rules.Operators = append(rules.Operators, control.Operator{Name: operator.Name, Key: ed25519.PublicKey(key)})
	}
	systemOf(ts).register.SetRules(rules)
}

// setMode sets how a host responds. Its arguments are the host's number, 1 or 2,
// and a hostMode, or "stop" to close the host's server.
func setMode(ts *testscript.TestScript, _ bool, args []string) {
	h := systemOf(ts).hosts[strings.Index("12", args[0])]
	if args[1] == "stop" {
		h.server.Close()
		return
	}
	h.mode.Store(hostMode(args[1]))
}

// setFault makes every change fail with the failure kind of its argument; "none"
// ends that.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	kind := failure.Kind(args[0])
	if kind == "none" {
		kind = ""
	}
	systemOf(ts).register.FailWith(kind)
}

// editTrail drops or edits the second entry of the stored audit trail, as its
// argument "drop" or "edit" states.
func editTrail(ts *testscript.TestScript, _ bool, args []string) {
	systemOf(ts).register.EditTrail(func(entries []control.Entry) []control.Entry {
		if args[0] == "drop" {
			return append(entries[:1:1], entries[2:]...)
		}
		entries[1].Operator = "nobody"
		return entries
	})
}

type fakeJobLister struct{}

// Jobs implements operatorapi.JobLister.
func (fakeJobLister) Jobs(ctx context.Context) ([]wire.JobStatus, error) {
	return []wire.JobStatus{{Ticket: "wf1.x", Team: "huts", Tasks: 9, RunningTasks: 2, CompletedTasks: 4, AgeMS: 80, RemainingMS: 920}}, ctx.Err()
}
