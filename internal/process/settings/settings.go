package settings

import "time"

// Settings configures one entry host. The daemon reads it once at start.
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
	Address string `yaml:"peer"` // IP:port at which the peer serves other entry hosts
	HasDisk bool   `yaml:"disk"` // whether the peer has a disk
}

// TLS names the files that secure links between entry hosts: either all three are
// given or none. Without them the links use plain TCP.
type TLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// HTTPTLS names the files of the certificate and key for the HTTP address: either both
// are given or none. Without them the address serves plain HTTP.
type HTTPTLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
}

// Log configures the log on standard error.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Limits bounds the memory that the host uses for requests, tasks and records.
type Limits struct {
	MaxBodyBytes   int64 `yaml:"body_bytes"`   // size of a request body
	MaxQueuedTasks int   `yaml:"queued_tasks"` // tasks waiting for a slot
	MaxQueuedBytes int64 `yaml:"queued_bytes"` // payload bytes of the tasks waiting for a slot
	MaxRecords     int   `yaml:"records"`      // job records kept for resubmissions
	MaxRecordBytes int64 `yaml:"record_bytes"` // answer bytes of the job records
	RingCapacity   int   `yaml:"ring"`         // messages waiting in each ring

	MaxHeaderBytes    int   `yaml:"header_bytes"`       // size of a request's headers
	ClientBytes       int64 `yaml:"client_bytes"`       // memory of all requests on the HTTP address; 0 is clientBodies times body_bytes, at least minClientBytes
	ClientConnections int   `yaml:"client_connections"` // open connections to the HTTP address
}

const (
	clientBodies   = 8
	minClientBytes = 48 << 20
)

// MaxClientBytes returns the memory that all requests on the HTTP address may take.
func (l Limits) MaxClientBytes() int64 {
	if l.ClientBytes != 0 {
		return l.ClientBytes
	}
	return max(minClientBytes, clientBodies*l.MaxBodyBytes)
}

// Timing holds the intervals and timeouts of the host.
type Timing struct {
	TargetLease          time.Duration `yaml:"target_lease"`   // a target that does not renew for this long gets no more work
	BaseExchangeInterval time.Duration `yaml:"exchange"`       // between messages to one domain peer, if there are at most two
	TicketLifetime       time.Duration `yaml:"ticket_life"`    // from a ticket's issue to its expiry
	DrainDelay           time.Duration `yaml:"drain_notice"`   // from failing readiness to closing the listeners
	DrainTimeout         time.Duration `yaml:"drain_limit"`    // how long a graceful shutdown waits for requests at most
	DialTimeout          time.Duration `yaml:"dial_timeout"`   // to connect to a target or a peer
	HeaderTimeout        time.Duration `yaml:"header_timeout"` // to receive the headers of a request
	IdleTimeout          time.Duration `yaml:"idle_timeout"`   // without a byte between requests, in a body, or of an answer that is read
}

// Operator identifies a signer of bundles.
type Operator struct {
	Name      string `yaml:"name"`
	PublicKey string `yaml:"public_key"` // ed25519 public key, base64
}

// Default returns the values of the settings that a file may omit.
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

			MaxHeaderBytes:    1 << 20,
			ClientConnections: 2000,
		},
		Timing: Timing{
			TargetLease:          4 * time.Second,
			BaseExchangeInterval: 250 * time.Millisecond,
			TicketLifetime:       10 * time.Minute,
			DrainDelay:           time.Second,
			DrainTimeout:         30 * time.Second,
			DialTimeout:          500 * time.Millisecond,
			HeaderTimeout:        10 * time.Second,
			IdleTimeout:          2 * time.Minute,
		},
		RequiredApprovals: 1,
	}
}
