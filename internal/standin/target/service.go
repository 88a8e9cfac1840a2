package target

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
)

// ServiceTime draws run times and random faults of tasks. It is safe for concurrent use.
type ServiceTime struct {
	low, high time.Duration
	mu        sync.Mutex
	random    *rand.Rand
}

// ParseServiceTime parses "fixed:100ms", "uniform:50ms-1s" or "scripted". The last
// equals "fixed:0s" and is for payloads that state the run time.
func ParseServiceTime(text string, seed uint64) (*ServiceTime, error) {
	s := &ServiceTime{random: rand.New(rand.NewPCG(seed, 1))}
	if text == "scripted" {
		return s, nil
	}
	form, rest, _ := strings.Cut(text, ":")
	low, high := rest, rest
	switch form {
	case "fixed":
	case "uniform":
		low, high, _ = strings.Cut(rest, "-")
	default:
		return nil, oops.In("target").Errorf("service: is %q, must be fixed:D, uniform:D-D or scripted", text)
	}
	var err error
	if s.low, err = time.ParseDuration(low); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	if s.high, err = time.ParseDuration(high); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	if s.low < 0 || s.high < s.low {
		return nil, oops.In("target").Errorf("service: is %q, must go from low to high", text)
	}
	return s, nil
}

// Draw returns a random run time.
func (s *ServiceTime) Draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.low + time.Duration(s.random.Int64N(int64(s.high-s.low)+1))
}

// Chance returns true with the given probability.
func (s *ServiceTime) Chance(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}
