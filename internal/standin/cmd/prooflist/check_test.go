package main

import (
	"testing"
	"testing/fstest"

	. "github.com/onsi/gomega"
)

var tree = fstest.MapFS{
	"p/a_test.go":              {Data: []byte("package p\nfunc TestA(t *T) {}\n")},
	"p/testdata/x/drain.txtar": {Data: nil},
}

func TestRowsAreChecked(t *testing.T) {
	cases := map[string]struct {
		line   string
		proved int
		faults int
	}{
		"test":           {"| a point | `TestA` | `p` | `go test ./p` | broken so |", 1, 0},
		"scenario":       {"| a point | `TestA`, `drain.txtar` | `p` | `go test ./p` | broken so |", 1, 0},
		"not proved":     {"| a point | not proved | - | - | - |", 0, 0},
		"no such test":   {"| a point | `TestB` | `p` | `go test ./p` | broken so |", 1, 1},
		"no such file":   {"| a point | `cut.txtar` | `p` | `go test ./p` | broken so |", 1, 1},
		"no such folder": {"| a point | `TestA` | `q` | `go test ./q` | broken so |", 1, 1},
	}
	for name, c := range cases {
		g := NewWithT(t)
		rows, err := parseRows("| Point | Test | Package | Command | Failed first |\n| --- | --- |\n" + c.line)
		g.Expect(err).NotTo(HaveOccurred(), name)
		proved, faults := check(tree, rows)
		g.Expect(proved).To(Equal(c.proved), name)
		g.Expect(faults).To(HaveLen(c.faults), name)
	}
}

func TestRowWithMissingCellsIsAFault(t *testing.T) {
	_, err := parseRows("| a point | `TestA` |")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("line 1")))
}
