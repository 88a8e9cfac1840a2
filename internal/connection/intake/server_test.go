package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/intake"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const testTimeout = 20 * time.Second // long, because no test here asserts speed

// testServer answers a POST with the length of its body, or the kind of the failure, and
// a POST to /refused without reading the body. The client of a POST to /brief waits 20 ms
// for its body to arrive.
type testServer struct {
	*intake.Server
	g       *WithT
	address string
	ran     atomic.Int64
	idle    atomic.Int64 // nanoseconds
}

const bodyLimit = 1 << 20

func newTestServer(t *testing.T, limits intake.Limits) *testServer {
	s := &testServer{g: NewWithT(t)}
	s.idle.Store(int64(testTimeout))
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		request := intake.RequestOf(r)
		patience := time.Duration(0)
		if r.URL.Path == "/brief" {
			patience = 20 * time.Millisecond
		}
		body, err := request.ReadBody(r, bodyLimit, patience)
		if err == nil {
			_, err = request.HoldDecoded(body, 600)
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, failure.KindOf(err))
			return
		}
		s.ran.Add(1)
		_, _ = fmt.Fprint(w, len(body))
	})
	mux.HandleFunc("POST /refused", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	mux.HandleFunc("GET /", func(http.ResponseWriter, *http.Request) {})
	s.Server = intake.NewServer(intake.Config{Handler: mux, Limits: limits, Timeouts: func() intake.Timeouts {
		return intake.Timeouts{Header: testTimeout, Idle: time.Duration(s.idle.Load()), HeaderBytes: 2 << 10}
	}})
	listener, err := intake.Listen("127.0.0.1:0")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s
}

// peer is a client's connection.
type peer struct {
	net.Conn
	g      *WithT
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *peer {
	c, err := net.Dial("tcp", s.address)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	t.Cleanup(func() { _ = c.Close() })
	return &peer{c, s.g, bufio.NewReader(c)}
}

func (p *peer) sends(text string) {
	_, err := io.WriteString(p, text)
	p.g.Expect(err).NotTo(HaveOccurred())
}

// answer returns the status and the body of the next answer.
func (p *peer) answer() (int, string) {
	answer, err := http.ReadResponse(p.reader, nil)
	p.g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(answer.Body)
	p.g.Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, string(text)
}

// isClosed waits until the server closes the connection.
func (p *peer) isClosed() {
	_, err := p.reader.ReadByte()
	netErr, isNet := err.(net.Error)
	p.g.Expect(err).To(HaveOccurred())
	p.g.Expect(isNet && netErr.Timeout()).To(BeFalse(), "the connection is still open")
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", path, length)
}

func TestAConnectionServesRequestsOfAllSizes(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 16 << 20, Connections: 10})
	p := s.dial(t)
	for _, length := range []int{0, 1, 4095, 4096, 100_000, bodyLimit, 10} {
		p.sends(post("/", length) + strings.Repeat("x", length))
		status, text := p.answer()
		s.g.Expect(status).To(Equal(200))
		s.g.Expect(text).To(Equal(fmt.Sprint(length)))
		p.sends("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		if length > 0 {
			p.sends(fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("x", length)))
		}
		p.sends("0\r\n\r\n")
		_, text = p.answer()
		s.g.Expect(text).To(Equal(fmt.Sprint(length)))
	}
	s.g.Eventually(func() int64 { return s.Limiter.Stats().Bytes }, testTimeout, "5ms").Should(Equal(int64(32<<10)), "one idle connection")
}

func TestABodyAboveTheLimitIsRefused(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 16 << 20, Connections: 10})
	p := s.dial(t)
	p.sends(post("/", bodyLimit+1))
	_, text := p.answer()
	s.g.Expect(text).To(Equal(string(failure.TooLarge)))
	p = s.dial(t)
	p.sends("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	go func() { _, _ = fmt.Fprintf(p, "%x\r\n%s\r\n", bodyLimit+1, strings.Repeat("x", bodyLimit+1)) }()
	_, text = p.answer()
	s.g.Expect(text).To(Equal(string(failure.TooLarge)))
	s.g.Expect(s.ran.Load()).To(BeZero())
}

func TestARefusedRequestIsAnsweredBeforeItsBodyEnds(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 16 << 20, Connections: 10})
	p := s.dial(t)
	p.sends(post("/refused", 100) + "x")
	status, _ := p.answer()
	s.g.Expect(status).To(Equal(404))
	p.isClosed()
}

func TestAConnectionIsUsedAgainAfterARefusedRequest(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 16 << 20, Connections: 10})
	p := s.dial(t)
	for range 3 {
		p.sends(post("/refused", 20_000) + strings.Repeat("x", 20_000))
		status, _ := p.answer()
		s.g.Expect(status).To(Equal(404))
	}
	p.sends(post("/", 5) + "hello")
	status, _ := p.answer()
	s.g.Expect(status).To(Equal(200))
}

func TestABodyThatGivesWayIsRefusedAndHasNotRun(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 4 << 20, Connections: 10})
	var stalled []*peer
	for i := range 2 {
		p := s.dial(t)
		p.sends(post("/", bodyLimit) + strings.Repeat("x", 600<<10))
		s.g.Eventually(func() int64 { return s.Limiter.Stats().Bytes }, testTimeout, "5ms").Should(BeNumerically(">", (i+1)<<20))
		stalled = append(stalled, p)
	}
	other := s.dial(t)
	other.sends(post("/", 400<<10) + strings.Repeat("x", 400<<10))
	status, _ := other.answer()
	s.g.Expect(status).To(Equal(200))
	status, text := stalled[0].answer()
	s.g.Expect(status).To(Equal(503))
	s.g.Expect(text).To(Equal(string(failure.Overloaded)))
	stalled[0].isClosed()
	s.g.Expect(s.ran.Load()).To(Equal(int64(1)))
}

func TestABodyIsReadForAsLongAsItsClientWaits(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 16 << 20, Connections: 10})
	p := s.dial(t)
	p.sends(post("/brief", 10) + "x")
	_, text := p.answer()
	s.g.Expect(text).To(Equal(string(failure.ExpiredQueued)))
	p = s.dial(t)
	for range 2 { // the time of the first request is not that of the second
		p.sends(post("/brief", 5) + "hello")
		status, _ := p.answer()
		s.g.Expect(status).To(Equal(200))
		time.Sleep(30 * time.Millisecond)
	}
}

func TestABodyOfTooManyValuesIsRefused(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 8 << 20, Connections: 10})
	p := s.dial(t)
	body := "[" + strings.Repeat("{},", 50_000) + "{}]"
	p.sends(post("/", len(body)) + body)
	_, text := p.answer()
	s.g.Expect(text).To(Equal(string(failure.TooLarge)))
	quoted := `["` + strings.Repeat("{},", 50_000) + `\"{"]`
	p.sends(post("/", len(quoted)) + quoted)
	status, _ := p.answer()
	s.g.Expect(status).To(Equal(200))
}

func TestLongHeadersAreRefused(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 16 << 20, Connections: 10})
	p := s.dial(t)
	p.sends("GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 3<<10) + "\r\n\r\n")
	status, _ := p.answer()
	s.g.Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	p = s.dial(t)
	p.sends("GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 8<<10))
	status, _ = p.answer()
	s.g.Expect(status).To(Equal(http.StatusBadRequest))
	p.isClosed()
}

func TestAnIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 16 << 20, Connections: 10})
	idle, inBody, unread := s.dial(t), s.dial(t), s.dial(t)
	s.idle.Store(int64(10 * time.Millisecond))
	idle.sends("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _ := idle.answer()
	s.g.Expect(status).To(Equal(200))
	idle.isClosed()
	inBody.sends(post("/", 10) + "x")
	_, text := inBody.answer()
	s.g.Expect(text).To(Equal(string(failure.ExpiredQueued)))
	inBody.isClosed()
	go func() {
		for {
			if _, err := io.WriteString(unread, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1000)); err != nil {
				return
			}
		}
	}()
	s.g.Eventually(func() int { return s.Limiter.Stats().Connections }, testTimeout, "5ms").Should(BeZero())
}

func TestAClientThatLeavesEndsItsRequest(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	server := intake.NewServer(intake.Config{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = intake.RequestOf(r).ReadBody(r, bodyLimit, 0)
			<-r.Context().Done()
			close(ended)
		}),
		Limits: intake.Limits{Bytes: 16 << 20, Connections: 10},
		Timeouts: func() intake.Timeouts {
			return intake.Timeouts{Header: testTimeout, Idle: testTimeout, HeaderBytes: 2 << 10}
		},
	})
	listener, err := intake.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(c, post("/", 5)+"hello")
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(ended, "50ms").ShouldNot(BeClosed())
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(ended, testTimeout, "5ms").Should(BeClosed())
}
