package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Issuer identifies one incarnation of an entry host.
type Issuer struct {
	Host        string
	Incarnation uint64
}

// Ticket is the right to submit one job to its issuer.
type Ticket struct {
	Issuer
	Seq     uint64    // increases with each ticket of an incarnation
	Expires time.Time // millisecond resolution, by the issuer's clock
}

const (
	prefix           = "wf1."
	macBytes         = 16
	bytesWithoutHost = 3*8 + macBytes // incarnation, sequence number, expiry and MAC
	maxHostBytes     = 64
)

// Clock returns the current time.
type Clock func() time.Time

var encoding = base64.RawURLEncoding

// Minter issues the tickets of one incarnation of a host. It is safe for
// concurrent use.
type Minter struct {
	issuer   Issuer
	key      []byte
	lifetime time.Duration
	lastSeq  atomic.Uint64
}

// NewMinter returns a Minter. The key authenticates the tickets; each incarnation
// has its own random key. The lifetime is the time from the issue of a ticket to its
// expiry.
func NewMinter(issuer Issuer, key []byte, lifetime time.Duration) *Minter {
	return &Minter{issuer: issuer, key: key, lifetime: lifetime}
}

// Issue returns the next ticket in text form. It expires the Minter's lifetime after
// now, rounded down to milliseconds.
func (m *Minter) Issue(now time.Time) string {
	t := Ticket{
		Issuer:  m.issuer,
		Seq:     m.lastSeq.Add(1),
		Expires: now.Add(m.lifetime).Truncate(time.Millisecond),
	}
	body := encodeBody(t)
	return prefix + encoding.EncodeToString(append(body, m.mac(body)...))
}

// Issuer returns the incarnation that the tickets of this Minter name.
func (m *Minter) Issuer() Issuer { return m.issuer }

// Key returns the key that authenticates the tickets. A host that takes over the
// records of this incarnation needs the key to check its tickets.
func (m *Minter) Key() []byte { return m.key }

// Lifetime returns the time from the issue of a ticket to its expiry.
func (m *Minter) Lifetime() time.Duration { return m.lifetime }

// Check returns nil if the ticket in text form was issued by this Minter and has not
// expired. The error kinds are those of Parse, TicketInvalid if another host issued
// the ticket or its authentication code does not match, RecordLost if another
// incarnation of the host issued it, and TicketExpired.
func (m *Minter) Check(text string, now time.Time) error {
	t, err := Parse(text)
	if err != nil {
		return err
	}
	if t.Host != m.issuer.Host {
		return failure.New(failure.TicketInvalid, "the ticket was issued by another host")
	}
	if t.Incarnation != m.issuer.Incarnation {
		return failure.New(failure.RecordLost, "the host that issued the ticket has restarted since then")
	}
	body, mac := splitBodyAndMAC(text)
	if !hmac.Equal(mac, m.mac(body)) {
		return failure.New(failure.TicketInvalid, "the ticket's authentication code does not match its content")
	}
	if !now.Before(t.Expires) {
		return failure.New(failure.TicketExpired, "the ticket has expired")
	}
	return nil
}

func (m *Minter) mac(body []byte) []byte {
	h := hmac.New(sha256.New, m.key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// Parse decodes the text form of a ticket without checking its issuer, authentication
// code or expiry. The error kinds are TicketRequired if text is empty and
// TicketInvalid if it is malformed.
func Parse(text string) (Ticket, error) {
	if text == "" {
		return Ticket{}, failure.New(failure.TicketRequired, "submit again with the ticket in next_ticket")
	}
	body, _ := splitBodyAndMAC(text)
	if body == nil {
		return Ticket{}, &failure.Error{Kind: failure.TicketInvalid, Field: "ticket", Message: "not in the format of a ticket"}
	}
	t := Ticket{
		Issuer:  Issuer{Host: string(body[24:]), Incarnation: binary.BigEndian.Uint64(body)},
		Seq:     binary.BigEndian.Uint64(body[8:]),
		Expires: time.UnixMilli(int64(binary.BigEndian.Uint64(body[16:]))),
	}
	return t, nil
}

func encodeBody(t Ticket) []byte {
	body := binary.BigEndian.AppendUint64(nil, t.Incarnation)
	body = binary.BigEndian.AppendUint64(body, t.Seq)
	body = binary.BigEndian.AppendUint64(body, uint64(t.Expires.UnixMilli()))
	return append(body, t.Host...)
}

// splitBodyAndMAC decodes the text form of a ticket. It returns nil, nil if text is
// malformed.
func splitBodyAndMAC(text string) (body, mac []byte) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return nil, nil
	}
	raw, err := encoding.Strict().DecodeString(rest)
	if err != nil || len(raw) <= bytesWithoutHost || len(raw) > bytesWithoutHost+maxHostBytes {
		return nil, nil
	}
	return raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
}
