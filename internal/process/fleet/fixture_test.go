package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/discovery"
	"wasabifield.example/wasabifield/internal/process/fleet"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/process/scheduler"
	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/store"
	"wasabifield.example/wasabifield/internal/version/store/storetest"
)

const limit = 60 * time.Second // generous: nothing here asserts speed

// workers are targets in memory, which guard their room, tokens and leases as
// the platform's do.
type workers struct {
	mu      sync.Mutex
	byID    map[string]*worker
	starts  map[string]int // by task
	overlap []string       // tasks of which two runs were at work at once
	work    time.Duration
}

type worker struct {
	token   uint64
	next    uint64
	running map[scheduler.Run]time.Time // when it began
	ended   []fleet.EndedRun
	changed chan struct{}
}

func newWorkers(work time.Duration) *workers {
	return &workers{byID: map[string]*worker{}, starts: map[string]int{}, work: work}
}

func (w *workers) get(id string) *worker {
	if w.byID[id] == nil {
		w.byID[id] = &worker{running: map[scheduler.Run]time.Time{}, changed: make(chan struct{})}
	}
	return w.byID[id]
}

func (w *workers) end(id string, r scheduler.Run, how scheduler.End) {
	k := w.get(id)
	if _, ok := k.running[r]; !ok {
		return
	}
	delete(k.running, r)
	k.next++
	k.ended = append(k.ended, fleet.EndedRun{Sequence: k.next, Run: r, End: how})
	close(k.changed)
	k.changed = make(chan struct{})
}

func (w *workers) Start(_ context.Context, t fleet.TargetRef, o fleet.StartRequest) (scheduler.StartResult, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.get(t.ID)
	if o.Token < k.token {
		return scheduler.Fenced, 1
	}
	k.token = o.Token
	for _, other := range w.byID {
		for r := range other.running {
			if r.TaskID() == o.Run.TaskID() {
				w.overlap = append(w.overlap, r.TaskID())
			}
		}
	}
	w.starts[o.Run.TaskID()]++
	k.running[o.Run] = time.Now()
	time.AfterFunc(w.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(t.ID, o.Run, scheduler.EndDone)
	})
	return scheduler.Started, 1
}

func (w *workers) Stop(_ context.Context, t fleet.TargetRef, r scheduler.Run, token uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.get(t.ID).token {
		return fleet.ErrFenced
	}
	w.end(t.ID, r, scheduler.EndStopped)
	return nil
}

func (w *workers) Renew(ctx context.Context, t fleet.TargetRef, r fleet.RenewRequest) (fleet.TargetReport, error) {
	w.mu.Lock()
	k := w.get(t.ID)
	if r.Token < k.token {
		w.mu.Unlock()
		return fleet.TargetReport{}, fleet.ErrFenced
	}
	k.token = r.Token
	for len(k.ended) > 0 && k.ended[0].Sequence <= r.AckCursor {
		k.ended = k.ended[1:]
	}
	changed, wait := k.changed, len(k.ended) == 0 && r.MaxWait > 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(r.MaxWait):
		case <-ctx.Done():
			return fleet.TargetReport{}, ctx.Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	report := fleet.TargetReport{ClockMS: 1, Ended: append([]fleet.EndedRun(nil), k.ended...)}
	for run, begun := range k.running {
		percent := int(min(99, 100*time.Since(begun)/w.work))
		report.Running = append(report.Running, fleet.RunningRun{Run: run, PercentDone: percent})
	}
	return report, nil
}

// fixture is a system of hosts on loopback.
type fixture struct {
	t       *testing.T
	g       *WithT
	workers *workers
	nodes   map[string]*running
	seed    string
}

type running struct {
	*fleet.Node
	address string
	stop    func()
}

func newFixture(t *testing.T, work time.Duration) *fixture {
	f := &fixture{t: t, g: NewWithT(t), workers: newWorkers(work), nodes: map[string]*running{}}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

// start starts a host. The first one has the disk and is everybody's seed.
func (f *fixture) start(name, domain string) *running { return f.startAt(name, domain, "127.0.0.1:0") }

// startAt starts a host at an address, in place of a former one of the name.
func (f *fixture) startAt(name, domain, at string) *running {
	f.t.Helper()
	listener, err := net.Listen("tcp", at)
	f.g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	config := fleet.Config{
		Self:     discovery.Host{Address: address, Name: name, Domain: domain, Entry: true, Incarnation: uint64(time.Now().UnixMilli())},
		MaxLease: time.Second, Targets: f.workers, Parse: parseDocument, Voters: 1,
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewMetrics(nil),
	}
	if f.seed == "" {
		f.seed = address
		config.Self.Disk = true
		config.DataFolder, err = store.OpenFolder(storetest.NewFS(), "/data")
		f.g.Expect(err).NotTo(HaveOccurred())
	}
	config.Seeds, config.Founders = []string{f.seed}, []string{f.seed}
	node, err := fleet.New(config)
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, listener) }()
	n := &running{Node: node, address: address}
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	f.nodes[name] = n
	return n
}

func parseDocument(text []byte) (catalog.Catalog, error) {
	var c catalog.Catalog
	err := json.Unmarshal(text, &c)
	return c, err
}

// open puts a catalog in force and waits until the hosts are ready.
func (f *fixture) open(names ...string) {
	f.t.Helper()
	document, err := json.Marshal(catalog.Catalog{Version: 1})
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Eventually(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		for _, n := range f.nodes {
			if _, err := n.PutCatalog(ctx, document); err != nil {
				return err
			}
			break
		}
		for _, name := range names {
			if ok, why := f.nodes[name].Ready(); !ok {
				return fmt.Errorf("%s is not ready: %s", name, why)
			}
		}
		return nil
	}, limit, 10*time.Millisecond).Should(Succeed())
}

// announce makes a host hear of targets of a domain.
func (f *fixture) announce(to *running, domain string, count int) {
	for i := range count {
		id := fmt.Sprintf("%s-%d", domain, i)
		to.Announce(fleet.Announcement{
			Target: scheduler.Target{
				ID: id, Service: "desk", Address: "127.0.0.1:1", Domain: domain, Incarnation: 1,
				Capacity: scheduler.Resources{CPUMilli: 16000, MemoryMB: 1024},
			},
			Sequence: uint64(time.Now().UnixMilli()), ReceivedAt: time.Now(),
		})
	}
}

func job(id string, tasks int) scheduler.Job {
	now := time.Now()
	return scheduler.Job{
		ID: id, Queue: "q", Service: "desk", MaxAttempts: 2, SlackFactor: 2, TargetLatency: 10 * time.Second, ArrivedAt: now, Deadline: now.Add(limit),
		Steps: []scheduler.Step{{Count: tasks, Need: scheduler.Resources{CPUMilli: 4000, MemoryMB: 10}, Estimate: 100 * time.Millisecond}},
	}
}
