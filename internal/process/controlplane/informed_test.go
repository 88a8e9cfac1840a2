package controlplane

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestWhenAHostIsInformed(t *testing.T) {
	type said map[string]Report
	cases := []struct {
		name      string
		version   uint64
		confirmed bool
		said      said
		want      bool
	}{
		{"nothing known", 0, false, nil, false},
		{"a quorum confirmed it", 0, true, nil, true},
		{"own disk, domain silent", 7, false, nil, false},
		{"own disk, one neighbour silent", 7, false, said{"a2": {Version: 7}}, false},
		{"own disk, domain not newer", 7, false, said{"a2": {Version: 7}, "a3": {}}, true},
		{"own disk, domain newer", 7, false, said{"a2": {Version: 8}, "a3": {}}, false},
		{"caught up with an informed neighbour", 8, false, said{"a2": {Version: 8, CaughtUp: true}}, true},
		{"behind an informed neighbour", 7, false, said{"a2": {Version: 8, CaughtUp: true}}, false},
		{"no memory, neighbours neither", 0, false, said{"a2": {}, "a3": {}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			i := newInformed([]string{"a2", "a3"})
			for host, r := range c.said {
				i.hear(host, r)
			}
			g.Expect(i.check(c.version, c.confirmed)).To(Equal(c.want))
		})
	}
}

func TestAnInformedHostStaysInformed(t *testing.T) {
	g := NewWithT(t)
	i := newInformed([]string{"a2"})
	g.Expect(i.check(7, true)).To(BeTrue())
	i.hear("a2", Report{Version: 9, CaughtUp: true})
	g.Expect(i.check(7, false)).To(BeTrue())
}
