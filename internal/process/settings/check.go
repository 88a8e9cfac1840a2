package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker gathers every fault of a settings file.
type checker struct{ faults []error }

// fault records that field holds value and what would be allowed.
func (c *checker) fault(field string, value any, allowed string) {
	c.faults = append(c.faults, fmt.Errorf("%s: is %q, must be %s", field, fmt.Sprint(value), allowed))
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.fault(field, value, "1 to 63 of a-z, 0-9 and -, not starting with -")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(field, value, "an IP number and port such as 10.0.0.1:7000")
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.fault(field, value, fmt.Sprintf("one of %v", allowed))
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.fault(field, value, fmt.Sprintf("from %d to %d", low, high))
	}
}

func (c *checker) duration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.fault(field, value, fmt.Sprintf("from %s to %s", low, high))
	}
}

// Check returns every fault of s joined into one error, or nil.
func (s Settings) Check() error {
	c := &checker{}
	c.name("host", s.Host)
	c.name("domain", s.Domain)
	if s.Region != "" {
		c.name("region", s.Region)
	}
	c.address("http", s.HTTP)
	c.address("peer", s.Peer)
	s.checkPeers(c)
	if s.DataFolder != "" && !filepath.IsAbs(s.DataFolder) {
		c.fault("data_folder", s.DataFolder, "an absolute path or empty")
	}
	s.TLS.check(c)
	if (s.HTTPTLS.CertFile == "") != (s.HTTPTLS.KeyFile == "") {
		c.fault("http_tls", s.HTTPTLS, "both cert_file and key_file, or none")
	}
	c.oneOf("log.format", s.Log.Format, "text", "json")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	s.Limits.check(c)
	s.Timing.check(c)
	s.checkOperators(c)
	return errors.Join(c.faults...)
}

func (s Settings) checkPeers(c *checker) {
	seen := map[string]bool{s.Host: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d].", i)
		c.name(field+"host", p.Host)
		c.name(field+"domain", p.Domain)
		c.address(field+"peer", p.Peer)
		if seen[p.Host] {
			c.fault(field+"host", p.Host, "a name that no other host has")
		}
		seen[p.Host] = true
	}
}

func (t TLS) check(c *checker) {
	given := 0
	for _, file := range []string{t.CertFile, t.KeyFile, t.CAFile} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		c.fault("tls", t, "all of cert_file, key_file and ca_file, or none")
	}
}

func (l Limits) check(c *checker) {
	c.between("limits.body_bytes", l.BodyBytes, 1<<10, 1<<30)
	c.between("limits.queued_tasks", int64(l.QueuedTasks), 1, 10_000_000)
	c.between("limits.queued_bytes", l.QueuedBytes, 1<<10, 1<<40)
	c.between("limits.records", int64(l.Records), 1, 10_000_000)
	c.between("limits.record_bytes", l.RecordBytes, 1<<10, 1<<40)
	c.between("limits.ring", int64(l.Ring), 16, 1<<20)
}

func (t Timing) check(c *checker) {
	c.duration("timing.target_lease", t.TargetLease, 100*time.Millisecond, 30*time.Second)
	c.duration("timing.exchange", t.Exchange, 10*time.Millisecond, 10*time.Second)
	c.duration("timing.ticket_life", t.TicketLife, time.Second, 24*time.Hour)
	c.duration("timing.drain_notice", t.DrainNotice, 0, time.Minute)
	c.duration("timing.drain_limit", t.DrainLimit, 0, time.Hour)
	c.duration("timing.dial_timeout", t.DialTimeout, 10*time.Millisecond, time.Minute)
}

func (s Settings) checkOperators(c *checker) {
	for i, o := range s.Operators {
		field := fmt.Sprintf("operators[%d].", i)
		c.name(field+"name", o.Name)
		key, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			c.fault(field+"public_key", o.PublicKey, "32 bytes in base64")
		}
	}
	most := int64(max(1, len(s.Operators)))
	c.between("approvals", int64(s.Approvals), 1, most)
}
