package settings

import "time"

// Settings configure one entry host. They are read once at start.
type Settings struct {
	Host              string     `yaml:"host"`        // the host's name, unique in the system
	Domain            string     `yaml:"domain"`      // the host's failure domain
	Region            string     `yaml:"region"`      // the domain's region
	HTTPAddress       string     `yaml:"http"`        // IP:port for callers, targets, platform and operators
	PeerAddress       string     `yaml:"peer"`        // IP:port for other entry hosts
	Peers             []Peer     `yaml:"peers"`       // the other entry hosts
	DataFolder        string     `yaml:"data_folder"` // folder on a disk; empty on a host without one
	TLS               TLS        `yaml:"tls"`         // certificates for links between entry hosts
	HTTPTLS           HTTPTLS    `yaml:"http_tls"`    // certificate of the HTTP address
	ProfilesEnabled   bool       `yaml:"profiles"`    // serve CPU and memory profiles under /debug/pprof
	Log               Log        `yaml:"log"`
	Limits            Limits     `yaml:"limits"`
	Timing            Timing     `yaml:"timing"`
	Operators         []Operator `yaml:"operators"` // who may sign a bundle
	RequiredApprovals int        `yaml:"approvals"` // how many operators must sign a bundle
}

// Peer is another entry host.
type Peer struct {
	Host    string `yaml:"host"`
	Domain  string `yaml:"domain"`
	Region  string `yaml:"region"`
	Address string `yaml:"peer"` // its IP:port for entry hosts
	HasDisk bool   `yaml:"disk"` // whether it has a disk
}

// TLS names the files that secure links between entry hosts. All empty means
// plain TCP.
type TLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// HTTPTLS names the files of the certificate that the HTTP address is served
// with. Both empty means plain HTTP.
type HTTPTLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
}

// Log configures the log on standard error.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Limits bound what the host holds.
type Limits struct {
	MaxBodyBytes   int64 `yaml:"body_bytes"`   // greatest body of a request
	MaxQueuedTasks int   `yaml:"queued_tasks"` // tasks waiting for a slot
	MaxQueuedBytes int64 `yaml:"queued_bytes"` // payload bytes of those tasks
	MaxRecords     int   `yaml:"records"`      // job records kept for resubmissions
	MaxRecordBytes int64 `yaml:"record_bytes"` // answer bytes of those records
	RingCapacity   int   `yaml:"ring"`         // messages waiting in each ring
}

// Timing holds the host's own times.
type Timing struct {
	TargetLease          time.Duration `yaml:"target_lease"` // a target without renewal gets no work after this
	BaseExchangeInterval time.Duration `yaml:"exchange"`     // between messages to a neighbour, with up to two of them
	TicketLifetime       time.Duration `yaml:"ticket_life"`  // from a ticket's issue to its end
	DrainDelay           time.Duration `yaml:"drain_notice"` // from failing readiness to closing the listeners
	DrainTimeout         time.Duration `yaml:"drain_limit"`  // greatest time a graceful shutdown waits for requests
	DialTimeout          time.Duration `yaml:"dial_timeout"` // to connect to a target or a peer
}

// Operator may sign bundles.
type Operator struct {
	Name      string `yaml:"name"`
	PublicKey string `yaml:"public_key"` // ed25519 public key, base64
}

// Default returns the settings that a file need not state.
func Default() Settings {
	return Settings{
		Log: Log{Format: "text", Level: "info"},
		Limits: Limits{
			MaxBodyBytes:   4 << 20,
			MaxQueuedTasks: 20_000,
			MaxQueuedBytes: 64 << 20,
			MaxRecords:     20_000,
			MaxRecordBytes: 64 << 20,
			RingCapacity:   4096,
		},
		Timing: Timing{
			TargetLease:          4 * time.Second,
			BaseExchangeInterval: 250 * time.Millisecond,
			TicketLifetime:       10 * time.Minute,
			DrainDelay:           time.Second,
			DrainTimeout:         30 * time.Second,
			DialTimeout:          500 * time.Millisecond,
		},
		RequiredApprovals: 1,
	}
}
