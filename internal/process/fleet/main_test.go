package fleet_test

import (
	"testing"

	"wasabifield.example/wasabifield/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
