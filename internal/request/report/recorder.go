package report

import (
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

const (
	bucketWidth = time.Minute        // resolution of a report's period
	keepFor     = 7 * 24 * time.Hour // how far back a report reaches
	keepBundles = 256                // versions in force that are remembered
)

// Recorder counts the answers of one host in memory. It is safe for
// concurrent use.
type Recorder struct {
	host  string
	since time.Time

	mu      sync.Mutex
	buckets []bucket // by time, the newest last; minutes without an answer have none
	bundles []BundleInForce
}

// bucket counts the answers of one minute.
type bucket struct {
	start    time.Time
	complete uint64
	failed   map[failure.Kind]uint64
	notRun   map[failure.Kind]uint64
}

// NewRecorder returns a Recorder of a host that starts counting now.
func NewRecorder(host string, now time.Time) *Recorder {
	return &Recorder{host: host, since: now.UTC()}
}

// CountAnswer counts the answer to a job.
func (r *Recorder) CountAnswer(now time.Time, answer *job.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(now)
	kind := failure.Internal
	if answer.Error != nil {
		kind = failure.Kind(answer.Error.Kind)
	}
	switch answer.Outcome {
	case job.Complete:
		b.complete++
	case job.NotRun:
		b.notRun[kind]++
	default:
		b.failed[kind]++
	}
}

// RecordBundleInForce notes that the host serves with a bundle from now on.
func (r *Recorder) RecordBundleInForce(now time.Time, version uint64, digest bundle.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bundles = append(r.bundles, BundleInForce{Host: r.host, Version: version, Digest: digest, Since: now.UTC()})
	r.bundles = r.bundles[max(0, len(r.bundles)-keepBundles):]
}

// bucket returns the bucket of a time, made if necessary. A time before the
// newest bucket, from a clock set back, counts in the newest.
func (r *Recorder) bucket(now time.Time) *bucket {
	start := now.UTC().Truncate(bucketWidth)
	last := len(r.buckets) - 1
	if last >= 0 && !start.After(r.buckets[last].start) {
		return &r.buckets[last]
	}
	r.buckets = append(r.dropBefore(start.Add(-keepFor)), bucket{
		start:  start,
		failed: map[failure.Kind]uint64{},
		notRun: map[failure.Kind]uint64{},
	})
	return &r.buckets[len(r.buckets)-1]
}

func (r *Recorder) dropBefore(oldest time.Time) []bucket {
	for len(r.buckets) > 0 && r.buckets[0].start.Before(oldest) {
		r.buckets = r.buckets[1:]
	}
	return r.buckets
}

// Report returns the account of the minutes that begin from from on and before
// to.
func (r *Recorder) Report(from, to time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Hosts: []string{r.host}, From: from.UTC(), To: to.UTC(), CountingSince: r.since}
	failed, notRun := map[failure.Kind]uint64{}, map[failure.Kind]uint64{}
	first := from.UTC().Truncate(bucketWidth)
	for _, b := range r.buckets {
		if b.start.Before(first) || !b.start.Before(to) {
			continue
		}
		report.Complete += b.complete
		addInto(failed, b.failed)
		addInto(notRun, b.notRun)
	}
	report.Failed, report.NotRun = sorted(failed), sorted(notRun)
	report.Bundles = r.inForce(from, to)
	return report
}

func addInto(sum, jobs map[failure.Kind]uint64) {
	for kind, n := range jobs {
		sum[kind] += n
	}
}

// inForce returns the bundles in force at some time of the period, the newest
// first.
func (r *Recorder) inForce(from, to time.Time) []BundleInForce {
	bundles := []BundleInForce{}
	for i := len(r.bundles) - 1; i >= 0; i-- {
		b := r.bundles[i]
		if b.Since.Before(to) {
			bundles = append(bundles, b)
		}
		if !b.Since.After(from) {
			break
		}
	}
	return bundles
}
