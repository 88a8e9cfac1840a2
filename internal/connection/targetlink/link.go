package targetlink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
)

const (
	maxOutputBytes = 4 << 20          // greatest output of one task
	idleTimeout    = 60 * time.Second // an idle connection is closed after this
	probeIdle      = 5 * time.Second  // keep-alive probes start after this silence
	probeInterval  = 2 * time.Second
	probeCount     = 3
	stopConns      = 2 // connections to one target for stops
)

// Config configures Links.
type Config struct {
	AttemptNamePrefix string // prefix of the names of this host's starts
	DialTimeout       time.Duration
}

// Links holds the connections to all targets. It is safe for concurrent use.
type Links struct {
	config Config
	mu     sync.Mutex
	links  map[string]*link // by address
	stops  *http.Transport  // requests to stop tasks, apart from the starts
}

// link holds the connections to one target.
type link struct {
	transport *http.Transport
	conns     int
}

// NewLinks returns Links without connections.
func NewLinks(config Config) *Links {
	l := &Links{config: config, links: make(map[string]*link)}
	l.stops = l.transport(stopConns)
	return l
}

// Send implements dispatch.Sender.
func (l *Links) Send(ctx context.Context, s dispatch.Start) dispatch.Result {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	a := &attempt{start: s, name: l.taskName(s)}
	k := l.link(s.Address, s.MaxConnections)
	suspicion := time.AfterFunc(time.Until(s.SuspectAt), func() { l.retire(s.Address, k) })
	defer suspicion.Stop()
	outcome, output, message := a.run(ctx, k)
	if outcome == dispatch.OutcomeUnknown {
		l.retire(s.Address, k)
	}
	return dispatch.Result{ID: s.ID, Outcome: outcome, Output: output, Message: message, NoAnswer: !a.answered}
}

// taskName names an attempt uniquely among all hosts and incarnations.
func (l *Links) taskName(s dispatch.Start) string {
	return l.config.AttemptNamePrefix + "." + s.AttemptName()
}

// link returns the link to address, made anew if its width changed.
func (l *Links) link(address string, conns int) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.links[address]
	if !ok || k.conns != conns {
		k = &link{transport: l.transport(conns), conns: conns}
		l.links[address] = k
	}
	return k
}

// retire drops a link whose connections may have gone silent: the next start
// opens new ones. Attempts in progress on it go on.
func (l *Links) retire(address string, k *link) {
	l.mu.Lock()
	if l.links[address] == k {
		delete(l.links, address)
	}
	l.mu.Unlock()
	k.transport.CloseIdleConnections()
}

func (l *Links) transport(conns int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: l.config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: max(conns, 1),
		IdleConnTimeout:     idleTimeout,
	}
}

// attempt is one start on its way.
type attempt struct {
	start  dispatch.Start
	name   string
	conn   *countingConn // nil until a connection was got
	before int64         // bytes written on conn before this request

	answered bool // the target answered, whatever it said
}

// written reports whether a byte of the request may have reached the network.
func (a *attempt) written() bool {
	return a.conn != nil && a.conn.written.Load() > a.before
}

func (a *attempt) run(ctx context.Context, k *link) (dispatch.Outcome, json.RawMessage, string) {
	request, err := a.request(ctx)
	if err != nil {
		return dispatch.NotStarted, nil, err.Error()
	}
	response, err := k.transport.RoundTrip(request)
	if err != nil && !a.written() {
		return dispatch.NotStarted, nil, err.Error()
	}
	if err != nil {
		return dispatch.OutcomeUnknown, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	a.answered = true
	return a.read(response)
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + a.start.Address + wire.PathTasks
	// A body without GetBody keeps the transport from sending it a second time.
	body := io.NopCloser(bytes.NewReader(a.start.Task.Payload))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(a.start.Task.Payload))
	if request.ContentLength == 0 {
		request.Body = http.NoBody
	}
	budget := time.Until(a.start.Deadline).Milliseconds()
	request.Header.Set(wire.TaskHeader, a.name)
	request.Header.Set(wire.BudgetHeader, strconv.FormatInt(budget, 10))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// gotConn is called before the request is written. A connection that came too
// late, as after a freeze of this host, is closed, so that nothing is sent to a
// target whose lease is over.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.conn = c
	a.before = c.written.Load()
	if !time.Now().Before(a.start.LeaseEnd) {
		_ = c.Close()
	}
}

func (a *attempt) read(response *http.Response) (dispatch.Outcome, json.RawMessage, string) {
	if response.Header.Get(wire.TaskHeader) != a.name {
		return dispatch.OutcomeUnknown, nil, "the answer, " + response.Status + ", does not name the task"
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	output, err := io.ReadAll(io.LimitReader(response.Body, maxOutputBytes+1))
	if err != nil {
		return dispatch.OutcomeUnknown, nil, "the answer was cut short: " + err.Error()
	}
	if len(output) > maxOutputBytes || !json.Valid(output) {
		return dispatch.TaskError, nil, "the output is too large or not valid JSON"
	}
	return dispatch.Done, output, ""
}

// refusal reads an answer other than 200. Only the target's own word that the
// task did not run is taken as such.
func refusal(response *http.Response) (dispatch.Outcome, json.RawMessage, string) {
	message := "the target answered " + response.Status
	switch response.Header.Get(wire.RanHeader) {
	case "no":
		return dispatch.NotStarted, nil, message
	case "yes":
		return dispatch.TaskError, nil, message
	}
	return dispatch.OutcomeUnknown, nil, message
}
