// Command bench measures the dispatcher beside its baselines in the same run:
// the computed ideal of a perfect central dispatcher, and the same tasks sent
// straight to the targets without an entry host.
package main

import (
	"context"
	"io"
	"time"

	"github.com/spf13/pflag"

	"wasabifield.example/wasabifield/internal/standin/measure"
)

func main() {
	var b bench
	measure.Command{
		Name:  "bench",
		Short: "Measure response times, messages and processor time beside baselines",
		Flags: func(flags *pflag.FlagSet) {
			b.programs.AddFlags(flags)
			flags.DurationVar(&b.duration, "duration", 8*time.Second, "length of each load")
			flags.Uint64Var(&b.seed, "seed", 1, "seed of the arrivals")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			b.out = out
			return b.run(ctx)
		},
	}.Main()
}
