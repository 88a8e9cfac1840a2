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

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// mode is how a fake host treats the next requests.
type mode string

const (
	answering mode = "answer"
	losing    mode = "lose"   // it acts and closes the connection without an answer
	draining  mode = "refuse" // it says that nothing was done
)

// site is two fake entry hosts that share one control state.
type site struct {
	register *operatorapitest.Register
	hosts    [2]*fakeHost
}

type fakeHost struct {
	name   string
	site   *site
	server *httptest.Server
	mode   atomic.Value
}

func newSite() *site {
	s := &site{register: operatorapitest.NewRegister(tickingClock())}
	for i, name := range []string{"a1", "b1"} {
		h := &fakeHost{name: name, site: s}
		h.mode.Store(answering)
		h.server = httptest.NewServer(h)
		s.hosts[i] = h
	}
	return s
}

// tickingClock returns a clock that goes on by a second at every look.
func tickingClock() func() time.Time {
	var mu sync.Mutex
	now := start
	return func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(time.Second)
		return now
	}
}

func (s *site) close() {
	for _, h := range s.hosts {
		h.server.Close()
	}
}

// ServeHTTP implements http.Handler. The operators are read anew for each
// request, since a script may set them.
func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.mode.Load() == draining {
		answer, _ := json.Marshal(control.Refusal(failure.New(failure.Draining, "the host is stopping")))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(answer)
		return
	}
	mux := h.routes()
	if h.mode.Load() == losing {
		mux.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	mux.ServeHTTP(w, r)
}

func (h *fakeHost) routes() *http.ServeMux {
	mux := http.NewServeMux()
	operatorapi.New(operatorapi.Config{
		Host:     h.name,
		Rules:    h.site.register.Rules(),
		Changer:  h.site.register,
		Trail:    h.site.register,
		Reporter: recorder(h.name),
		Jobs:     jobs{},
		Clock:    func() time.Time { return start },
		Log:      slog.New(slog.DiscardHandler),
	}).Register(mux)
	serve(mux, wire.PathHosts, []wire.HostStatus{
		{Host: "a1", Domain: "north", State: "self", ControlVersion: 3},
		{Host: "b1", Domain: "south", State: "unknown", SinceLastMessageMS: -1},
	})
	serve(mux, wire.PathTargets, []wire.TargetStatus{
		{Announcement: wire.Announcement{Target: "t1", Domain: "north", Address: "127.0.0.1:9", Slots: 8}, Alive: true, RunningTasks: 3, LeaseRemainingMS: 900},
		{Announcement: wire.Announcement{Target: "t2", Domain: "north", Address: "127.0.0.1:8", Slots: 8}, LeaseRemainingMS: -5},
	})
	return mux
}

func serve(mux *http.ServeMux, path string, document any) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(document)
	})
}

// recorder returns the account of a host that answered four jobs.
func recorder(host string) *report.Recorder {
	r := report.NewRecorder(host, start)
	r.RecordBundleInForce(start, 1, "")
	r.CountAnswer(start, &job.Answer{Outcome: job.Complete})
	r.CountAnswer(start, &job.Answer{Outcome: job.Complete})
	r.CountAnswer(start, &job.Answer{Outcome: job.Failed, Error: &job.Error{Kind: string(failure.OutcomeUnknown)}})
	r.CountAnswer(start, &job.Answer{Outcome: job.NotRun, Error: &job.Error{Kind: string(failure.OverQuota)}})
	return r
}

// commands are what the scripts say beside the tool's own commands.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"operators": setOperators,
	"host":      setMode,
	"fault":     setFault,
	"trail":     editTrail,
}

func siteOf(ts *testscript.TestScript) *site { return ts.Value(siteKey{}).(*site) }

type siteKey struct{}

// setOperators takes the number of approvals and files written by
// keygen --output json.
func setOperators(ts *testscript.TestScript, _ bool, args []string) {
	approvals, err := strconv.Atoi(args[0])
	ts.Check(err)
	rules := control.Rules{RequiredApprovals: approvals}
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
	siteOf(ts).register.SetRules(rules)
}

// setMode takes a host's number and its mode, or "stop".
func setMode(ts *testscript.TestScript, _ bool, args []string) {
	h := siteOf(ts).hosts[strings.Index("12", args[0])]
	if args[1] == "stop" {
		h.server.Close()
		return
	}
	h.mode.Store(mode(args[1]))
}

// setFault takes the kind that changes fail with, or "none".
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	kind := failure.Kind(args[0])
	if kind == "none" {
		kind = ""
	}
	siteOf(ts).register.FailWith(kind)
}

// editTrail takes "drop" or "edit" and changes the second entry of the kept
// trail.
func editTrail(ts *testscript.TestScript, _ bool, args []string) {
	siteOf(ts).register.EditTrail(func(entries []control.Entry) []control.Entry {
		if args[0] == "drop" {
			return append(entries[:1:1], entries[2:]...)
		}
		entries[1].Operator = "nobody"
		return entries
	})
}

type jobs struct{}

// Jobs implements operatorapi.JobLister.
func (jobs) Jobs(ctx context.Context) ([]wire.JobStatus, error) {
	return []wire.JobStatus{{Ticket: "wf1.x", Team: "huts", Tasks: 9, RunningTasks: 2, CompletedTasks: 4, AgeMS: 80, RemainingMS: 920}}, ctx.Err()
}
