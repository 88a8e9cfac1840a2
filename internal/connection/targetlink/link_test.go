package targetlink_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/targetlink"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/job"
)

const testTimeout = 20 * time.Second

func newLinks() *targetlink.Links {
	return targetlink.NewLinks(targetlink.Config{AttemptNamePrefix: "a1.1", DialTimeout: testTimeout})
}

func newStart(address string, timeout time.Duration) dispatch.Start {
	return dispatch.Start{
		ID:             7,
		Job:            3,
		Address:        address,
		MaxConnections: 4,
		Task:           &job.Task{ID: "t1", Payload: []byte(`{"a":1}`)},
		SuspectAt:      time.Now().Add(testTimeout),
		Deadline:       time.Now().Add(timeout),
		LeaseEnd:       time.Now().Add(testTimeout),
	}
}

// rawTarget accepts TCP connections and passes each to serve. It returns the address.
func rawTarget(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request and returns its task name.
func readRequest(conn net.Conn) (string, error) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return "", err
	}
	return request.Header.Get(wire.TaskHeader), nil
}

func TestResponsesMapToOutcomes(t *testing.T) {
	cases := map[string]struct {
		serve http.HandlerFunc
		want  dispatch.Outcome
	}{
		"output": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.TaskHeader, r.Header.Get(wire.TaskHeader))
			_, _ = w.Write([]byte(`{"ok":true}`))
		}, dispatch.Done},
		"answer to another task": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.TaskHeader, "a1.1.3.8/t1")
			_, _ = w.Write([]byte(`{}`))
		}, dispatch.OutcomeUnknown},
		"not JSON": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.TaskHeader, r.Header.Get(wire.TaskHeader))
			_, _ = w.Write([]byte(`{"ok":`))
		}, dispatch.TaskError},
		"cut short": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.TaskHeader, r.Header.Get(wire.TaskHeader))
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{}`))
		}, dispatch.OutcomeUnknown},
		"refused as not run": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.TaskHeader, r.Header.Get(wire.TaskHeader))
			w.Header().Set(wire.RanHeader, "no")
			w.WriteHeader(http.StatusTooManyRequests)
		}, dispatch.NotStarted},
		"refusal of another task": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.TaskHeader, "a1.1.3.8/t1")
			w.Header().Set(wire.RanHeader, "no")
			w.WriteHeader(http.StatusTooManyRequests)
		}, dispatch.OutcomeUnknown},
		"refusal without a name": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.RanHeader, "no")
			w.WriteHeader(http.StatusTooManyRequests)
		}, dispatch.OutcomeUnknown},
		"failed": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.TaskHeader, r.Header.Get(wire.TaskHeader))
			w.Header().Set(wire.RanHeader, "yes")
			w.WriteHeader(http.StatusInternalServerError)
		}, dispatch.TaskError},
		"error without a header": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, dispatch.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.serve)
			defer server.Close()
			result := newLinks().Send(context.Background(), newStart(server.Listener.Addr().String(), testTimeout))
			NewWithT(t).Expect(result.Outcome).To(Equal(c.want), result.Message)
		})
	}
}

func TestARefusedConnectionMeansNotStarted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	g.Expect(newLinks().Send(context.Background(), newStart(address, testTimeout)).Outcome).To(Equal(dispatch.NotStarted))
}

func TestNoRequestIsSentAfterTheLeaseExpired(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	s := newStart(server.Listener.Addr().String(), testTimeout)
	s.LeaseEnd = time.Now()
	g.Expect(newLinks().Send(context.Background(), s).Outcome).To(Equal(dispatch.NotStarted))
	g.Expect(requests.Load()).To(BeZero())
}

// TestARequestIsNotResentOnAReusedConnection closes a reused connection after the
// target has read the second request. HTTP clients may repeat a request that fails
// there.
func TestARequestIsNotResentOnAReusedConnection(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	address := rawTarget(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		name, err := readRequest(conn)
		if err != nil {
			return
		}
		requests.Add(1)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + wire.TaskHeader + ": " + name + "\r\nContent-Length: 2\r\n\r\n{}"))
		if _, err := readRequest(conn); err == nil {
			requests.Add(1)
		}
	})
	l := newLinks()
	g.Expect(l.Send(context.Background(), newStart(address, testTimeout)).Outcome).To(Equal(dispatch.Done))
	g.Expect(l.Send(context.Background(), newStart(address, testTimeout)).Outcome).To(Equal(dispatch.OutcomeUnknown))
	g.Expect(requests.Load()).To(BeEquivalentTo(2))
}

// TestSilentConnectionsLoseAtMostOneRequest makes all connections stop answering
// after their first answer. The request sent on one of them is lost; the other
// connections are discarded with it, so that the next request uses a new connection.
func TestSilentConnectionsLoseAtMostOneRequest(t *testing.T) {
	const silent = 3
	g := NewWithT(t)
	var connections atomic.Int32
	var firstRequests sync.WaitGroup
	firstRequests.Add(silent)
	address := rawTarget(t, func(conn net.Conn) {
		goesSilent := connections.Add(1) <= silent
		for {
			name, err := readRequest(conn)
			if err != nil {
				return
			}
			if goesSilent {
				firstRequests.Done()
				firstRequests.Wait()
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + wire.TaskHeader + ": " + name + "\r\nContent-Length: 2\r\n\r\n{}"))
			if goesSilent {
				select {}
			}
		}
	})
	l := newLinks()
	results := make(chan dispatch.Result, silent)
	for range silent {
		go func() { results <- l.Send(context.Background(), newStart(address, testTimeout)) }()
	}
	for range silent {
		g.Expect((<-results).Outcome).To(Equal(dispatch.Done))
	}
	lostResult := l.Send(context.Background(), newStart(address, 2*time.Second))
	g.Expect(lostResult.Outcome).To(Equal(dispatch.OutcomeUnknown), lostResult.Message)
	g.Expect(l.Send(context.Background(), newStart(address, testTimeout)).Outcome).To(Equal(dispatch.Done))
	g.Expect(connections.Load()).To(BeEquivalentTo(silent + 1))
}

// TestAnOverdueAnswerIsAwaitedWhileOtherStartsUseNewConnections delays an answer past
// SuspectAt until another start has been served. The other start must use a new
// connection, and the delayed answer must still be received.
func TestAnOverdueAnswerIsAwaitedWhileOtherStartsUseNewConnections(t *testing.T) {
	g := NewWithT(t)
	var connections atomic.Int32
	requestReceived, answerReleased := make(chan struct{}), make(chan struct{})
	address := rawTarget(t, func(conn net.Conn) {
		connectionNumber := connections.Add(1)
		for {
			name, err := readRequest(conn)
			if err != nil {
				return
			}
			if connectionNumber == 1 {
				close(requestReceived)
				<-answerReleased
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + wire.TaskHeader + ": " + name + "\r\nContent-Length: 2\r\n\r\n{}"))
		}
	})
	l := newLinks()
	overdue := newStart(address, testTimeout)
	overdue.MaxConnections = 1
	overdue.SuspectAt = time.Now()
	overdueResult := make(chan dispatch.Result, 1)
	go func() { overdueResult <- l.Send(context.Background(), overdue) }()
	<-requestReceived
	other := newStart(address, testTimeout)
	other.MaxConnections = 1
	g.Expect(l.Send(context.Background(), other).Outcome).To(Equal(dispatch.Done))
	g.Expect(overdueResult).NotTo(Receive())
	close(answerReleased)
	g.Expect((<-overdueResult).Outcome).To(Equal(dispatch.Done))
	g.Expect(connections.Load()).To(BeEquivalentTo(2))
}

func TestNoConnectionBeforeTheDeadlineMeansNotStarted(t *testing.T) {
	g := NewWithT(t)
	requestReceived, answerReleased := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(requestReceived)
		<-answerReleased
	}))
	defer server.Close()
	defer close(answerReleased)
	l := newLinks()
	first := newStart(server.Listener.Addr().String(), testTimeout)
	first.MaxConnections = 1
	go l.Send(context.Background(), first)
	<-requestReceived
	second := newStart(server.Listener.Addr().String(), 50*time.Millisecond)
	second.MaxConnections = 1
	g.Expect(l.Send(context.Background(), second).Outcome).To(Equal(dispatch.NotStarted))
}
