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

// checkAnnouncement returns an InvalidRequest error that names the first invalid
// field of announcement. The domain is the failure domain that it must state.
func checkAnnouncement(announcement wire.Announcement, domain string) error {
	if announcement.Target == "" || len(announcement.Target) > maxNameBytes {
		return failure.Invalid("target", "must be 1 to 128 bytes")
	}
	if len(announcement.Rack) > maxNameBytes || len(announcement.Worker) > maxNameBytes {
		return failure.Invalid("worker", "worker and rack must be at most 128 bytes each")
	}
	if announcement.Incarnation == 0 {
		return failure.Invalid("incarnation", "must be greater than 0")
	}
	if _, err := netip.ParseAddrPort(announcement.Address); err != nil {
		return failure.Invalid("address", "must be an IP number and port")
	}
	if announcement.Domain != domain {
		return failure.Invalid("domain", "must be this host's failure domain, "+domain)
	}
	if announcement.Slots < 1 || announcement.Slots > maxSlots {
		return failure.Invalid("slots", "must be from 1 to 1024")
	}
	if announcement.Connections < 1 || announcement.Connections > maxConnections {
		return failure.Invalid("connections", "must be from 1 to 4096")
	}
	if announcement.Accelerators < 0 || announcement.Accelerators > maxSlots {
		return failure.Invalid("accelerators", "must be from 0 to 1024")
	}
	return nil
}

func recordToProto(entry *targetRecord, age uint32) *membershippb.TargetRecord {
	announcement := entry.announcement
	return &membershippb.TargetRecord{
		Target:       announcement.Target,
		Incarnation:  announcement.Incarnation,
		Address:      announcement.Address,
		Domain:       announcement.Domain,
		Rack:         announcement.Rack,
		Worker:       announcement.Worker,
		Slots:        uint32(announcement.Slots),
		Connections:  uint32(announcement.Connections),
		Accelerators: uint32(announcement.Accelerators),
		Leaving:      announcement.Leaving,
		Handle:       entry.handle,
		AgeMs:        age,
	}
}

func announcementFromProto(record *membershippb.TargetRecord) wire.Announcement {
	return wire.Announcement{
		Target:       record.GetTarget(),
		Incarnation:  record.GetIncarnation(),
		Address:      record.GetAddress(),
		Domain:       record.GetDomain(),
		Rack:         record.GetRack(),
		Worker:       record.GetWorker(),
		Slots:        int(record.GetSlots()),
		Connections:  int(record.GetConnections()),
		Accelerators: int(record.GetAccelerators()),
		Leaving:      record.GetLeaving(),
	}
}
