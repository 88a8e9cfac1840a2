package host

import (
	"math/rand/v2"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/membership"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/process/spill"
)

const (
	// suspectExchanges is the time, in exchange intervals, after which a host of
	// the own domain that does not respond is suspect.
	suspectExchanges = 6
	// probeExchanges is the time between requests to hosts of other domains, as a
	// multiple of Timing.BaseExchangeInterval.
	probeExchanges = 4
	// silentAfter is the time after which a host that no host has heard from is
	// silent.
	silentAfter = 30 * time.Second
)

// hostTable guards a membership.Hosts and the last status of each host for
// concurrent use.
type hostTable struct {
	mu         sync.Mutex
	table      *membership.Hosts
	regions    map[string]string
	lastStatus map[string]peerStatus
}

// peerStatus is the status of a host as stated in its last message.
type peerStatus struct {
	draining         bool
	controlVersion   uint64
	freeSlots        int       // of the host's domain, as the host sees them
	freeAccelerators int       // of those slots, at targets with an accelerator
	queuedTasks      int       // at the host
	heardAt          time.Time // arrival of its request, or sending of the request that it answered
}

func newHostTable(hostSettings settings.Settings, incarnation uint64) *hostTable {
	config := membership.HostsConfig{
		Self:             membership.HostIdentity{Host: hostSettings.Host, Domain: hostSettings.Domain},
		Incarnation:      incarnation,
		ExchangeInterval: hostSettings.ExchangeInterval(),
		ProbeInterval:    probeExchanges * hostSettings.Timing.BaseExchangeInterval,
		SuspectTimeout:   suspectExchanges * hostSettings.ExchangeInterval(),
		SilentTimeout:    silentAfter,
	}
	regions := make(map[string]string, len(hostSettings.Peers))
	for _, p := range hostSettings.Peers {
		config.Peers = append(config.Peers, membership.HostIdentity{Host: p.Host, Domain: p.Domain})
		regions[p.Host] = p.Region
	}
	random := rand.New(rand.NewPCG(incarnation, 0))
	return &hostTable{
		table:      membership.NewHosts(config, random),
		regions:    regions,
		lastStatus: make(map[string]peerStatus),
	}
}

func (t *hostTable) due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.DueHosts(now)
}

// recordRequest records a request received at now and returns the greatest
// incarnation known of its sender.
func (t *hostTable) recordRequest(now time.Time, m *peerpb.ExchangeMessage) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordStatus(now, m)
	return t.table.RecordRequest(now, m.GetHost(), m.GetIncarnation())
}

// recordResponse records the response to a request sent at sentAt. If the
// response names an incarnation of this host that is greater than its own, as
// after a restart with a clock that went back, this host raises its own above it.
func (t *hostTable) recordResponse(sentAt time.Time, m *peerpb.ExchangeMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordStatus(sentAt, m)
	raisedIncarnation := t.table.RecordResponse(sentAt, m.GetHost(), m.GetIncarnation(), m.GetHeld(), m.GetRumours())
	if raisedIncarnation != 0 {
		t.table.RaiseIncarnation(raisedIncarnation)
	}
}

func (t *hostTable) recordStatus(heardAt time.Time, m *peerpb.ExchangeMessage) {
	t.lastStatus[m.GetHost()] = peerStatus{
		draining:         m.GetDraining(),
		controlVersion:   m.GetControlVersion(),
		freeSlots:        int(m.GetFreeSlots()),
		freeAccelerators: int(m.GetFreeAccelerators()),
		queuedTasks:      int(m.GetQueuedTasks()),
		heardAt:          heardAt,
	}
}

// capacityAdverts returns the free capacity that the other hosts last stated.
func (t *hostTable) capacityAdverts(now time.Time) []spill.Advert {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []spill.Advert
	for _, view := range t.table.Views(now) {
		status, ok := t.lastStatus[view.Host]
		if !ok {
			continue
		}
		list = append(list, spill.Advert{
			Host:             view.Host,
			Location:         spill.Location{Domain: view.Domain, Region: t.regions[view.Host]},
			FreeSlots:        status.freeSlots,
			FreeAccelerators: status.freeAccelerators,
			QueuedTasks:      status.queuedTasks,
			AdvertisedAt:     status.heardAt,
			Unavailable:      status.draining || view.State != membership.HostAlive,
		})
	}
	return list
}

func (t *hostTable) incarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Incarnation()
}

func (t *hostTable) indirectReports(now time.Time, domain string) []*membershippb.HostRumour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.IndirectReports(now, domain)
}

// availableHosts returns the other hosts of domain that are alive and not
// draining, in the order of their names.
func (t *hostTable) availableHosts(now time.Time, domain string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, v := range t.table.Views(now) {
		if v.Domain == domain && v.State == membership.HostAlive && !t.lastStatus[v.Host].draining {
			list = append(list, v.Host)
		}
	}
	return list
}

// isSuspect reports whether a host was heard from earlier and is not alive now.
func (t *hostTable) isSuspect(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.table.ViewOf(now, host)
	return ok && !v.HeardAt.IsZero() && v.State != membership.HostAlive
}

// domainOf returns the failure domain of host, empty if the host is unknown.
func (t *hostTable) domainOf(now time.Time, host string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, _ := t.table.ViewOf(now, host)
	return v.Domain
}

// statuses returns the status of every other host, in the order of names.
func (t *hostTable) statuses(now time.Time) []wire.HostStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []wire.HostStatus
	for _, v := range t.table.Views(now) {
		list = append(list, t.status(now, v))
	}
	return list
}

func (t *hostTable) status(now time.Time, v membership.HostView) wire.HostStatus {
	hostStatus := wire.HostStatus{
		Host:               v.Host,
		Domain:             v.Domain,
		Region:             t.regions[v.Host],
		Incarnation:        v.Incarnation,
		State:              string(v.State),
		SinceLastMessageMS: -1,
		ControlVersion:     t.lastStatus[v.Host].controlVersion,
	}
	if !v.HeardAt.IsZero() {
		hostStatus.SinceLastMessageMS = now.Sub(v.HeardAt).Milliseconds()
	}
	if t.lastStatus[v.Host].draining && v.State == membership.HostAlive {
		hostStatus.State = "draining"
	}
	return hostStatus
}
