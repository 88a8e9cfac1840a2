package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

const pieceBytes = 4 << 10 // of a body that is sent piece by piece

// Whole returns a client that sends a request with the body and waits for the answer.
// The last byte is sent once every client has sent the rest.
func Whole(head string, body []byte) Client {
	return func(conn net.Conn, meet func()) {
		if !send(conn, withLength(head, len(body))) || !send(conn, body[:len(body)-1]) {
			return
		}
		meet()
		if send(conn, body[len(body)-1:]) {
			_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
			_, _ = conn.Read(make([]byte, 1))
		}
	}
}

// Unfinished returns a client that sends a request with the body piece by piece and
// stops one byte before its end.
func Unfinished(head string, body []byte) Client {
	return func(conn net.Conn, _ func()) {
		if !send(conn, withLength(head, len(body))) {
			return
		}
		for rest := body[:len(body)-1]; len(rest) > 0; {
			n := min(pieceBytes, len(rest))
			if !send(conn, rest[:n]) {
				return
			}
			rest = rest[n:]
		}
	}
}

// UnfinishedChunks returns a client that sends the body in chunks of the given size,
// without the last chunk.
func UnfinishedChunks(head string, body []byte, chunkBytes int) Client {
	var encoded bytes.Buffer
	encoded.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := body[:len(body)-1]; len(rest) > 0; {
		n := min(chunkBytes, len(rest))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return func(conn net.Conn, _ func()) { send(conn, encoded.Bytes()) }
}

// Endless returns a client that sends a chunked body without an end until its
// connection is closed or nothing of it has been read for a while.
func Endless(head string) Client {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", pieceBytes, strings.Repeat(" ", pieceBytes))
	return func(conn net.Conn, _ func()) {
		for ok := send(conn, []byte(head+"Transfer-Encoding: chunked\r\n\r\n")); ok; {
			ok = send(conn, chunk)
		}
	}
}

// Headers returns a client that sends the start of a request with count short headers
// and does not end them.
func Headers(head string, count int) Client {
	var text strings.Builder
	text.WriteString(head)
	for i := range count {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return func(conn net.Conn, _ func()) { send(conn, []byte(text.String())) }
}

// Silent returns a client that sends nothing.
func Silent() Client { return func(net.Conn, func()) {} }

// Unread returns a client that sends the request count times and reads no answer.
func Unread(head string, count int) Client {
	requests := bytes.Repeat([]byte(head+"\r\n"), count)
	return func(conn net.Conn, _ func()) { send(conn, requests) }
}

// Head returns the start of a request: its first line and the Host header.
func Head(method, path, host string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
}

func withLength(head string, length int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, length)
}

func send(conn net.Conn, data []byte) bool {
	_, err := conn.Write(data)
	return err == nil
}
