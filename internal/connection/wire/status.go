package wire

// TargetStatus is one item of the answer to GET PathTargets.
type TargetStatus struct {
	Announcement
	Alive            bool   `json:"alive"`
	RunningTasks     int    `json:"busy"`     // tasks in progress that the answering host started
	State            string `json:"use"`      // in use, ejected, on trial or worker lost, as seen by the answering host
	LeaseRemainingMS int64  `json:"lease_ms"` // time left of the lease, ms; 0 or negative once it has expired
}

// HostStatus is one item of the answer to GET PathHosts.
type HostStatus struct {
	Host               string `json:"host"`
	Domain             string `json:"domain"`
	Region             string `json:"region,omitempty"`
	Incarnation        uint64 `json:"incarnation,omitempty"` // 0 if no message of the host was received
	State              string `json:"state"`                 // self, alive, draining, suspect or unknown
	SinceLastMessageMS int64  `json:"heard_ms"`              // time since the last message of the host, ms; -1 if there was none
	ControlVersion     uint64 `json:"control_version"`       // version of the control state that the host holds
}
