package controller_test

import (
	"flag"
	"testing"

	"wasabifield.example/wasabifield/internal/standin/fixedseed"
)

// checks is the number of property test cases, unless the flag -rapid.checks sets another.
// A case is a simulated day of all hosts.
const checks = "20"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", checks)
	}
	fixedseed.Main(m)
}
