// Package fixedseed runs the property tests of a package with one fixed seed, so
// that their result does not change from run to run. TestMain functions call it.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

const seed = "1"

// Main runs the tests of m with a fixed rapid seed, unless the flag -rapid.seed
// sets another, and exits the process with their result.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", seed)
	}
	os.Exit(m.Run())
}
