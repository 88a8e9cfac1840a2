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
	config HostsConfig
	random *rand.Rand
	peers  []*peer // in the order of their names
	byName map[string]*peer
	round  []*peer // hosts of other domains still to be asked in this round
	probe  time.Time
	gossip int // index into peers of the next rumour
}

// peer is what is known of one host. The zero time means never.
type peer struct {
	HostIdentity
	incarnation uint64
	answered    time.Time // when the last question that it answered was sent
	asked       time.Time // when it last asked this host
	heard       time.Time // when anybody last exchanged messages with it
	due         time.Time // when to ask it, if it is in the own domain
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
	h := &Hosts{config: config, random: random, byName: make(map[string]*peer)}
	for _, name := range config.Peers {
		p := &peer{HostIdentity: name}
		h.peers = append(h.peers, p)
		h.byName[name.Host] = p
	}
	slices.SortFunc(h.peers, func(a, b *peer) int { return cmp.Compare(a.Host, b.Host) })
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
		if p.Domain == h.config.Self.Domain && !now.Before(p.due) {
			p.due = now.Add(h.config.ExchangeInterval)
			due = append(due, p.Host)
		}
	}
	if now.Before(h.probe) {
		return due
	}
	h.probe = now.Add(h.config.ProbeInterval)
	if p := h.nextProbe(); p != nil {
		due = append(due, p.Host)
	}
	return due
}

func (h *Hosts) nextProbe() *peer {
	if len(h.round) == 0 {
		for _, p := range h.peers {
			if p.Domain != h.config.Self.Domain {
				h.round = append(h.round, p)
			}
		}
		h.random.Shuffle(len(h.round), func(i, j int) { h.round[i], h.round[j] = h.round[j], h.round[i] })
	}
	if len(h.round) == 0 {
		return nil
	}
	next := h.round[0]
	h.round = h.round[1:]
	return next
}

// RecordRequest records a question received at now. It returns the greatest
// incarnation known of the asker, to be told in the answer.
func (h *Hosts) RecordRequest(now time.Time, asker string, incarnation uint64) uint64 {
	p := h.byName[asker]
	if p == nil {
		return 0
	}
	if p.adopt(incarnation) {
		p.asked = now
		p.heard = later(p.heard, now)
	}
	return p.incarnation
}

// RecordResponse records the answer to a question that was sent at asked. Held is
// the greatest incarnation that the answerer knows of this host. If the result
// is not 0, this host must restart its work under that incarnation: an earlier
// start of it had one at least as great, as after a clock that went back.
func (h *Hosts) RecordResponse(asked time.Time, answerer string, incarnation, held uint64, rumours []*membershippb.HostRumour) uint64 {
	if p := h.byName[answerer]; p != nil && p.adopt(incarnation) {
		p.answered = later(p.answered, asked)
		p.heard = later(p.heard, asked)
	}
	for _, r := range rumours {
		if r.GetHost() == h.config.Self.Host {
			held = max(held, r.GetIncarnation())
			continue
		}
		if p := h.byName[r.GetHost()]; p != nil && p.adopt(r.GetIncarnation()) {
			p.heard = later(p.heard, receipt(asked, r.GetAgeMs()))
		}
	}
	if held <= h.config.Incarnation {
		return 0
	}
	return held + 1
}

// adopt reports whether news of the incarnation counts: it is the known one or
// a greater, which then replaces it.
func (p *peer) adopt(incarnation uint64) bool {
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		p.answered, p.asked, p.heard = time.Time{}, time.Time{}, time.Time{}
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
	rumoursWithin = 2  // to a host of the own domain
	rumoursAcross = 16 // to a host of another domain
)

// IndirectReports returns a bounded number of rumours for a host of domain. Hosts of
// that domain are left out, since they hear each other. Successive calls go
// round all hosts.
func (h *Hosts) IndirectReports(now time.Time, domain string) []*membershippb.HostRumour {
	limit := rumoursAcross
	if domain == h.config.Self.Domain {
		limit = rumoursWithin
	}
	var rumours []*membershippb.HostRumour
	for range h.peers {
		if len(rumours) == limit {
			break
		}
		p := h.peers[h.gossip]
		h.gossip = (h.gossip + 1) % len(h.peers)
		if p.Domain == domain || p.heard.IsZero() {
			continue
		}
		rumours = append(rumours, &membershippb.HostRumour{
			Host:        p.Host,
			Incarnation: p.incarnation,
			AgeMs:       ageMS(now.Sub(p.heard)),
		})
	}
	return rumours
}

// ViewOf returns the view of one other host at now, false if it is not known.
func (h *Hosts) ViewOf(now time.Time, host string) (HostView, bool) {
	p, ok := h.byName[host]
	if !ok {
		return HostView{}, false
	}
	return h.view(now, p), true
}

func (h *Hosts) view(now time.Time, p *peer) HostView {
	return HostView{p.HostIdentity, p.incarnation, h.state(now, p), p.heard}
}

// Views returns the view of every other host at now, in the order of names.
func (h *Hosts) Views(now time.Time) []HostView {
	views := make([]HostView, len(h.peers))
	for i, p := range h.peers {
		views[i] = h.view(now, p)
	}
	return views
}

func (h *Hosts) state(now time.Time, p *peer) HostState {
	heard := !p.heard.IsZero() && now.Sub(p.heard) < h.config.SilentTimeout
	if p.Domain != h.config.Self.Domain {
		if heard {
			return HostAlive
		}
		return HostSilent
	}
	switch unanswered := now.Sub(p.answered); {
	case !heard:
		return HostSilent
	case unanswered < h.config.SuspectTimeout:
		return HostAlive
	case unanswered < h.config.SilentTimeout:
		return HostSuspect
	default:
		return HostIndirect
	}
}
