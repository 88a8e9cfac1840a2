//go:build !linux

package bootclock

import "time"

var system = Source{Now: time.Now, TimeOfDay: sinceEpoch}
