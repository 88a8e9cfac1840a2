package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"wasabifield.example/wasabifield/internal/version/finding"
)

// jobIDDigits are the characters of a job's id, which follows the path prefix of its
// queue in the path of a request.
const jobIDDigits = "0123456789abcdefABCDEF"

// RequestSizes are the sizes of callers' requests, which depend on their wire form.
type RequestSizes struct {
	JobIDLength       int   // digits of a job's id
	SmallestBodyBytes int64 // the shortest body that states a job
	LargestSpecBytes  int64 // the longest text that a job may carry
	HeaderBytes       int   // the request line and the headers that each caller sends, without host and path
}

// Warnings returns what a catalog that is accepted can hardly be meant to say: entries
// that never match a request or have no effect, and limits that contradict each other.
func (c Catalog) Warnings(sizes RequestSizes) []Remark {
	w := &warner{}
	if len(c.Queues) == 0 {
		w.add(Remark{}, "there is no queue, so every request is refused")
	}
	names := map[string]bool{}
	for i, q := range c.Queues {
		at := Remark{List: Queues, Index: i, Name: q.Name}
		w.checkRepeatedName(at, names)
		w.checkHost(at, q)
		w.checkTimes(at, q)
		w.checkAttempts(at, q)
	}
	w.checkShadows(c.Queues, sizes.JobIDLength)
	w.checkServices(c)
	w.checkLimits(c, sizes)
	return w.remarks
}

// warner collects warnings.
type warner struct{ remarks []Remark }

func (w *warner) add(at Remark, format string, args ...any) {
	at.Severity, at.Text = finding.Warning, fmt.Sprintf(format, args...)
	w.remarks = append(w.remarks, at)
}

// field returns r with the field.
func (r Remark) field(name string) Remark {
	r.Field = name
	return r
}

func (w *warner) checkRepeatedName(at Remark, seen map[string]bool) {
	if at.Name != "" && seen[at.Name] {
		w.add(at.field("Name"), "another %s has the name %q too; logs and shares do not tell them apart", at.List, at.Name)
	}
	seen[at.Name] = true
}

// checkHost warns of a host that no request names. The port of a request's host is
// removed before it is compared.
func (w *warner) checkHost(at Remark, q Queue) {
	at = at.field("Host")
	switch {
	case q.Host == "":
		w.add(at, "is empty, so no request matches")
	case strings.ContainsAny(q.Host, "*/ @?#"):
		w.add(at, "%q is no host name, so no request matches; patterns are not supported", q.Host)
	case strings.Count(q.Host, ":") == 1:
		w.add(at, "%q has a port, so no request matches: a request's host is compared without its port", q.Host)
	}
}

func (w *warner) checkTimes(at Remark, q Queue) {
	switch {
	case q.TargetLatency < 0:
		w.add(at.field("TargetLatency"), "is %s, so jobs are late before they start", q.TargetLatency)
	case q.Timeout > 0 && q.Timeout < q.TargetLatency:
		w.add(at.field("Timeout"), "is %s, less than the target latency of %s: a caller that states no deadline leaves before its job is late", q.Timeout, q.TargetLatency)
	}
	switch {
	case q.SlackFactor < 1:
		w.add(at.field("SlackFactor"), "is %g, so the objective of a job is below its run time", q.SlackFactor)
	case q.SlackFactor == 1 && q.TargetLatency == 0:
		w.add(at.field("TargetLatency"), "is 0 and the slack factor 1, so the objective of a job leaves no time beside its run time")
	}
}

// checkAttempts warns of attempts that do not fit into the timeout if each takes the
// target latency. How long tasks run is not known here.
func (w *warner) checkAttempts(at Remark, q Queue) {
	if q.MaxAttempts < 2 || q.TargetLatency <= 0 || q.Timeout < q.TargetLatency {
		return // a shorter timeout has its own warning
	}
	if fitting := int64(q.Timeout / q.TargetLatency); fitting < int64(q.MaxAttempts) {
		w.add(at.field("MaxAttempts"), "is %d, but the timeout of %s has time for %d if each takes the target latency of %s", q.MaxAttempts, q.Timeout, fitting, q.TargetLatency)
	}
}

// checkShadows warns of queues of which another queue with a longer prefix takes jobs:
// its prefix is that of the queue followed by digits of a job's id. A queue whose every
// id is taken matches nothing.
func (w *warner) checkShadows(queues []Queue, idLength int) {
	indexByKey := map[string]int{}
	for i, q := range queues {
		if _, taken := indexByKey[q.matchKey()]; !taken {
			indexByKey[q.matchKey()] = i
		}
	}
	taken := make([]map[string]string, len(queues)) // name of the other queue by the digits that its prefix adds
	for _, other := range queues {
		key := other.matchKey()
		for digits := 1; digits <= idLength && digits < len(other.PathPrefix); digits++ {
			cut := len(key) - digits
			if !strings.ContainsRune(jobIDDigits, rune(key[cut])) {
				break
			}
			if i, ok := indexByKey[key[:cut]]; ok {
				if taken[i] == nil {
					taken[i] = map[string]string{}
				}
				taken[i][key[cut:]] = other.Name
			}
		}
	}
	for i, q := range queues {
		if len(taken[i]) == 0 {
			continue
		}
		at := Remark{List: Queues, Index: i, Name: q.Name, Field: "PathPrefix"}
		if coversAllIDs(taken[i], "", idLength) {
			w.add(at, "no job matches: queues with longer prefixes take every id")
			continue
		}
		for _, digits := range slices.Sorted(maps.Keys(taken[i])) {
			w.add(at, "jobs whose ids begin with %s go to queue %s, whose prefix is longer", digits, taken[i][digits])
		}
	}
}

// coversAllIDs reports whether each id of the given length that begins with prefix
// begins with one of the keys of taken.
func coversAllIDs(taken map[string]string, prefix string, idLength int) bool {
	if _, ok := taken[prefix]; ok {
		return true
	}
	if len(prefix) == idLength || !anyKeyBegins(taken, prefix) {
		return false
	}
	for _, digit := range jobIDDigits {
		if !coversAllIDs(taken, prefix+string(digit), idLength) {
			return false
		}
	}
	return true
}

func anyKeyBegins(m map[string]string, prefix string) bool {
	for key := range m {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (w *warner) checkServices(c Catalog) {
	used := map[string]bool{}
	for _, q := range c.Queues {
		used[q.Service] = true
	}
	names := map[string]bool{}
	for i, s := range c.Services {
		at := Remark{List: Services, Index: i, Name: s.Name}
		switch {
		case s.Name == "":
			w.add(at.field("Name"), "is empty; no target announces itself for such a service")
		case names[s.Name]:
			w.checkRepeatedName(at, names)
		case !used[s.Name]:
			w.add(at, "no queue names the service %q", s.Name)
		}
		names[s.Name] = true
	}
}

func (w *warner) checkLimits(c Catalog, sizes RequestSizes) {
	limits := Remark{List: LimitValues}
	switch {
	case c.Limits.BodyBytes < sizes.SmallestBodyBytes:
		w.add(limits.field("BodyBytes"), "is %d, but the shortest job has %d bytes, so every job is refused", c.Limits.BodyBytes, sizes.SmallestBodyBytes)
	case c.Limits.BodyBytes < sizes.SmallestBodyBytes+sizes.LargestSpecBytes:
		w.add(limits.field("BodyBytes"), "is %d, but a job with the longest spec that is allowed has at least %d bytes", c.Limits.BodyBytes, sizes.SmallestBodyBytes+sizes.LargestSpecBytes)
	}
	for i, q := range c.Queues {
		if needed := sizes.HeaderBytes + len(q.Host) + len(q.PathPrefix) + sizes.JobIDLength; c.Limits.HeaderBytes < needed {
			w.add(limits.field("HeaderBytes"), "is %d, but requests to queue %d, %q, have at least %d bytes of headers", c.Limits.HeaderBytes, i, q.Name, needed)
			break // one example suffices
		}
	}
	if c.Limits.HeaderTimeout < 0 {
		w.add(limits.field("HeaderTimeout"), "is %s, which is no time", c.Limits.HeaderTimeout)
	}
	if c.Limits.IdleTimeout < 0 {
		w.add(limits.field("IdleTimeout"), "is %s, which is no time", c.Limits.IdleTimeout)
	}
}
