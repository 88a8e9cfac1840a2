package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/request/failure"
)

// Bounds of what a target reports of itself. They are far above what any target has, so that
// only an entry of another writer exceeds them. What is counted with them stays far below the
// largest number.
const (
	maxNameBytes   = 256     // of an id, a service, a domain and an address
	maxLabelBytes  = 4 << 10 // of all labels
	maxLabels      = 256
	maxCapacity    = 1 << 30 // of each resource: a million cores, a petabyte
	maxColdTime    = 24 * time.Hour
	maxTargetClock = 100 * 365 * 24 * time.Hour
	// maxSequence leaves numbers for the announcements after the last that is accepted.
	maxSequence = 1 << 62
	// maxClockLead is how far the clock of a target may be ahead of this host's. An
	// incarnation from further ahead would hide all true ones.
	maxClockLead = 24 * time.Hour
)

// maxToken is the highest fencing token that a host accepts. Tokens begin at the Unix time in
// milliseconds and rise with each claim; the next holder needs a higher one.
const maxToken = 1 << 62

// dropOddClaims returns the claims that a host can make.
func (n *Node) dropOddClaims(claims []*fleetpb.Claim) []*fleetpb.Claim {
	return slices.DeleteFunc(claims, func(c *fleetpb.Claim) bool {
		odd := c.GetFencingToken() > maxToken
		if odd {
			n.log.Warn("A claim of another host was dropped.", "pool", logging.Clip(c.GetPool()), "holder", logging.Clip(c.GetHolder()), "token", c.GetFencingToken())
		}
		return odd
	})
}

// checkHost returns why no host is as a message describes it, or nil.
func checkHost(m *fleetpb.Host, now time.Time) error {
	if err := checkName("address", m.GetAddress()); err != nil {
		return err
	}
	return checkIncarnation(m.GetIncarnation(), now)
}

// checkIncarnation checks the Unix milliseconds of a start.
func checkIncarnation(incarnation uint64, now time.Time) error {
	if latest := now.Add(maxClockLead).UnixMilli(); incarnation > uint64(max(0, latest)) {
		return failure.Invalid("incarnation", fmt.Sprintf("is %d, which is more than %v ahead", incarnation, maxClockLead))
	}
	return nil
}

// dropOddHosts returns the hosts of a list that can be so.
func (n *Node) dropOddHosts(hosts []*fleetpb.Host, now time.Time) []*fleetpb.Host {
	return slices.DeleteFunc(hosts, func(m *fleetpb.Host) bool {
		err := checkHost(m, now)
		if err != nil {
			n.log.Warn("A host in another host's list was dropped.", "peer", logging.Clip(m.GetAddress()), "reason", err.Error())
		}
		return err != nil
	})
}

// Check returns an InvalidRequest failure that names the field that no target can have
// announced, or nil.
func (a Announcement) Check() error {
	t := a.Target
	for _, named := range []struct{ field, name string }{{"id", t.ID}, {"service", t.Service}, {"domain", t.Domain}, {"address", t.Address}} {
		if err := checkName(named.field, named.name); err != nil {
			return err
		}
	}
	labels := strings.Join(t.Labels, "")
	if len(t.Labels) > maxLabels || len(labels) > maxLabelBytes || !utf8.ValidString(labels) {
		return failure.Invalid("labels", fmt.Sprintf("must be at most %d, of at most %d bytes of text", maxLabels, maxLabelBytes))
	}
	c := t.Capacity
	switch {
	case min(c.CPUMilli, c.MemoryMB, c.GPUs) < 0 || max(c.CPUMilli, c.MemoryMB, c.GPUs) > maxCapacity:
		return failure.Invalid("capacity", fmt.Sprintf("is %v, must be from 0 to %d of each", c, maxCapacity))
	case a.Sequence > maxSequence:
		return failure.Invalid("sequence", fmt.Sprintf("is %d, must be at most %d", a.Sequence, uint64(maxSequence)))
	case a.ClockMS < 0 || a.ClockMS > maxTargetClock.Milliseconds():
		return failure.Invalid("clock", fmt.Sprintf("is %d, must be from 0 to %d", a.ClockMS, maxTargetClock.Milliseconds()))
	case t.ColdUntil.After(a.ReceivedAt.Add(maxColdTime)):
		return failure.Invalid("cold time", fmt.Sprintf("is more than %v", maxColdTime))
	}
	return checkIncarnation(t.Incarnation, a.ReceivedAt)
}

// checkName checks a name that goes into messages between hosts, which must be valid UTF-8
// as a whole, into headers and into logs.
func checkName(field, name string) error {
	switch {
	case name == "":
		return failure.Invalid(field, "must not be empty")
	case len(name) > maxNameBytes:
		return failure.Invalid(field, fmt.Sprintf("has %d bytes, at most %d are allowed", len(name), maxNameBytes))
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return failure.Invalid(field, "contains bytes that are no text")
	}
	return nil
}
