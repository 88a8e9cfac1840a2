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
	maxOutputBytes    = 4 << 20          // maximum output of one task
	idleConnTimeout   = 60 * time.Second // after which an idle connection is closed
	keepAliveIdle     = 5 * time.Second  // silence after which TCP keep-alive probes start
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	maxStopConns      = 2 // connections to one target for stop requests
)

// Config configures Links.
type Config struct {
	AttemptNamePrefix string        // prefix of attempt names; identifies this host and its incarnation
	DialTimeout       time.Duration // for one connection to be made
}

// Links holds the connections to all targets and implements dispatch.Sender. It is
// safe for concurrent use.
type Links struct {
	config        Config
	mu            sync.Mutex
	links         map[string]*link // by address
	stopTransport *http.Transport  // for stop requests; separate, so that start requests cannot hold them up
}

// link holds the connections for start requests to one target.
type link struct {
	transport *http.Transport
	maxConns  int
}

// NewLinks returns Links without connections.
func NewLinks(config Config) *Links {
	l := &Links{config: config, links: make(map[string]*link)}
	l.stopTransport = l.newTransport(maxStopConns)
	return l
}

// Send implements dispatch.Sender. At the start's SuspectAt and after an unknown
// outcome the link is discarded, so that later starts use new connections.
func (l *Links) Send(ctx context.Context, s dispatch.Start) dispatch.Result {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	a := &attempt{start: s, name: l.taskName(s)}
	targetLink := l.linkTo(s.Address, s.MaxConnections)
	suspectTimer := time.AfterFunc(time.Until(s.SuspectAt), func() { l.discardLink(s.Address, targetLink) })
	defer suspectTimer.Stop()
	outcome, output, message := a.send(ctx, targetLink)
	if outcome == dispatch.OutcomeUnknown {
		l.discardLink(s.Address, targetLink)
	}
	return dispatch.Result{ID: s.ID, Outcome: outcome, Output: output, Message: message, NoAnswer: !a.answered}
}

// taskName returns the name of an attempt, which is unique among all hosts and
// incarnations.
func (l *Links) taskName(s dispatch.Start) string {
	return l.config.AttemptNamePrefix + "." + s.AttemptName()
}

// linkTo returns the link to address. It replaces the link if the number of
// connections allowed has changed.
func (l *Links) linkTo(address string, maxConns int) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	targetLink, ok := l.links[address]
	if !ok || targetLink.maxConns != maxConns {
		targetLink = &link{transport: l.newTransport(maxConns), maxConns: maxConns}
		l.links[address] = targetLink
	}
	return targetLink
}

// discardLink removes a link whose connections may no longer answer, so that the
// next start opens new ones. Attempts in progress on the link continue.
func (l *Links) discardLink(address string, targetLink *link) {
	l.mu.Lock()
	if l.links[address] == targetLink {
		delete(l.links, address)
	}
	l.mu.Unlock()
	targetLink.transport.CloseIdleConnections()
}

// newTransport returns a transport with at most maxConns connections to a target.
// TCP keep-alive probes close a connection that no longer answers.
func (l *Links) newTransport(maxConns int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: l.config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
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
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: max(maxConns, 1),
		IdleConnTimeout:     idleConnTimeout,
	}
}

// attempt is one start request.
type attempt struct {
	start       dispatch.Start
	name        string
	conn        *countingConn // nil until the transport obtained a connection
	bytesBefore int64         // bytes written to conn before this request

	answered bool // a response of any status arrived
}

// mayHaveBeenSent reports whether a byte of the request may have reached the
// network.
func (a *attempt) mayHaveBeenSent() bool {
	return a.conn != nil && a.conn.bytesWritten.Load() > a.bytesBefore
}

func (a *attempt) send(ctx context.Context, targetLink *link) (dispatch.Outcome, json.RawMessage, string) {
	request, err := a.newRequest(ctx)
	if err != nil {
		return dispatch.NotStarted, nil, err.Error()
	}
	response, err := targetLink.transport.RoundTrip(request)
	if err != nil && !a.mayHaveBeenSent() {
		return dispatch.NotStarted, nil, err.Error()
	}
	if err != nil {
		return dispatch.OutcomeUnknown, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	a.answered = true
	return a.readResponse(response)
}

func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + a.start.Address + wire.PathTasks
	// Without GetBody the transport cannot send the body a second time.
	body := io.NopCloser(bytes.NewReader(a.start.Task.Payload))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(a.start.Task.Payload))
	if request.ContentLength == 0 {
		request.Body = http.NoBody
	}
	budgetMS := time.Until(a.start.Deadline).Milliseconds()
	request.Header.Set(wire.TaskHeader, a.name)
	request.Header.Set(wire.BudgetHeader, strconv.FormatInt(budgetMS, 10))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// gotConn is called by the transport before it writes the request. If the target's
// lease has expired by then, for example because this host was frozen, gotConn closes
// the connection, so that nothing is sent.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.conn = c
	a.bytesBefore = c.bytesWritten.Load()
	if !time.Now().Before(a.start.LeaseEnd) {
		_ = c.Close()
	}
}

// readResponse returns the outcome that a response states. A response that does not
// name the attempt may belong to another one and leaves the outcome unknown.
func (a *attempt) readResponse(response *http.Response) (dispatch.Outcome, json.RawMessage, string) {
	if response.Header.Get(wire.TaskHeader) != a.name {
		return dispatch.OutcomeUnknown, nil, "the answer, " + response.Status + ", does not name the task"
	}
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
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

// readRefusal returns the outcome of a response other than 200. Only a RanHeader of
// "no" counts as proof that the task was not started.
func readRefusal(response *http.Response) (dispatch.Outcome, json.RawMessage, string) {
	message := "the target answered " + response.Status
	switch response.Header.Get(wire.RanHeader) {
	case "no":
		return dispatch.NotStarted, nil, message
	case "yes":
		return dispatch.TaskError, nil, message
	}
	return dispatch.OutcomeUnknown, nil, message
}
