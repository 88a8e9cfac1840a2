package report

import (
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

const (
	bucketWidth = time.Minute        // resolution of the period of a report
	retention   = 7 * 24 * time.Hour // how far back a report can reach
	maxBundles  = 256                // records of bundles in force that are kept
)

// Recorder counts the answers of one host in memory. It is safe for concurrent use.
type Recorder struct {
	host          string
	countingSince time.Time // UTC

	mu      sync.Mutex
	buckets []bucket        // ordered by time, newest last; none for minutes without an answer
	bundles []BundleInForce // newest last
}

// bucket counts the answers of one minute.
type bucket struct {
	start    time.Time // of the minute, UTC
	complete uint64
	failed   map[failure.Kind]uint64
	notRun   map[failure.Kind]uint64
}

// NewRecorder returns a Recorder for a host. Its counts start at now.
func NewRecorder(host string, now time.Time) *Recorder {
	return &Recorder{host: host, countingSince: now.UTC()}
}

// CountAnswer counts the answer to one job at time now.
func (r *Recorder) CountAnswer(now time.Time, answer *job.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucketAt(now)
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

// RecordBundleInForce records that a bundle is in force at the host from now on. Only
// the newest maxBundles records are kept.
func (r *Recorder) RecordBundleInForce(now time.Time, version uint64, digest bundle.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bundles = append(r.bundles, BundleInForce{Host: r.host, Version: version, Digest: digest, Since: now.UTC()})
	r.bundles = r.bundles[max(0, len(r.bundles)-maxBundles):]
}

// bucketAt returns the bucket of a time and adds it if necessary. If the clock was set
// back to before the newest bucket, it returns the newest bucket.
func (r *Recorder) bucketAt(now time.Time) *bucket {
	start := now.UTC().Truncate(bucketWidth)
	last := len(r.buckets) - 1
	if last >= 0 && !start.After(r.buckets[last].start) {
		return &r.buckets[last]
	}
	r.buckets = append(r.dropBucketsBefore(start.Add(-retention)), bucket{
		start:  start,
		failed: map[failure.Kind]uint64{},
		notRun: map[failure.Kind]uint64{},
	})
	return &r.buckets[len(r.buckets)-1]
}

func (r *Recorder) dropBucketsBefore(oldest time.Time) []bucket {
	for len(r.buckets) > 0 && r.buckets[0].start.Before(oldest) {
		r.buckets = r.buckets[1:]
	}
	return r.buckets
}

// Report returns the counts of the minutes from the one that contains from up to the
// last one that starts before to.
func (r *Recorder) Report(from, to time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Hosts: []string{r.host}, From: from.UTC(), To: to.UTC(), CountingSince: r.countingSince}
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
	report.Failed, report.NotRun = sortedCounts(failed), sortedCounts(notRun)
	report.Bundles = r.bundlesInForce(from, to)
	return report
}

func addInto(sum, jobs map[failure.Kind]uint64) {
	for kind, n := range jobs {
		sum[kind] += n
	}
}

// bundlesInForce returns the bundles that were in force at some time of the period,
// newest first.
func (r *Recorder) bundlesInForce(from, to time.Time) []BundleInForce {
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
