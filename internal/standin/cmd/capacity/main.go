// Command capacity measures what the dispatcher costs at several sizes, fits
// slopes and prints them as the table that docs/CAPACITY.md holds.
package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/pflag"

	"wasabifield.example/wasabifield/internal/standin/measure"
)

func main() {
	var s suite
	var page string
	measure.Command{
		Name:  "capacity",
		Short: "Measure costs at several sizes and fit slopes",
		Flags: func(flags *pflag.FlagSet) {
			s.programs.AddFlags(flags)
			flags.DurationVar(&s.duration, "duration", 8*time.Second, "length of each measurement")
			flags.StringSliceVar(&s.only, "only", nil, "experiments to run; all if not given")
			flags.DurationVar(&s.exchange, "exchange", 0, "time between exchanges of entry hosts; 0 is the default setting")
			flags.StringVar(&page, "write", "", "page whose table is replaced")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			report, err := s.run(ctx)
			fmt.Fprint(out, report)
			if err != nil || page == "" {
				return err
			}
			return writePage(page, report)
		},
	}.Main()
}
