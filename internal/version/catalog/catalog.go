package catalog

import (
	"fmt"
	"strings"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// Queue takes jobs under a host name and path prefix.
type Queue struct {
	Name          string
	Host          string
	PathPrefix    string
	Service       string        // runs the queue's tasks
	Timeout       time.Duration // longest time a caller's request may take
	TargetLatency time.Duration // what a job may take beyond its work
	SlackFactor   float64       // what a job may take of its work's length
	Priority      int           // 0 comes first
	MaxAttempts   int           // failed runs of a task until its job has failed
}

// Service is a group of targets that run the same tasks.
type Service struct {
	Name string
	// TargetsCheckCapacity says that targets refuse a task that does not fit.
	TargetsCheckCapacity bool
}

// Limits bound the requests of callers.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of all queues and services.
type Catalog struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Check returns an InvalidRequest failure for the first fault of the catalog.
func (c Catalog) Check() error {
	if c.Version == 0 {
		return failure.Invalid("version", "must be at least 1")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	places := map[string]string{}
	for _, q := range c.Queues {
		if err := q.check(services); err != nil {
			return err
		}
		place := strings.ToLower(q.Host) + q.PathPrefix
		if other, taken := places[place]; taken {
			return failure.Invalid("queue "+q.Name, "has the host and prefix of queue "+other)
		}
		places[place] = q.Name
	}
	return nil
}

func (q Queue) check(services map[string]bool) error {
	switch {
	case q.Name == "":
		return failure.Invalid("queue", "has no name")
	case !services[q.Service]:
		return failure.Invalid("queue "+q.Name, fmt.Sprintf("names the unknown service %q", q.Service))
	case q.Timeout <= 0:
		return failure.Invalid("queue "+q.Name, "has no timeout")
	case !strings.HasPrefix(q.PathPrefix, "/"):
		return failure.Invalid("queue "+q.Name, "has a path prefix that does not begin with /")
	}
	return nil
}

// Match returns the queue of a request: the host's longest prefix of the path.
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
