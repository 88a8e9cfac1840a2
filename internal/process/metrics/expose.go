package metrics

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

const contentType = "text/plain; version=0.0.4; charset=utf-8"

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels returns tags in the form a="b",c="d", sorted by name.
func formatLabels(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		pairs = append(pairs, name+`="`+labelEscaper.Replace(tags[name])+`"`)
	}
	return strings.Join(pairs, ",")
}

// ServeHTTP implements http.Handler. It writes all metrics in the text format.
func (r *reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(r.exposition())
}

func (r *reporter) exposition() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &bytes.Buffer{}
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		fmt.Fprintf(out, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(out, name, f.kind)
		}
	}
	return out.Bytes()
}

func (s *series) write(out *bytes.Buffer, name string, kind familyType) {
	switch kind {
	case histogramType:
		s.writeHistogram(out, name)
	case summaryType:
		writeSample(out, name+"_sum", s.labels, s.value)
		writeSample(out, name+"_count", s.labels, float64(s.count))
	default:
		writeSample(out, name, s.labels, s.value)
	}
}

func (s *series) writeHistogram(out *bytes.Buffer, name string) {
	var total int64
	for i, bound := range s.bounds {
		total += s.buckets[i]
		labels := `le="` + formatNumber(bound) + `"`
		if s.labels != "" {
			labels = s.labels + "," + labels
		}
		writeSample(out, name+"_bucket", labels, float64(total))
	}
	writeSample(out, name+"_count", s.labels, float64(total))
}

func writeSample(out *bytes.Buffer, name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(out, "%s%s %s\n", name, labels, formatNumber(value))
}

func formatNumber(value float64) string {
	if math.IsInf(value, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}
