package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	firstBufferBytes = 4 << 10
	// textFactor is how much longer a text may be once it is decoded: a byte that is not
	// UTF-8 becomes a character of three.
	textFactor = 3
	// elementBytes is what a number or a short text of a list takes.
	elementBytes = 32
)

// Request is the account of a request in progress. The zero value belongs to a request
// of another server, which is not charged.
type Request struct{ conn *conn }

// RequestOf returns the account of r.
func RequestOf(r *http.Request) Request {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return Request{c}
}

// ReadBody returns the whole body of r, of at most limit bytes. It reads for the time that
// the client waits, or without a bound of its own if patience is 0. Its errors have the
// kinds TooLarge, Overloaded if the request has given way to others, ExpiredQueued if
// the time has passed, and InvalidRequest. After an error the request must not run.
func (q Request) ReadBody(r *http.Request, limit int64, patience time.Duration) ([]byte, error) {
	limit = max(0, limit)
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if q.conn != nil && patience > 0 {
		q.conn.setUntil(time.Now().Add(patience))
	}
	body, err := q.read(r, limit)
	if q.conn != nil && err == nil && !q.conn.enter(Working) {
		err = errGaveWay
	}
	var kind *failure.Error
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &kind):
		return nil, err
	case q.conn != nil && q.conn.refused.Load(), errors.Is(err, errGaveWay):
		return nil, failure.New(failure.Overloaded, "the host has no memory left for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, failure.New(failure.ExpiredQueued, "the body has not arrived in time")
	default:
		return nil, failure.Invalid("body", "could not be read: "+err.Error())
	}
}

func tooLarge(limit int64) error {
	return &failure.Error{Kind: failure.TooLarge, Field: "body", Message: "must be at most " + strconv.FormatInt(limit, 10) + " bytes"}
}

// read reads the body into a buffer that grows with what arrives.
func (q Request) read(r *http.Request, limit int64) ([]byte, error) {
	most := limit + 1 // a longer body is known by its next byte
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	}
	body := make([]byte, 0, min(most, firstBufferBytes))
	for {
		if len(body) == cap(body) {
			grown := min(2*int64(cap(body)), most)
			if !q.Hold(int64(cap(body)) + grown) {
				return nil, errGaveWay
			}
			body = append(make([]byte, 0, grown), body...)
			q.Hold(grown)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, tooLarge(limit)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// Hold charges the request with n bytes beside its headers, in place of what it held. It
// returns false if there is no room: then the request must be refused.
func (q Request) Hold(n int64) bool {
	return q.conn == nil || q.conn.holdTotal(q.conn.headersHeld+n)
}

// HoldDecoded charges the request with its body and with what decoding this JSON text
// takes, where each object in a list takes objectBytes. It returns the latter, which the
// request holds once the text is no longer in use. Its errors have the kind TooLarge if
// that is more than all clients may use, and Overloaded if there is no room now: then the
// request must be refused.
func (q Request) HoldDecoded(body []byte, objectBytes int64) (int64, error) {
	decoded := decodedBytes(body, objectBytes)
	if q.conn != nil && decoded > q.conn.account.limiter.limits.largest() {
		return 0, &failure.Error{Kind: failure.TooLarge, Field: "body", Message: "holds too many values"}
	}
	if !q.Hold(int64(cap(body)) + decoded) {
		return 0, failure.New(failure.Overloaded, "the host has no memory left for what the body holds")
	}
	return decoded, nil
}

// maxListDepth is the depth of the deepest list that is decoded. What lies deeper stays
// text.
const maxListDepth = 4

// decodedBytes returns an upper bound of what a JSON text takes once it is decoded into
// lists of objects.
func decodedBytes(text []byte, objectBytes int64) int64 {
	total := int64(textFactor * len(text))
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch b := text[i]; {
		case quoted && b == '\\':
			i++
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == '{' || b == '[':
			if b == '{' && depth < maxListDepth {
				total += objectBytes
			}
			depth++
		case b == '}' || b == ']':
			depth--
		case b == ',' && depth <= maxListDepth:
			total += elementBytes
		}
	}
	return total
}
