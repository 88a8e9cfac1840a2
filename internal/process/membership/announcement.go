package membership

import (
	"net/netip"

	"wasabifield.example/wasabifield/internal/connection/membershippb"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	maxNameBytes   = 128
	maxSlots       = 1024
	maxConnections = 4096
)

// checkAnnouncement returns the first fault of a as an InvalidRequest error.
func checkAnnouncement(a wire.Announcement, domain string) error {
	if a.Target == "" || len(a.Target) > maxNameBytes {
		return failure.Invalid("target", "must be 1 to 128 bytes")
	}
	if len(a.Rack) > maxNameBytes || len(a.Worker) > maxNameBytes {
		return failure.Invalid("worker", "worker and rack must be at most 128 bytes each")
	}
	if a.Incarnation == 0 {
		return failure.Invalid("incarnation", "must be greater than 0")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return failure.Invalid("address", "must be an IP number and port")
	}
	if a.Domain != domain {
		return failure.Invalid("domain", "must be this host's failure domain, "+domain)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return failure.Invalid("slots", "must be from 1 to 1024")
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return failure.Invalid("connections", "must be from 1 to 4096")
	}
	if a.Accelerators < 0 || a.Accelerators > maxSlots {
		return failure.Invalid("accelerators", "must be from 0 to 1024")
	}
	return nil
}

func toProto(r *record, age uint32) *membershippb.TargetRecord {
	a := r.announcement
	return &membershippb.TargetRecord{
		Target:       a.Target,
		Incarnation:  a.Incarnation,
		Address:      a.Address,
		Domain:       a.Domain,
		Rack:         a.Rack,
		Worker:       a.Worker,
		Slots:        uint32(a.Slots),
		Connections:  uint32(a.Connections),
		Accelerators: uint32(a.Accelerators),
		Leaving:      a.Leaving,
		Handle:       r.handle,
		AgeMs:        age,
	}
}

func fromProto(p *membershippb.TargetRecord) wire.Announcement {
	return wire.Announcement{
		Target:       p.GetTarget(),
		Incarnation:  p.GetIncarnation(),
		Address:      p.GetAddress(),
		Domain:       p.GetDomain(),
		Rack:         p.GetRack(),
		Worker:       p.GetWorker(),
		Slots:        int(p.GetSlots()),
		Connections:  int(p.GetConnections()),
		Accelerators: int(p.GetAccelerators()),
		Leaving:      p.GetLeaving(),
	}
}
