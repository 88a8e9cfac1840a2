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

// namePattern matches the names of hosts, domains, regions and operators.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects the faults of a settings file.
type checker struct{ faults []error }

// addFault records that field has the invalid value and what is allowed.
func (c *checker) addFault(field string, value any, allowed string) {
	c.faults = append(c.faults, fmt.Errorf("%s: is %q, must be %s", field, fmt.Sprint(value), allowed))
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.addFault(field, value, "1 to 63 of a-z, 0-9 and -, not starting with -")
	}
}

func (c *checker) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addFault(field, value, "an IP number and port such as 10.0.0.1:7000")
	}
}

func (c *checker) checkOneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.addFault(field, value, fmt.Sprintf("one of %v", allowed))
}

func (c *checker) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		c.addFault(field, value, fmt.Sprintf("from %d to %d", low, high))
	}
}

func (c *checker) checkDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.addFault(field, value, fmt.Sprintf("from %s to %s", low, high))
	}
}

// Check returns all faults of s joined into one error, or nil if s is valid.
func (s Settings) Check() error {
	c := &checker{}
	c.checkName("host", s.Host)
	c.checkName("domain", s.Domain)
	if s.Region != "" {
		c.checkName("region", s.Region)
	}
	c.checkAddress("http", s.HTTPAddress)
	c.checkAddress("peer", s.PeerAddress)
	s.checkPeers(c)
	if s.DataFolder != "" && !filepath.IsAbs(s.DataFolder) {
		c.addFault("data_folder", s.DataFolder, "an absolute path or empty")
	}
	s.TLS.check(c)
	if (s.HTTPTLS.CertFile == "") != (s.HTTPTLS.KeyFile == "") {
		c.addFault("http_tls", s.HTTPTLS, "both cert_file and key_file, or none")
	}
	c.checkOneOf("log.format", s.Log.Format, "text", "json")
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	s.Limits.check(c)
	s.Timing.check(c)
	s.checkOperators(c)
	return errors.Join(c.faults...)
}

func (s Settings) checkPeers(c *checker) {
	seen := map[string]bool{s.Host: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d].", i)
		c.checkName(field+"host", p.Host)
		c.checkName(field+"domain", p.Domain)
		c.checkAddress(field+"peer", p.Address)
		if seen[p.Host] {
			c.addFault(field+"host", p.Host, "a name that no other host has")
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
		c.addFault("tls", t, "all of cert_file, key_file and ca_file, or none")
	}
}

func (l Limits) check(c *checker) {
	c.checkRange("limits.body_bytes", l.MaxBodyBytes, 1<<10, 1<<30)
	c.checkRange("limits.queued_tasks", int64(l.MaxQueuedTasks), 1, 10_000_000)
	c.checkRange("limits.queued_bytes", l.MaxQueuedBytes, 1<<10, 1<<40)
	c.checkRange("limits.records", int64(l.MaxRecords), 1, 10_000_000)
	c.checkRange("limits.record_bytes", l.MaxRecordBytes, 1<<10, 1<<40)
	c.checkRange("limits.ring", int64(l.RingCapacity), 16, 1<<20)
	c.checkRange("limits.header_bytes", int64(l.MaxHeaderBytes), 1<<10, 1<<24)
	if l.ClientBytes != 0 {
		c.checkRange("limits.client_bytes", l.ClientBytes, max(1<<20, clientBodies*l.MaxBodyBytes), 1<<40)
	}
	c.checkRange("limits.client_connections", int64(l.ClientConnections), 10, 1_000_000)
}

func (t Timing) check(c *checker) {
	c.checkDuration("timing.target_lease", t.TargetLease, 100*time.Millisecond, 30*time.Second)
	c.checkDuration("timing.exchange", t.BaseExchangeInterval, 10*time.Millisecond, 10*time.Second)
	c.checkDuration("timing.ticket_life", t.TicketLifetime, time.Second, 24*time.Hour)
	c.checkDuration("timing.drain_notice", t.DrainDelay, 0, time.Minute)
	c.checkDuration("timing.drain_limit", t.DrainTimeout, 0, time.Hour)
	c.checkDuration("timing.dial_timeout", t.DialTimeout, 10*time.Millisecond, time.Minute)
	c.checkDuration("timing.header_timeout", t.HeaderTimeout, 10*time.Millisecond, 10*time.Minute)
	c.checkDuration("timing.idle_timeout", t.IdleTimeout, 10*time.Millisecond, 24*time.Hour)
}

func (s Settings) checkOperators(c *checker) {
	for i, o := range s.Operators {
		field := fmt.Sprintf("operators[%d].", i)
		c.checkName(field+"name", o.Name)
		key, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			c.addFault(field+"public_key", o.PublicKey, "32 bytes in base64")
		}
	}
	most := int64(max(1, len(s.Operators)))
	c.checkRange("approvals", int64(s.RequiredApprovals), 1, most)
}
