package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
)

// HostIdentity names an entry host and its failure domain.
type HostIdentity struct {
	Host   string
	Domain string
}

// HostsConfig configures a Hosts table.
type HostsConfig struct {
	Self             HostIdentity
	Incarnation      uint64         // of this start of the host
	Peers            []HostIdentity // every other entry host, from the settings
	ExchangeInterval time.Duration  // between questions to one host of the own domain
	ProbeInterval    time.Duration  // between questions to hosts of other domains
	SuspectTimeout   time.Duration  // a host of the own domain not heard from is suspected after this
	SilentTimeout    time.Duration  // a host not heard from by anybody is silent after this
}

// Hosts is one entry host's table of the other entry hosts. Every host of the
// own domain is asked at each Exchange. Of all hosts in other domains, one is
// asked at each Probe, in an order shuffled anew for each round, as in Das,
// Gupta and Motivala, "SWIM" (2002), section 4.3.
type Hosts struct {
	config      HostsConfig
	random      *rand.Rand
	peers       []*hostRecord // in the order of their names
	byName      map[string]*hostRecord
	probeRound  []*hostRecord // hosts of other domains still to be asked in this round
	nextProbeAt time.Time
	nextReport  int // index into peers of the next rumour
}

// hostRecord is what is known of one host. The zero time means never.
type hostRecord struct {
	HostIdentity
	incarnation           uint64
	answeredRequestSentAt time.Time // when the last question that it answered was sent
	requestReceivedAt     time.Time // when it last asked this host
	heardAt               time.Time // when anybody last exchanged messages with it
	nextRequestAt         time.Time // when to ask it, if it is in the own domain
}

// HostState is what a host concludes of another.
type HostState string

// The states of a host. They are one host's view: two sides of a cut differ.
const (
	HostAlive    HostState = "alive"    // it answers this host, or lately answered others
	HostSuspect  HostState = "suspect"  // it stopped answering this host a moment ago
	HostIndirect HostState = "indirect" // it does not answer this host, yet others hear it
	HostSilent   HostState = "silent"   // nobody that this host hears from hears it
)

// HostView is the view of one host.
type HostView struct {
	HostIdentity
	Incarnation uint64 // 0 if never heard of
	State       HostState
	HeardAt     time.Time // when anybody last exchanged messages with it; zero if never
}

// NewHosts returns a table in which no host was heard from yet.
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

// Incarnation returns this host's own incarnation.
func (h *Hosts) Incarnation() uint64 { return h.config.Incarnation }

// RaiseIncarnation replaces this host's own incarnation by a greater one.
func (h *Hosts) RaiseIncarnation(incarnation uint64) {
	h.config.Incarnation = max(h.config.Incarnation, incarnation)
}

// DueHosts returns the hosts to ask at now. A host that was frozen asks each host
// once, not once for each time that it missed.
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

// RecordRequest records a question received at now. It returns the greatest
// incarnation known of the asker, to be told in the answer.
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

// RecordResponse records the answer to a question that was sent at asked. Held is
// the greatest incarnation that the answerer knows of this host. If the result
// is not 0, this host must restart its work under that incarnation: an earlier
// start of it had one at least as great, as after a clock that went back.
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

// mergeIncarnation reports whether news of the incarnation counts: it is the known one or
// a greater, which then replaces it.
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

// The greatest number of rumours in one answer. Hosts of one domain ask each
// other so often that few rumours in each answer still go round in a second.
const (
	maxReportsWithinDomain  = 2  // to a host of the own domain
	maxReportsAcrossDomains = 16 // to a host of another domain
)

// IndirectReports returns a bounded number of rumours for a host of domain. Hosts of
// that domain are left out, since they hear each other. Successive calls go
// round all hosts.
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

// ViewOf returns the view of one other host at now, false if it is not known.
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
