package wire

// TargetStatus is one line of GET PathTargets.
type TargetStatus struct {
	Announcement
	Alive            bool   `json:"alive"`
	RunningTasks     int    `json:"busy"`     // starts in progress from the answering host
	State            string `json:"use"`      // in use, ejected, on trial or worker lost, as the answering host sees it
	LeaseRemainingMS int64  `json:"lease_ms"` // left of the lease, ms; not above 0 when it is over
}

// HostStatus is one line of GET PathHosts.
type HostStatus struct {
	Host               string `json:"host"`
	Domain             string `json:"domain"`
	Region             string `json:"region,omitempty"`
	Incarnation        uint64 `json:"incarnation,omitempty"` // 0 if never heard of
	State              string `json:"state"`                 // self, alive, draining, suspect or unknown
	SinceLastMessageMS int64  `json:"heard_ms"`              // since the last message, ms; -1 if never
	ControlVersion     uint64 `json:"control_version"`       // version of the control state that it holds
}
