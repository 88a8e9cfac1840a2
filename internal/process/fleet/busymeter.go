package fleet

import (
	"context"
	"syscall"
	"time"
)

const (
	busySampleInterval = 500 * time.Millisecond
	busySamples        = 5 // a window of 2 s: long enough to pass over bursts of a few jobs
)

// busyMeter computes how busy a process is from the processor time that it has used.
type busyMeter struct {
	cpuMilli int // thousandths of a core that the process may use
	samples  []busySample
}

type busySample struct {
	at   time.Time
	used time.Duration // processor time since the start of the process
}

// record records the processor time that the process has used since its start. It
// returns the part used in the window, in percent of what the process may use: at least
// 1, or 0 after the first sample.
func (m *busyMeter) record(used time.Duration, now time.Time) int {
	m.samples = append(m.samples, busySample{at: now, used: used})
	if len(m.samples) > busySamples {
		m.samples = m.samples[1:]
	}
	first := m.samples[0]
	elapsed := now.Sub(first.at)
	if elapsed <= 0 || m.cpuMilli <= 0 {
		return 0
	}
	return max(1, int(100*(used-first.used).Seconds()/(elapsed.Seconds()*float64(m.cpuMilli)/1000)))
}

// measureBusyness measures how busy this host is until ctx is cancelled, if its settings
// state its share of the processor. It begins after the start phase, whose work would
// count as a peak of the load for long.
func (n *Node) measureBusyness(ctx context.Context) error {
	if n.config.Self.CPUMilli <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(startPhase):
	}
	ticker := time.NewTicker(busySampleInterval)
	defer ticker.Stop()
	meter := busyMeter{cpuMilli: n.config.Self.CPUMilli}
	for {
		if used, err := processorTime(); err == nil { // otherwise the busyness stays unknown
			n.recordBusyness(meter.record(used, n.now()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
