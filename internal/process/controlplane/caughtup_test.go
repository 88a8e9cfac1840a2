package controlplane

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestCaughtUpConditions(t *testing.T) {
	type reports map[string]Report
	cases := []struct {
		name      string
		version   uint64
		confirmed bool
		reports   reports
		want      bool
	}{
		{"nothing known", 0, false, nil, false},
		{"a quorum confirmed it", 0, true, nil, true},
		{"own disk, domain silent", 7, false, nil, false},
		{"own disk, one host of the domain silent", 7, false, reports{"a2": {Version: 7}}, false},
		{"own disk, domain not newer", 7, false, reports{"a2": {Version: 7}, "a3": {}}, true},
		{"own disk, domain newer", 7, false, reports{"a2": {Version: 8}, "a3": {}}, false},
		{"at the version of a caught-up host", 8, false, reports{"a2": {Version: 8, CaughtUp: true}}, true},
		{"behind a caught-up host", 7, false, reports{"a2": {Version: 8, CaughtUp: true}}, false},
		{"no version in the whole domain", 0, false, reports{"a2": {}, "a3": {}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := newCaughtUpTracker([]string{"a2", "a3"})
			for host, r := range c.reports {
				tracker.recordReport(host, r)
			}
			g.Expect(tracker.update(c.version, c.confirmed)).To(Equal(c.want))
		})
	}
}

func TestCaughtUpHostStaysCaughtUp(t *testing.T) {
	g := NewWithT(t)
	tracker := newCaughtUpTracker([]string{"a2"})
	g.Expect(tracker.update(7, true)).To(BeTrue())
	tracker.recordReport("a2", Report{Version: 9, CaughtUp: true})
	g.Expect(tracker.update(7, false)).To(BeTrue())
}
