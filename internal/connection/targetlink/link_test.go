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

const limit = 20 * time.Second

func links() *targetlink.Links {
	return targetlink.NewLinks(targetlink.Config{AttemptNamePrefix: "a1.1", DialTimeout: limit})
}

func start(address string, timeout time.Duration) dispatch.Start {
	return dispatch.Start{
		ID:             7,
		Job:            3,
		Address:        address,
		MaxConnections: 4,
		Task:           &job.Task{ID: "t1", Payload: []byte(`{"a":1}`)},
		SuspectAt:      time.Now().Add(limit),
		Deadline:       time.Now().Add(timeout),
		LeaseEnd:       time.Now().Add(limit),
	}
}

// rawTarget accepts connections and hands each to serve.
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

// readRequest reads one request and returns the name of its task.
func readRequest(conn net.Conn) (string, error) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return "", err
	}
	return request.Header.Get(wire.TaskHeader), nil
}

func TestOutcomeOfAnAnswer(t *testing.T) {
	cases := map[string]struct {
		serve http.HandlerFunc
		want  dispatch.Outcome
	}{
		"output": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.TaskHeader, r.Header.Get(wire.TaskHeader))
			_, _ = w.Write([]byte(`{"ok":true}`))
		}, dispatch.Done},
		"crossed": {func(w http.ResponseWriter, _ *http.Request) {
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
		"error without word": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, dispatch.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.serve)
			defer server.Close()
			result := links().Send(context.Background(), start(server.Listener.Addr().String(), limit))
			NewWithT(t).Expect(result.Outcome).To(Equal(c.want), result.Message)
		})
	}
}

func TestRefusedDialIsNotStarted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	g.Expect(links().Send(context.Background(), start(address, limit)).Outcome).To(Equal(dispatch.NotStarted))
}

func TestNothingIsSentAfterTheLease(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	s := start(server.Listener.Addr().String(), limit)
	s.LeaseEnd = time.Now()
	g.Expect(links().Send(context.Background(), s).Outcome).To(Equal(dispatch.NotStarted))
	g.Expect(requests.Load()).To(BeZero())
}

// TestRequestIsSentOnce closes the connection after the request on a reused
// connection, where HTTP clients are tempted to send again.
func TestRequestIsSentOnce(t *testing.T) {
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
	l := links()
	g.Expect(l.Send(context.Background(), start(address, limit)).Outcome).To(Equal(dispatch.Done))
	g.Expect(l.Send(context.Background(), start(address, limit)).Outcome).To(Equal(dispatch.OutcomeUnknown))
	g.Expect(requests.Load()).To(BeEquivalentTo(2))
}

// TestSilentConnectionsSwallowOneRequest lets all first connections go silent
// after their first answer. The request on one of them is lost; the others are
// retired with it, so that the next request uses a new connection.
func TestSilentConnectionsSwallowOneRequest(t *testing.T) {
	const silent = 3
	g := NewWithT(t)
	var connections atomic.Int32
	var warm sync.WaitGroup
	warm.Add(silent)
	address := rawTarget(t, func(conn net.Conn) {
		first := connections.Add(1) <= silent
		for {
			name, err := readRequest(conn)
			if err != nil {
				return
			}
			if first {
				warm.Done()
				warm.Wait()
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + wire.TaskHeader + ": " + name + "\r\nContent-Length: 2\r\n\r\n{}"))
			if first {
				select {}
			}
		}
	})
	l := links()
	results := make(chan dispatch.Result, silent)
	for range silent {
		go func() { results <- l.Send(context.Background(), start(address, limit)) }()
	}
	for range silent {
		g.Expect((<-results).Outcome).To(Equal(dispatch.Done))
	}
	lost := l.Send(context.Background(), start(address, 2*time.Second))
	g.Expect(lost.Outcome).To(Equal(dispatch.OutcomeUnknown), lost.Message)
	g.Expect(l.Send(context.Background(), start(address, limit)).Outcome).To(Equal(dispatch.Done))
	g.Expect(connections.Load()).To(BeEquivalentTo(silent + 1))
}

// TestOverdueAnswerIsAwaitedWhileOthersUseNewConnections holds an answer back
// on a connection that is suspect, until another start was served.
func TestOverdueAnswerIsAwaitedWhileOthersUseNewConnections(t *testing.T) {
	g := NewWithT(t)
	var connections atomic.Int32
	entered, released := make(chan struct{}), make(chan struct{})
	address := rawTarget(t, func(conn net.Conn) {
		number := connections.Add(1)
		for {
			name, err := readRequest(conn)
			if err != nil {
				return
			}
			if number == 1 {
				close(entered)
				<-released
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + wire.TaskHeader + ": " + name + "\r\nContent-Length: 2\r\n\r\n{}"))
		}
	})
	l := links()
	overdue := start(address, limit)
	overdue.MaxConnections = 1
	overdue.SuspectAt = time.Now()
	late := make(chan dispatch.Result, 1)
	go func() { late <- l.Send(context.Background(), overdue) }()
	<-entered
	other := start(address, limit)
	other.MaxConnections = 1
	g.Expect(l.Send(context.Background(), other).Outcome).To(Equal(dispatch.Done))
	g.Expect(late).NotTo(Receive())
	close(released)
	g.Expect((<-late).Outcome).To(Equal(dispatch.Done))
	g.Expect(connections.Load()).To(BeEquivalentTo(2))
}

func TestNoConnectionInTimeIsNotStarted(t *testing.T) {
	g := NewWithT(t)
	entered, held := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-held
	}))
	defer server.Close()
	defer close(held)
	l := links()
	first := start(server.Listener.Addr().String(), limit)
	first.MaxConnections = 1
	go l.Send(context.Background(), first)
	<-entered
	second := start(server.Listener.Addr().String(), 50*time.Millisecond)
	second.MaxConnections = 1
	g.Expect(l.Send(context.Background(), second).Outcome).To(Equal(dispatch.NotStarted))
}
