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
	dataFolder  = "/data"
	waitTimeout = 120 * time.Second // generous, as no test here asserts speed
)

// bus is an in-memory network between controllers. It counts calls, and can
// disconnect hosts and lose replies.
type bus struct {
	mu            sync.Mutex
	services      map[string]*hostService
	disconnected  map[string]bool
	frozen        map[string]bool // hosts that accept calls and never answer
	repliesToLose map[string]int  // replies that are still to be lost, by method
	calls         map[string]int  // by method
	transit       func() transit  // of the next call; nil for calls without delay
}

// transit is what the network does to one call.
type transit struct {
	delay     time.Duration
	late      time.Duration // if not 0, the caller gives up and the request arrives after this time
	replyLost bool
}

// hostService holds the register service of one host. It implements
// grpc.ServiceRegistrar.
type hostService struct {
	methods map[string]grpc.MethodDesc
	service any
}

func (s *hostService) RegisterService(desc *grpc.ServiceDesc, service any) {
	s.service = service
	for _, m := range desc.Methods {
		s.methods[m.MethodName] = m
	}
}

// link is a connection between two hosts on the bus. It implements
// grpc.ClientConnInterface.
type link struct {
	bus      *bus
	from, to string
}

func (l link) Invoke(ctx context.Context, method string, in, out any, _ ...grpc.CallOption) error {
	if l.bus.transit == nil {
		return l.deliver(ctx, method, in, out)
	}
	t := l.bus.transit()
	if t.late > 0 {
		time.AfterFunc(t.late, func() { _ = l.deliver(context.Background(), method, in, proto.Clone(out.(proto.Message))) })
	}
	select {
	case <-ctx.Done():
	case <-time.After(t.delay):
	}
	if ctx.Err() != nil || t.late > 0 {
		return status.Error(codes.Unavailable, "late")
	}
	if err := l.deliver(ctx, method, in, out); err != nil || !t.replyLost {
		return err
	}
	return status.Error(codes.Unavailable, "the reply was lost")
}

func (l link) deliver(ctx context.Context, method string, in, out any) error {
	target, err := l.bus.route(l, path.Base(method))
	if err != nil {
		return err
	}
	if l.bus.isFrozen(l.to) {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	decode := func(m any) error {
		proto.Merge(m.(proto.Message), in.(proto.Message))
		return nil
	}
	reply, err := target.methods[path.Base(method)].Handler(target.service, ctx, decode, nil)
	if err != nil {
		return err
	}
	if _, err := l.bus.route(link{l.bus, l.to, l.from}, ""); err != nil || l.bus.loseNextReply(path.Base(method)) {
		return status.Error(codes.Unavailable, "the reply was lost")
	}
	proto.Merge(out.(proto.Message), reply.(proto.Message))
	return nil
}

func (link) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("no streams")
}

func (b *bus) route(l link, method string) (*hostService, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.services[l.to]
	if !ok || b.disconnected[l.from] || b.disconnected[l.to] {
		return nil, status.Error(codes.Unavailable, "cut")
	}
	if method != "" {
		b.calls[method]++
	}
	return target, nil
}

func (b *bus) loseNextReply(method string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repliesToLose[method]--
	return b.repliesToLose[method] >= 0
}

// loseReplies discards the next count replies to a method.
func (b *bus) loseReplies(method string, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repliesToLose[method] = count
}

// setDisconnected disconnects a host from all others or reconnects it.
func (b *bus) setDisconnected(host string, disconnected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disconnected[host] = disconnected
}

// freeze makes a host answer no calls any more.
func (b *bus) freeze(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frozen[host] = true
}

func (b *bus) isFrozen(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frozen[host]
}

func (b *bus) resetCalls() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = map[string]int{}
}

// changeCalls returns the number of calls for changes since the last resetCalls.
func (b *bus) changeCalls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls["Prepare"] + b.calls["Accept"] + b.calls["Learn"]
}

// node is a running host.
type node struct {
	*controller.Controller
	folder *store.Folder
	stop   func()
}

// site is a set of hosts of which the first ones have a disk.
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

var fastTiming = controller.Timing{AttemptTimeout: 500 * time.Millisecond, ReadTimeout: waitTimeout, ConfirmInterval: 50 * time.Millisecond}

func newSite(t testing.TB, timing controller.Timing, disks, hosts int) *site {
	return newAdjustedSite(t, timing, disks, hosts, nil)
}

func newAdjustedSite(t testing.TB, timing controller.Timing, disks, hosts int, adjust func(*controller.Config)) *site {
	if p, ok := t.(*testing.T); ok {
		p.Parallel()
	}
	s := newStoppedSite(t, timing, disks, hosts, adjust)
	for _, name := range s.hosts {
		s.start(name)
	}
	t.Cleanup(func() {
		for _, name := range s.hosts {
			s.shutdown(name)
		}
	})
	return s
}

// newStoppedSite returns a site whose hosts are not started.
func newStoppedSite(t testing.TB, timing controller.Timing, disks, hosts int, adjust func(*controller.Config)) *site {
	s := &site{
		t: t, g: NewWithT(t), timing: timing,
		bus:   &bus{services: map[string]*hostService{}, disconnected: map[string]bool{}, frozen: map[string]bool{}, calls: map[string]int{}, repliesToLose: map[string]int{}},
		disks: map[string]*storetest.FS{}, nodes: map[string]*node{}, adjust: adjust,
	}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		s.hosts = append(s.hosts, name)
		if i < disks {
			s.disks[name] = storetest.NewFS()
		}
	}
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
	n, err := s.newNode(name)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.nodes[name] = n
}

// newNode starts a host. Like its process, it fails if its disk can't be used.
func (s *site) newNode(name string) (*node, error) {
	config := s.config(name)
	if s.adjust != nil {
		s.adjust(&config)
	}
	n := &node{}
	if disk := s.disks[name]; disk != nil {
		var err error
		if n.folder, err = store.OpenFolder(disk, dataFolder); err != nil {
			return nil, err
		}
		config.Folder = n.folder
	}
	c, err := controller.NewController(config)
	if err != nil {
		if n.folder != nil {
			_ = n.folder.Close()
		}
		return nil, err
	}
	n.Controller = c
	service := &hostService{methods: map[string]grpc.MethodDesc{}}
	c.Register(service)
	s.bus.mu.Lock()
	s.bus.services[name] = service
	s.bus.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	n.stop = func() {
		s.bus.mu.Lock()
		delete(s.bus.services, name)
		s.bus.mu.Unlock()
		cancel()
		<-done
		if n.folder != nil {
			_ = n.folder.Close()
		}
	}
	return n, nil
}

func (s *site) shutdown(name string) {
	if n := s.nodes[name]; n != nil {
		n.stop()
		delete(s.nodes, name)
	}
}

// crash stops a host and discards its unsynced writes.
func (s *site) crash(name string) {
	disk := s.disks[name]
	s.shutdown(name)
	if disk != nil {
		s.disks[name] = disk.Crash(0)
	}
}

// restartAll crashes all hosts, starts them with other timing and waits until they
// have converged.
func (s *site) restartAll(timing controller.Timing) {
	s.t.Helper()
	for _, name := range s.hosts {
		s.crash(name)
	}
	s.timing = timing
	for _, name := range s.hosts {
		s.start(name)
	}
	for _, n := range s.nodes { // the hosts that started first found no quorum
		_, _, _, err := n.Read(context.Background())
		s.g.Expect(err).NotTo(HaveOccurred())
	}
	s.awaitConvergence()
}

// change appends a word unless the content contains it already, like a command
// with a request id.
func (s *site) change(name, word string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := s.nodes[name].Change(ctx, appendWord(word))
	return err
}

// awaitConvergence waits until all hosts have the same confirmed version, in which
// all disks are voters, and returns that version.
func (s *site) awaitConvergence() uint64 {
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
	}, waitTimeout, 5*time.Millisecond).Should(Succeed())
	return version
}
