package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/standin/relay"
)

const (
	limit = 20 * time.Second       // for what must happen
	quiet = 100 * time.Millisecond // for what must not happen
)

// echo listens and returns each line to its sender.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					fmt.Fprintln(conn, lines.Text())
				}
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func newRelay(t *testing.T) *relay.Relay {
	r, err := relay.NewRelay("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *relay.Relay) net.Conn {
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a line and returns what came back within wait.
func ask(conn net.Conn, line string, wait time.Duration) string {
	fmt.Fprintln(conn, line)
	return receive(conn, wait)
}

func receive(conn net.Conn, wait time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	buffer := make([]byte, 100)
	n, _ := conn.Read(buffer)
	return string(buffer[:n])
}

func TestACutHoldsBytesBackUntilItIsHealed(t *testing.T) {
	for _, d := range []relay.Direction{relay.Both, relay.Up, relay.Down} {
		g := NewWithT(t)
		r := newRelay(t)
		old := dial(t, r)
		g.Expect(ask(old, "one", limit)).To(Equal("one\n"))
		r.Cut(d)
		g.Expect(ask(old, "two", quiet)).To(BeEmpty(), string(d))
		fresh := dial(t, r)
		g.Expect(ask(fresh, "three", quiet)).To(BeEmpty(), string(d))
		r.Heal()
		g.Expect(receive(old, limit)).To(Equal("two\n"), string(d))
		g.Expect(receive(fresh, limit)).To(Equal("three\n"), string(d))
	}
}

func TestSilenceHoldsOnlyOpenConnections(t *testing.T) {
	g := NewWithT(t)
	r := newRelay(t)
	old := dial(t, r)
	g.Expect(ask(old, "one", limit)).To(Equal("one\n"))
	g.Expect(r.Silence()).To(Equal(1))
	r.Heal()
	g.Expect(ask(old, "two", quiet)).To(BeEmpty())
	g.Expect(ask(dial(t, r), "three", limit)).To(Equal("three\n"))
}

func TestRefuseResetsConnections(t *testing.T) {
	g := NewWithT(t)
	r := newRelay(t)
	old := dial(t, r)
	g.Expect(ask(old, "one", limit)).To(Equal("one\n"))
	r.Refuse()
	_ = old.SetReadDeadline(time.Now().Add(limit))
	_, err := old.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(ContainSubstring("reset")))
	r.Heal()
	g.Expect(ask(dial(t, r), "two", limit)).To(Equal("two\n"))
}
