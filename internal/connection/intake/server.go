package intake

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts are the limits of one connection.
type Timeouts struct {
	Header      time.Duration // to receive the headers of a request
	Idle        time.Duration // without a byte between requests, in a body, or of an answer that is read
	HeaderBytes int           // of a request
}

// Config configures a Server.
type Config struct {
	Handler http.Handler
	Limits  Limits
	// Timeouts returns the limits in force. It is called for each read and write, so that
	// a change takes effect on open connections.
	Timeouts func() Timeouts
	ErrorLog *log.Logger
}

// Server is an HTTP server whose clients are bounded.
type Server struct {
	*http.Server
	Limiter *Limiter
	config  Config
}

// maxHeaderBytes is above any limit that Timeouts sets; net/http has only a fixed one.
const maxHeaderBytes = 1 << 30

// NewServer returns a server. It speaks HTTP/1 only: the requests of an HTTP/2
// connection share its buffers, and have no accounts of their own.
func NewServer(config Config) *Server {
	s := &Server{config: config, Limiter: NewLimiter(config.Limits)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	s.Server = &http.Server{
		Handler:        http.HandlerFunc(s.handle),
		MaxHeaderBytes: maxHeaderBytes,
		Protocols:      protocols,
		ErrorLog:       config.ErrorLog,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connOf(c))
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				connOf(c).enter(Waiting)
			}
		},
	}
	return s
}

type connKey struct{}

// connOf returns the connection below c, which may use TLS.
func connOf(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return c.(*conn)
}

// Listen listens on a TCP address with small kernel buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without these buffers the kernel's usual ones are used.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Serve serves the connections that inner accepts.
func (s *Server) Serve(inner net.Listener) error { return s.Server.Serve(listener{inner, s}) }

// ServeTLS is Serve with TLS.
func (s *Server) ServeTLS(inner net.Listener, certFile, keyFile string) error {
	return s.Server.ServeTLS(listener{inner, s}, certFile, keyFile)
}

// listener accepts the connections that find room.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := newConn(inner, l.server.config.Timeouts, now)
		if c.account = l.server.Limiter.Admit(now, c.giveWay); c.account != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// headerLineBytes is what a line of headers takes beside its text.
const headerLineBytes = 128

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	text, lines := len(r.Method)+len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			text += len(name) + len(value)
			lines++
		}
	}
	phase := Working
	if r.Body != nil && r.Body != http.NoBody {
		phase = Body
	}
	if !c.begin(phase, int64(text+lines*headerLineBytes)) {
		refuse(w, http.StatusServiceUnavailable)
	} else if text > c.timeouts().HeaderBytes {
		refuse(w, http.StatusRequestHeaderFieldsTooLarge)
	} else {
		s.config.Handler.ServeHTTP(w, r)
	}
	if c.currentPhase() == Body {
		c.discard(r)
	}
}

// refuse answers a request that has not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
}
