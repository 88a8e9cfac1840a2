package catalog

import (
	"strings"
	"time"
)

// Queue accepts the jobs of requests to a host name with a path prefix.
type Queue struct {
	Name          string
	Host          string
	PathPrefix    string
	Service       string        // name of the service that runs the queue's tasks
	Timeout       time.Duration // maximum duration of a caller's request
	TargetLatency time.Duration // time that a job may take beyond SlackFactor times its expected run time
	SlackFactor   float64       // time that a job may take, as a multiple of its expected run time
	Priority      int           // 0 is served first
	MaxAttempts   int           // number of failed runs of one task at which its job fails
}

// Service is a group of targets that run the same tasks.
type Service struct {
	Name string
	// TargetsCheckCapacity is true if the targets themselves refuse a task that exceeds
	// their free capacity.
	TargetsCheckCapacity bool
}

// Limits restricts the requests of callers.
type Limits struct {
	BodyBytes     int64         // maximum size of a request body
	HeaderBytes   int           // maximum size of the headers of a request
	HeaderTimeout time.Duration // time to receive the headers
	IdleTimeout   time.Duration // time that an idle connection is kept open
}

// Catalog is one version of all queues, services and limits.
type Catalog struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Match returns the queue of a request: of the queues with the request's host, the one
// with the longest matching path prefix. It returns false if there is none. Case is
// ignored in host names.
func (c *Catalog) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	host = strings.ToLower(host)
	for _, q := range c.Queues {
		if strings.ToLower(q.Host) != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if !found || len(q.PathPrefix) > len(best.PathPrefix) {
			best, found = q, true
		}
	}
	return best, found
}
