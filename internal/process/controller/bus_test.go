package controller_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/version/store"
	"wasabifield.example/wasabifield/internal/version/store/storetest"
)

const (
	folder = "/data"
	limit  = 120 * time.Second // generous: nothing here asserts speed
)

// bus carries calls between controllers in memory. It counts them and can cut
// hosts off.
type bus struct {
	mu     sync.Mutex
	served map[string]*served
	cut    map[string]bool
	lost   map[string]int // replies still to be lost, by method
	calls  map[string]int // by method
}

// served is the service of one host; it implements grpc.ServiceRegistrar.
type served struct {
	methods map[string]grpc.MethodDesc
	service any
}

func (s *served) RegisterService(desc *grpc.ServiceDesc, service any) {
	s.service = service
	for _, m := range desc.Methods {
		s.methods[m.MethodName] = m
	}
}

// link is a connection on the bus.
type link struct {
	bus      *bus
	from, to string
}

func (l link) Invoke(ctx context.Context, method string, in, out any, _ ...grpc.CallOption) error {
	target, err := l.bus.reach(l, path.Base(method))
	if err != nil {
		return err
	}
	decode := func(m any) error {
		proto.Merge(m.(proto.Message), in.(proto.Message))
		return nil
	}
	reply, err := target.methods[path.Base(method)].Handler(target.service, ctx, decode, nil)
	if err != nil {
		return err
	}
	if _, err := l.bus.reach(link{l.bus, l.to, l.from}, ""); err != nil || l.bus.isLost(path.Base(method)) {
		return status.Error(codes.Unavailable, "the reply was lost")
	}
	proto.Merge(out.(proto.Message), reply.(proto.Message))
	return nil
}

func (link) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("no streams")
}

func (b *bus) reach(l link, method string) (*served, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.served[l.to]
	if !ok || b.cut[l.from] || b.cut[l.to] {
		return nil, status.Error(codes.Unavailable, "cut")
	}
	if method != "" {
		b.calls[method]++
	}
	return target, nil
}

func (b *bus) isLost(method string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost[method]--
	return b.lost[method] >= 0
}

// lose makes the next replies to a method be lost.
func (b *bus) lose(method string, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost[method] = count
}

// setCut cuts a host off or connects it again.
func (b *bus) setCut(host string, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut[host] = cut
}

func (b *bus) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = map[string]int{}
}

// changeCalls returns the calls that changes made since the last reset.
func (b *bus) changeCalls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls["Prepare"] + b.calls["Accept"] + b.calls["Learn"]
}

// node is one running host.
type node struct {
	*controller.Controller
	folder *store.Folder
	stop   func()
}

// site is a set of hosts: those named first have a disk.
type site struct {
	t      testing.TB
	g      *WithT
	bus    *bus
	hosts  []string
	disks  map[string]*storetest.FS
	nodes  map[string]*node
	timing controller.Timing
	seed   uint64
	adjust func(*controller.Config) // changes a host's configuration; may be nil
}

var quick = controller.Timing{AttemptTimeout: 500 * time.Millisecond, ReadTimeout: limit, ConfirmInterval: 50 * time.Millisecond}

func newSite(t testing.TB, timing controller.Timing, disks, hosts int) *site {
	return newAdjustedSite(t, timing, disks, hosts, nil)
}

func newAdjustedSite(t testing.TB, timing controller.Timing, disks, hosts int, adjust func(*controller.Config)) *site {
	if p, ok := t.(*testing.T); ok {
		p.Parallel()
	}
	s := &site{
		t: t, g: NewWithT(t), timing: timing,
		bus:   &bus{served: map[string]*served{}, cut: map[string]bool{}, calls: map[string]int{}, lost: map[string]int{}},
		disks: map[string]*storetest.FS{}, nodes: map[string]*node{}, adjust: adjust,
	}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		s.hosts = append(s.hosts, name)
		if i < disks {
			s.disks[name] = storetest.NewFS()
		}
	}
	for _, name := range s.hosts {
		s.start(name)
	}
	t.Cleanup(func() {
		for _, name := range s.hosts {
			s.halt(name)
		}
	})
	return s
}

func (s *site) config(name string) controller.Config {
	s.seed++
	c := controller.Config{
		Host: name, Clock: time.Now, Log: slog.New(slog.DiscardHandler), Timing: s.timing,
		Random: rand.New(rand.NewPCG(s.seed, 1)),
	}
	for i, p := range s.hosts {
		if p != name {
			c.Peers = append(c.Peers, controller.Peer{
				Host: p, Domain: fmt.Sprintf("d%d", i%3), HasDisk: s.disks[p] != nil, Conn: link{s.bus, name, p},
			})
		}
	}
	return c
}

func (s *site) start(name string) {
	s.t.Helper()
	config := s.config(name)
	if s.adjust != nil {
		s.adjust(&config)
	}
	n := &node{}
	if disk := s.disks[name]; disk != nil {
		var err error
		n.folder, err = store.OpenFolder(disk, folder)
		s.g.Expect(err).NotTo(HaveOccurred())
		config.Folder = n.folder
	}
	c, err := controller.NewController(config)
	s.g.Expect(err).NotTo(HaveOccurred())
	n.Controller = c
	own := &served{methods: map[string]grpc.MethodDesc{}}
	c.Register(own)
	s.bus.mu.Lock()
	s.bus.served[name] = own
	s.bus.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	n.stop = func() {
		cancel()
		<-done
	}
	s.nodes[name] = n
}

func (s *site) halt(name string) {
	n := s.nodes[name]
	if n == nil {
		return
	}
	s.bus.mu.Lock()
	delete(s.bus.served, name)
	s.bus.mu.Unlock()
	n.stop()
	if n.folder != nil {
		_ = n.folder.Close()
	}
	delete(s.nodes, name)
}

// crash ends a host; unsynced writes are lost.
func (s *site) crash(name string) {
	disk := s.disks[name]
	s.halt(name)
	if disk != nil {
		s.disks[name] = disk.Crash(0)
	}
}

// restart ends all hosts, starts them with other times and lets them settle.
func (s *site) restart(timing controller.Timing) {
	s.t.Helper()
	for _, name := range s.hosts {
		s.crash(name)
	}
	s.timing = timing
	for _, name := range s.hosts {
		s.start(name)
	}
	for _, n := range s.nodes { // the first hosts found no quorum at their start
		_, _, _, err := n.Read(context.Background())
		s.g.Expect(err).NotTo(HaveOccurred())
	}
	s.settle()
}

// change appends a word unless it is there already, as a command under a
// request id would.
func (s *site) change(name, word string) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := s.nodes[name].Change(ctx, appendWord(word))
	return err
}

// settle waits until every host is at one version with all disks as voters.
func (s *site) settle() uint64 {
	s.t.Helper()
	var version uint64
	s.g.Eventually(func() error {
		version = s.nodes[s.hosts[0]].Version()
		for name, n := range s.nodes {
			status := n.Status()
			if status.Version != version || len(status.Members) != len(s.disks) || status.Age < 0 || status.IsVoter != (s.disks[name] != nil) {
				return fmt.Errorf("%s is not at version %d with all voters: %+v", name, version, status)
			}
		}
		return nil
	}, limit, 5*time.Millisecond).Should(Succeed())
	return version
}
