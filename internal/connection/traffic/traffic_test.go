package traffic_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/traffic"
)

type counter struct{ total atomic.Int64 }

func (c *counter) Inc(delta int64) { c.total.Add(delta) }

func TestBothEndsCountSentAndReceivedBytes(t *testing.T) {
	g := NewWithT(t)
	var clientSent, clientReceived, serverSent, serverReceived counter
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := traffic.Meter{Sent: &serverSent, Received: &serverReceived}.Listen(inner)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(c, c, 5)
		_ = c.Close()
	}()
	c, err := traffic.Meter{Sent: &clientSent, Received: &clientReceived}.Dial(context.Background(), inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Write([]byte("hello"))
	g.Expect(err).NotTo(HaveOccurred())
	echo, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	<-done
	g.Expect(string(echo)).To(Equal("hello"))
	for _, c := range []*counter{&clientSent, &clientReceived, &serverSent, &serverReceived} {
		g.Expect(c.total.Load()).To(Equal(int64(5)))
	}
	g.Expect(inner.Close()).To(Succeed())
}
