// Command rollout measures the control path: how long a change takes until it
// is in force at every host, and what the control of a host costs at rest and
// while changes are made.
package main

import (
	"context"
	"io"
	"time"

	"github.com/spf13/pflag"

	"wasabifield.example/wasabifield/internal/standin/measure"
)

func main() {
	var r run
	measure.Command{
		Name:  "rollout",
		Short: "Measure changes of the bundle",
		Flags: func(flags *pflag.FlagSet) {
			r.fleet.Programs.AddFlags(flags)
			flags.IntVar(&r.fleet.Domains, "domains", 3, "failure domains")
			flags.IntVar(&r.fleet.HostsPerDomain, "hosts", 2, "entry hosts of each domain")
			flags.IntVar(&r.fleet.Disks, "disks", 3, "domains whose first host has a disk")
			flags.IntVar(&r.changes, "changes", 100, "changes to make")
			flags.DurationVar(&r.pause, "pause", 100*time.Millisecond, "time between two changes")
		},
		Run: func(ctx context.Context, out io.Writer) error { return r.measure(ctx, out) },
	}.Main()
}
