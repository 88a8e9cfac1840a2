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

// Issuer is one incarnation of an entry host.
type Issuer struct {
	Host        string
	Incarnation uint64
}

// Ticket is the right to submit one job to its issuer.
type Ticket struct {
	Issuer
	Seq     uint64    // grows with each ticket of an incarnation
	Expires time.Time // millisecond resolution, by the issuer's clock
}

const (
	prefix     = "wf1."
	macBytes   = 16
	fixedBytes = 3*8 + macBytes
	maxHost    = 64
)

// Clock returns the time now.
type Clock func() time.Time

var encoding = base64.RawURLEncoding

// Minter issues the tickets of one incarnation of a host. It is safe for
// concurrent use.
type Minter struct {
	issuer Issuer
	key    []byte
	life   time.Duration
	last   atomic.Uint64
}

// NewMinter returns a Minter. The key authenticates the tickets; it is drawn
// anew for each incarnation.
func NewMinter(issuer Issuer, key []byte, life time.Duration) *Minter {
	return &Minter{issuer: issuer, key: key, life: life}
}

// Issue returns the next ticket in its text form.
func (m *Minter) Issue(now time.Time) string {
	t := Ticket{
		Issuer:  m.issuer,
		Seq:     m.last.Add(1),
		Expires: now.Add(m.life).Truncate(time.Millisecond),
	}
	body := encode(t)
	return prefix + encoding.EncodeToString(append(body, m.mac(body)...))
}

// Issuer returns the incarnation that the tickets name.
func (m *Minter) Issuer() Issuer { return m.issuer }

// Key returns the key that authenticates the tickets, for the host that takes
// over the records.
func (m *Minter) Key() []byte { return m.key }

// Lifetime returns how long a ticket is valid.
func (m *Minter) Lifetime() time.Duration { return m.life }

// Check returns nil if the ticket in text form was issued by this Minter and
// has not expired. Its errors are RecordLost for another incarnation of the
// host, TicketInvalid and TicketExpired.
func (m *Minter) Check(text string, now time.Time) error {
	t, err := Parse(text)
	if err != nil {
		return err
	}
	if t.Host != m.issuer.Host {
		return failure.New(failure.TicketInvalid, "the ticket was issued by another host")
	}
	if t.Incarnation != m.issuer.Incarnation {
		return failure.New(failure.RecordLost, "the host that issued the ticket has restarted since")
	}
	body, mac := split(text)
	if !hmac.Equal(mac, m.mac(body)) {
		return failure.New(failure.TicketInvalid, "the ticket was altered")
	}
	if !now.Before(t.Expires) {
		return failure.New(failure.TicketExpired, "the ticket's time is over")
	}
	return nil
}

func (m *Minter) mac(body []byte) []byte {
	h := hmac.New(sha256.New, m.key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// Parse reads the text form without checking who issued it. Its errors are
// TicketRequired and TicketInvalid.
func Parse(text string) (Ticket, error) {
	if text == "" {
		return Ticket{}, failure.New(failure.TicketRequired, "submit again with the ticket in next_ticket")
	}
	body, _ := split(text)
	if body == nil {
		return Ticket{}, &failure.Error{Kind: failure.TicketInvalid, Field: "ticket", Message: "not a ticket"}
	}
	t := Ticket{
		Issuer:  Issuer{Host: string(body[24:]), Incarnation: binary.BigEndian.Uint64(body)},
		Seq:     binary.BigEndian.Uint64(body[8:]),
		Expires: time.UnixMilli(int64(binary.BigEndian.Uint64(body[16:]))),
	}
	return t, nil
}

func encode(t Ticket) []byte {
	body := binary.BigEndian.AppendUint64(nil, t.Incarnation)
	body = binary.BigEndian.AppendUint64(body, t.Seq)
	body = binary.BigEndian.AppendUint64(body, uint64(t.Expires.UnixMilli()))
	return append(body, t.Host...)
}

// split returns nil, nil if text is not of the form that encode makes.
func split(text string) (body, mac []byte) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return nil, nil
	}
	raw, err := encoding.Strict().DecodeString(rest)
	if err != nil || len(raw) <= fixedBytes || len(raw) > fixedBytes+maxHost {
		return nil, nil
	}
	return raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
}
