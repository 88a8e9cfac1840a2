package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless a flag gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
