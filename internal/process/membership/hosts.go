package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
)

// HostIdentity identifies an entry host and its failure domain.
type HostIdentity struct {
	Host   string
	Domain string
}

// HostsConfig configures a Hosts table.
type HostsConfig struct {
	Self             HostIdentity
	Incarnation      uint64         // of this start of the host
	Peers            []HostIdentity // every other entry host, from the settings
	ExchangeInterval time.Duration  // between requests to one host of the own domain
	ProbeInterval    time.Duration  // between requests to hosts of other domains
	SuspectTimeout   time.Duration  // until a host of the own domain without a response is suspect
	SilentTimeout    time.Duration  // until a host that no host has heard from is silent
}

// Hosts is one entry host's table of the other entry hosts. Every host of the
// own domain is due once per ExchangeInterval. Of all hosts in other domains,
// one is due once per ProbeInterval; each round covers all of them in a newly
// shuffled order, as in Das, Gupta and Motivala, "SWIM" (2002), section 4.3.
type Hosts struct {
	config      HostsConfig
	random      *rand.Rand
	peers       []*hostRecord // in the order of their names
	byName      map[string]*hostRecord
	probeRound  []*hostRecord // hosts of other domains not yet probed in this round
	nextProbeAt time.Time
	nextReport  int // index into peers of the next indirect report
}

// hostRecord is what this host knows of one other host. A zero time means never.
type hostRecord struct {
	HostIdentity
	incarnation           uint64
	answeredRequestSentAt time.Time // when this host sent the last request that the other responded to
	requestReceivedAt     time.Time // when this host last received a request from the other
	heardAt               time.Time // when any host last exchanged messages with the other
	nextRequestAt         time.Time // when the next request is due, for a host of the own domain
}

// HostState is one host's judgement of another.
type HostState string

// The states of a host. They are one host's view: the two sides of a network
// partition differ.
const (
	// HostAlive is a host of the own domain that responded to this host within
	// SuspectTimeout, or a host of another domain that is not silent.
	HostAlive HostState = "alive"
	// HostSuspect is a host of the own domain that has not responded to this host
	// for at least SuspectTimeout, but for less than SilentTimeout.
	HostSuspect HostState = "suspect"
	// HostIndirect is a host of the own domain that has not responded to this host
	// for SilentTimeout, but that other hosts hear from.
	HostIndirect HostState = "indirect"
	// HostSilent is a host that neither this host nor any host that reports to it
	// has heard from for SilentTimeout.
	HostSilent HostState = "silent"
)

// HostView is what this host knows and concludes of one other host.
type HostView struct {
	HostIdentity
	Incarnation uint64 // 0 if no message or report has named one
	State       HostState
	HeardAt     time.Time // when any host last exchanged messages with the other; zero if never
}

// NewHosts returns a table of the peers in config, none of them heard from yet.
func NewHosts(config HostsConfig, random *rand.Rand) *Hosts {
	h := &Hosts{config: config, random: random, byName: make(map[string]*hostRecord)}
	for _, name := range config.Peers {
		p := &hostRecord{HostIdentity: name}
		h.peers = append(h.peers, p)
		h.byName[name.Host] = p
	}
	slices.SortFunc(h.peers, func(a, b *hostRecord) int { return cmp.Compare(a.Host, b.Host) })
	return h
}

// Incarnation returns this host's current incarnation.
func (h *Hosts) Incarnation() uint64 { return h.config.Incarnation }

// RaiseIncarnation sets this host's incarnation if the new one is greater.
func (h *Hosts) RaiseIncarnation(incarnation uint64) {
	h.config.Incarnation = max(h.config.Incarnation, incarnation)
}

// DueHosts returns the hosts to send a request to at now. After a freeze of this
// host each host is due once, not once for each interval missed.
func (h *Hosts) DueHosts(now time.Time) []string {
	var due []string
	for _, p := range h.peers {
		if p.Domain == h.config.Self.Domain && !now.Before(p.nextRequestAt) {
			p.nextRequestAt = now.Add(h.config.ExchangeInterval)
			due = append(due, p.Host)
		}
	}
	if now.Before(h.nextProbeAt) {
		return due
	}
	h.nextProbeAt = now.Add(h.config.ProbeInterval)
	if p := h.nextProbeHost(); p != nil {
		due = append(due, p.Host)
	}
	return due
}

func (h *Hosts) nextProbeHost() *hostRecord {
	if len(h.probeRound) == 0 {
		for _, p := range h.peers {
			if p.Domain != h.config.Self.Domain {
				h.probeRound = append(h.probeRound, p)
			}
		}
		h.random.Shuffle(len(h.probeRound), func(i, j int) { h.probeRound[i], h.probeRound[j] = h.probeRound[j], h.probeRound[i] })
	}
	if len(h.probeRound) == 0 {
		return nil
	}
	next := h.probeRound[0]
	h.probeRound = h.probeRound[1:]
	return next
}

// RecordRequest records a request received at now. It returns the greatest known
// incarnation of the sender, 0 for an unknown sender. The response states it.
func (h *Hosts) RecordRequest(now time.Time, sender string, incarnation uint64) uint64 {
	host := h.byName[sender]
	if host == nil {
		return 0
	}
	if host.mergeIncarnation(incarnation) {
		host.requestReceivedAt = now
		host.heardAt = later(host.heardAt, now)
	}
	return host.incarnation
}

// RecordResponse records the response to a request that was sent at sentAt.
// knownIncarnation is the greatest incarnation that the responder knows of this
// host. If the result is not 0, this host must raise its incarnation to it: an
// earlier start of the host had a greater one, as after a clock that went back.
func (h *Hosts) RecordResponse(sentAt time.Time, responder string, incarnation, knownIncarnation uint64, reports []*membershippb.HostRumour) uint64 {
	if p := h.byName[responder]; p != nil && p.mergeIncarnation(incarnation) {
		p.answeredRequestSentAt = later(p.answeredRequestSentAt, sentAt)
		p.heardAt = later(p.heardAt, sentAt)
	}
	for _, report := range reports {
		if report.GetHost() == h.config.Self.Host {
			knownIncarnation = max(knownIncarnation, report.GetIncarnation())
			continue
		}
		if p := h.byName[report.GetHost()]; p != nil && p.mergeIncarnation(report.GetIncarnation()) {
			p.heardAt = later(p.heardAt, receiptLowerBound(sentAt, report.GetAgeMs()))
		}
	}
	if knownIncarnation <= h.config.Incarnation {
		return 0
	}
	return knownIncarnation + 1
}

// mergeIncarnation reports whether a message of the incarnation is current: the
// incarnation is the known one or a greater one. A greater one replaces the known
// one and resets the times.
func (p *hostRecord) mergeIncarnation(incarnation uint64) bool {
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		p.answeredRequestSentAt, p.requestReceivedAt, p.heardAt = time.Time{}, time.Time{}, time.Time{}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// The greatest number of indirect reports in one response. Hosts of one domain
// send each other requests so often that a few reports in each response still
// spread through the domain within a second.
const (
	maxReportsWithinDomain  = 2  // in a response to a host of the own domain
	maxReportsAcrossDomains = 16 // in a response to a host of another domain
)

// IndirectReports returns a bounded number of reports for a host of domain. Each
// states when any host last heard from its subject. Hosts of that domain are
// omitted, since they hear from each other. Successive calls cycle through all
// hosts.
func (h *Hosts) IndirectReports(now time.Time, domain string) []*membershippb.HostRumour {
	limit := maxReportsAcrossDomains
	if domain == h.config.Self.Domain {
		limit = maxReportsWithinDomain
	}
	var reports []*membershippb.HostRumour
	for range h.peers {
		if len(reports) == limit {
			break
		}
		host := h.peers[h.nextReport]
		h.nextReport = (h.nextReport + 1) % len(h.peers)
		if host.Domain == domain || host.heardAt.IsZero() {
			continue
		}
		reports = append(reports, &membershippb.HostRumour{
			Host:        host.Host,
			Incarnation: host.incarnation,
			AgeMs:       ageMS(now.Sub(host.heardAt)),
		})
	}
	return reports
}

// ViewOf returns the view of one other host at now, false if the host is unknown.
func (h *Hosts) ViewOf(now time.Time, host string) (HostView, bool) {
	p, ok := h.byName[host]
	if !ok {
		return HostView{}, false
	}
	return h.view(now, p), true
}

func (h *Hosts) view(now time.Time, p *hostRecord) HostView {
	return HostView{p.HostIdentity, p.incarnation, h.stateOf(now, p), p.heardAt}
}

// Views returns the view of every other host at now, in the order of names.
func (h *Hosts) Views(now time.Time) []HostView {
	views := make([]HostView, len(h.peers))
	for i, p := range h.peers {
		views[i] = h.view(now, p)
	}
	return views
}

func (h *Hosts) stateOf(now time.Time, host *hostRecord) HostState {
	heardRecently := !host.heardAt.IsZero() && now.Sub(host.heardAt) < h.config.SilentTimeout
	if host.Domain != h.config.Self.Domain {
		if heardRecently {
			return HostAlive
		}
		return HostSilent
	}
	switch sinceAnswer := now.Sub(host.answeredRequestSentAt); {
	case !heardRecently:
		return HostSilent
	case sinceAnswer < h.config.SuspectTimeout:
		return HostAlive
	case sinceAnswer < h.config.SilentTimeout:
		return HostSuspect
	default:
		return HostIndirect
	}
}
