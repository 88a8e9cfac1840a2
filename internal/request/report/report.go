package report

import (
	"cmp"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Report holds the counts of a period.
type Report struct {
	Hosts         []string        `json:"hosts"` // entry hosts whose answers are counted
	From          time.Time       `json:"from"`
	To            time.Time       `json:"to"`
	CountingSince time.Time       `json:"since"`    // when counting started; later than From if the host restarted in between
	Complete      uint64          `json:"complete"` // jobs with the outcome complete
	Failed        []Count         `json:"failed"`   // jobs with the outcome failed, highest count first
	NotRun        []Count         `json:"not_run"`  // jobs refused without starting a task, highest count first
	Bundles       []BundleInForce `json:"bundles"`  // newest first
}

// Count is the number of jobs with one kind of failure.
type Count struct {
	Kind failure.Kind `json:"kind"`
	Jobs uint64       `json:"jobs"`
}

// BundleInForce states since when a bundle was in force at a host.
type BundleInForce struct {
	Host    string        `json:"host"`
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
	Since   time.Time     `json:"since"`
}

// Total returns the sum of counts.
func Total(counts []Count) uint64 {
	var total uint64
	for _, c := range counts {
		total += c.Jobs
	}
	return total
}

// Merge returns the report of the hosts of r and of other, which must cover the same
// period. CountingSince is the later one of the two.
func (r Report) Merge(other Report) Report {
	r.Hosts = append(slices.Clone(r.Hosts), other.Hosts...)
	r.Bundles = append(slices.Clone(r.Bundles), other.Bundles...)
	r.Complete += other.Complete
	r.Failed = addCounts(r.Failed, other.Failed)
	r.NotRun = addCounts(r.NotRun, other.NotRun)
	if other.CountingSince.After(r.CountingSince) {
		r.CountingSince = other.CountingSince
	}
	slices.SortStableFunc(r.Bundles, func(a, b BundleInForce) int { return b.Since.Compare(a.Since) })
	return r
}

func addCounts(a, b []Count) []Count {
	jobs := map[failure.Kind]uint64{}
	for _, c := range slices.Concat(a, b) {
		jobs[c.Kind] += c.Jobs
	}
	return sortedCounts(jobs)
}

// sortedCounts returns the counts, highest first and then by kind.
func sortedCounts(jobs map[failure.Kind]uint64) []Count {
	counts := make([]Count, 0, len(jobs))
	for kind, n := range jobs {
		counts = append(counts, Count{Kind: kind, Jobs: n})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}
