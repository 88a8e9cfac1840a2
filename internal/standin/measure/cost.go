package measure

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

// Reading is the state of one entry host at one instant.
type Reading struct {
	At      time.Time
	CPU     time.Duration // processor time since the process began
	RSS     int64         // resident memory, bytes
	Metrics Samples
}

// Samples are the values of a /metrics page by name and labels.
type Samples map[string]float64

// Sum adds up the samples of name whose labels contain every one of labels,
// each in the form a="b".
func (s Samples) Sum(name string, labels ...string) float64 {
	total := 0.0
	for key, value := range s {
		base, rest, _ := strings.Cut(key, "{")
		if base == name && containsAll(rest, labels) {
			total += value
		}
	}
	return total
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// Read takes a reading of every entry host.
func (f *Fleet) Read() ([]Reading, error) {
	readings := make([]Reading, len(f.Hosts))
	for i, h := range f.Hosts {
		var err error
		if readings[i], err = read(f.processes[i].PID(), h.HTTPAddress); err != nil {
			return nil, fmt.Errorf("%s: %w", h.Host, err)
		}
	}
	return readings, nil
}

func read(pid int, address string) (Reading, error) {
	samples, err := scrape(address)
	if err != nil {
		return Reading{}, err
	}
	cpu, err := processorTime(pid)
	if err != nil {
		return Reading{}, err
	}
	rss, err := residentMemory(pid)
	return Reading{At: time.Now(), CPU: cpu, RSS: rss, Metrics: samples}, err
}

func scrape(address string) (Samples, error) {
	response, err := http.Get("http://" + address + wire.PathMetrics)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return parseSamples(response.Body)
}

// parseSamples reads the text exposition format.
func parseSamples(in io.Reader) (Samples, error) {
	samples := make(Samples)
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := lines.Text()
		cut := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || cut < 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[cut+1:], 64)
		if err != nil {
			return nil, err
		}
		samples[line[:cut]] = value
	}
	return samples, lines.Err()
}

// processorTime returns the time that the threads of a process ran, which
// /proc states in nanoseconds.
func processorTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(ns)
	}
	if total == 0 {
		return 0, fmt.Errorf("no processor time of process %d", pid)
	}
	return total, nil
}

func residentMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("no resident memory of process %d", pid)
}

// Cost is what one entry host cost between two readings.
type Cost struct {
	Seconds  float64
	Cores    float64 // processor time for each second
	RSS      float64 // bytes at the end
	Metrics  Samples // growth of each sample
	PeerSent float64 // bytes a second to other entry hosts
	PeerRecv float64
	WebSent  float64 // bytes a second to callers and targets
	WebRecv  float64
}

// between returns the cost from a to b.
func between(a, b Reading) Cost {
	c := Cost{Seconds: b.At.Sub(a.At).Seconds(), RSS: float64(b.RSS), Metrics: make(Samples)}
	for key, value := range b.Metrics {
		c.Metrics[key] = value - a.Metrics[key]
	}
	c.Cores = (b.CPU - a.CPU).Seconds() / c.Seconds
	rate := func(name, link string) float64 {
		return c.Metrics.Sum(name, `link="`+link+`"`) / c.Seconds
	}
	c.PeerSent, c.PeerRecv = rate("wasabifield_sent_bytes", "peer"), rate("wasabifield_received_bytes", "peer")
	c.WebSent, c.WebRecv = rate("wasabifield_sent_bytes", "web"), rate("wasabifield_received_bytes", "web")
	return c
}

// settle is how long a fleet rests before a reading: caches fill, and the
// served metrics catch up.
const settle = 2 * time.Second

// Measure reads the fleet, runs work and reads it again.
func (f *Fleet) Measure(work func()) ([]Cost, error) {
	time.Sleep(settle)
	before, err := f.Read()
	if err != nil {
		return nil, err
	}
	work()
	after, err := f.Read()
	if err != nil {
		return nil, err
	}
	costs := make([]Cost, len(before))
	for i := range before {
		costs[i] = between(before[i], after[i])
	}
	return costs, nil
}

// Mean returns the mean of value over costs.
func Mean(costs []Cost, value func(Cost) float64) float64 {
	total := 0.0
	for _, c := range costs {
		total += value(c)
	}
	return total / float64(len(costs))
}

// Greatest returns the greatest value over costs.
func Greatest(costs []Cost, value func(Cost) float64) float64 {
	most := 0.0
	for _, c := range costs {
		most = max(most, value(c))
	}
	return most
}
