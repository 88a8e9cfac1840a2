package report

import (
	"cmp"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Report is the account of a period.
type Report struct {
	Hosts         []string        `json:"hosts"` // the entry hosts whose answers are counted
	From          time.Time       `json:"from"`
	To            time.Time       `json:"to"`
	CountingSince time.Time       `json:"since"`    // counting began; later than From if the host restarted
	Complete      uint64          `json:"complete"` // jobs answered complete
	Failed        []Count         `json:"failed"`   // jobs marked failed
	NotRun        []Count         `json:"not_run"`  // jobs refused of which nothing ran
	Bundles       []BundleInForce `json:"bundles"`  // the newest first
}

// Count is a number of jobs with one kind of failure.
type Count struct {
	Kind failure.Kind `json:"kind"`
	Jobs uint64       `json:"jobs"`
}

// BundleInForce says which bundle a host served with.
type BundleInForce struct {
	Host    string        `json:"host"`
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
	Since   time.Time     `json:"since"`
}

// Total returns the number of jobs in counts.
func Total(counts []Count) uint64 {
	var total uint64
	for _, c := range counts {
		total += c.Jobs
	}
	return total
}

// Merge returns the account of two sets of hosts over one period.
func (r Report) Merge(other Report) Report {
	r.Hosts = append(slices.Clone(r.Hosts), other.Hosts...)
	r.Bundles = append(slices.Clone(r.Bundles), other.Bundles...)
	r.Complete += other.Complete
	r.Failed = add(r.Failed, other.Failed)
	r.NotRun = add(r.NotRun, other.NotRun)
	if other.CountingSince.After(r.CountingSince) {
		r.CountingSince = other.CountingSince
	}
	slices.SortStableFunc(r.Bundles, func(a, b BundleInForce) int { return b.Since.Compare(a.Since) })
	return r
}

func add(a, b []Count) []Count {
	jobs := map[failure.Kind]uint64{}
	for _, c := range slices.Concat(a, b) {
		jobs[c.Kind] += c.Jobs
	}
	return sorted(jobs)
}

// sorted returns counts, the greatest first.
func sorted(jobs map[failure.Kind]uint64) []Count {
	counts := make([]Count, 0, len(jobs))
	for kind, n := range jobs {
		counts = append(counts, Count{Kind: kind, Jobs: n})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}
