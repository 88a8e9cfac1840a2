package controller

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/register"
	"wasabifield.example/wasabifield/internal/version/registerpb"
	"wasabifield.example/wasabifield/internal/version/store"
)

// Controller is one host's part of the register.
type Controller struct {
	config     Config
	log        *slog.Logger
	self       register.Member
	copy       *localCopy
	events     chan event
	added      chan Peer
	operations chan *operation
	stopped    chan struct{}
	leaving    atomic.Bool

	mu     sync.Mutex
	byHost map[string]*peerLink // guarded by mu; written by the owner

	// Owned by the goroutine of own.
	links     []*peerLink
	runLink   func(*peerLink)
	state     register.State
	proposer  *register.Proposer
	current   *operation // in progress; nil if none
	started   time.Time  // when current was
	failed    int        // failed attempts of current
	delayed   bool       // the timer repeats an attempt that was outbid
	firstCopy bool       // the first value has just been taken in
	timer     *time.Timer
	survey    survey
	joining   bool // a change that names this disk as a voter is not known to be chosen
}

// event is a message for the owner: a request with the place for its answer,
// or a reply.
type event struct {
	request register.Request
	answer  chan<- answer // takes one answer
	reply   register.Reply
}

// answer is the outcome of a request.
type answer struct {
	reply register.Reply
	err   error
}

// NewController returns a Controller. On a host with a disk it reads the state
// file, or makes one with a new identity if there is none. A damaged file is
// an error that is store.ErrCorrupt and names the file: it must be moved away,
// and the host then joins the voters with a new identity.
func NewController(config Config) (*Controller, error) {
	state, err := loadState(config)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		config:     config,
		log:        config.Log,
		self:       state.Member(),
		copy:       newLocalCopy(),
		byHost:     make(map[string]*peerLink, len(config.Peers)),
		events:     make(chan event, eventRing),
		added:      make(chan Peer, peerRing),
		operations: make(chan *operation, operationRing),
		stopped:    make(chan struct{}),
		state:      state,
		timer:      time.NewTimer(time.Hour),
	}
	for _, p := range config.Peers {
		link := newPeerLink(p, config.Timing.AttemptTimeout)
		c.links = append(c.links, link)
		c.byHost[p.Host] = link
	}
	c.proposer = register.NewProposer(config.Random.Uint64(), c.disks())
	if !state.Learned.IsZero() {
		c.take(state.Learned)
	}
	return c, nil
}

func loadState(config Config) (register.State, error) {
	if config.Folder == nil {
		return register.State{Host: config.Host}, nil
	}
	payload, err := config.Folder.Read(stateName)
	if errors.Is(err, fs.ErrNotExist) {
		state := register.State{Host: config.Host, Identity: config.Random.Uint64() | 1}
		return state, writeState(config.Folder, state)
	}
	if err != nil {
		return register.State{}, err
	}
	state, err := registerpb.UnmarshalState(payload)
	if err != nil {
		return state, fmt.Errorf("%s: %w", config.Folder.Path(stateName), err)
	}
	if state.Host != config.Host {
		return state, fmt.Errorf("%s: belongs to host %s", config.Folder.Path(stateName), state.Host)
	}
	return state, nil
}

func writeState(folder *store.Folder, s register.State) error {
	payload, err := registerpb.MarshalState(s)
	if err != nil {
		return err
	}
	return folder.Write(stateName, payload)
}

// disks returns the hosts with a disk.
func (c *Controller) disks() []string {
	var hosts []string
	if c.config.Folder != nil {
		hosts = append(hosts, c.config.Host)
	}
	for _, l := range c.links {
		if l.HasDisk {
			hosts = append(hosts, l.Host)
		}
	}
	return hosts
}

// AddPeer makes another host known. A host that is known already stays as it
// is. It must not be called after Run has returned.
func (c *Controller) AddPeer(p Peer) {
	select {
	case c.added <- p:
	case <-c.stopped:
	}
}

// link returns the link to a host.
func (c *Controller) link(host string) (*peerLink, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.byHost[host]
	return l, ok
}

// addPeer starts the link to a host that was not known.
func (c *Controller) addPeer(p Peer) {
	if _, ok := c.link(p.Host); ok {
		return
	}
	l := newPeerLink(p, c.config.Timing.AttemptTimeout)
	c.links = append(c.links, l)
	c.mu.Lock()
	c.byHost[p.Host] = l
	c.mu.Unlock()
	c.proposer.SetSeeds(c.disks())
	c.runLink(l)
}

// Run works until ctx is cancelled. It is called once.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	group, ctx := errgroup.WithContext(ctx)
	c.runLink = func(l *peerLink) {
		group.Go(func() error {
			l.run(ctx, c.events)
			return nil
		})
	}
	for _, l := range c.links {
		c.runLink(l)
	}
	group.Go(func() error {
		c.own(ctx)
		return nil
	})
	return group.Wait()
}

// Change replaces the content by what f returns for the current one, nil
// before the first change, and returns the content that is in force after it.
// It returns once that is chosen. f may be called several times, also on a
// content that holds its own result: it must recognise that and return it
// unchanged. It must not
// alter its argument, nor the caller the result. An error of f is
// returned as it is, with the content that it was given, which is chosen.
//
// Other errors are Overloaded, Draining, TooLarge and, when ctx ends first,
// NoQuorum if nothing was changed and Undecided, which wraps ErrUndecided, if
// the change may still take effect.
func (c *Controller) Change(ctx context.Context, f func(current []byte) (next []byte, err error)) ([]byte, error) {
	entry, err := c.operate(ctx, func(v register.Value) (register.Value, error) {
		next, err := f(v.Content)
		if err == nil && len(next) > MaxContentBytes {
			err = failure.New(failure.TooLarge, fmt.Sprintf("the control state has %d bytes, at most %d fit", len(next), MaxContentBytes))
		}
		v.Content = next
		return v, err
	})
	return entry.Value.Content, err
}

// RemoveVoter takes a host's disk out of the voters for good. The host must have
// been stopped: while it runs it has itself added again. Its errors are those
// of Change and register.ErrMembers for the last voter.
func (c *Controller) RemoveVoter(ctx context.Context, host string) error {
	_, err := c.operate(ctx, func(v register.Value) (register.Value, error) {
		return v.WithoutHost(host), nil
	})
	return err
}

// Read returns the current content as confirmed by a quorum. Where none
// answers within the time for reads, it returns the local copy, unconfirmed.
// Age is the time since the content was known to be current; it is negative
// if it never was since the host's start. The error is NoQuorum if there is no
// local copy either.
func (c *Controller) Read(ctx context.Context) (content []byte, confirmed bool, age time.Duration, err error) {
	limited, cancel := context.WithTimeout(ctx, c.config.Timing.ReadTimeout)
	defer cancel()
	begun := c.config.Clock()
	entry, err := c.operate(limited, nil)
	if err == nil {
		return entry.Value.Content, true, c.config.Clock().Sub(begun), nil
	}
	s := c.Status()
	if s.Version == 0 {
		return nil, false, s.Age, err
	}
	return s.Content, false, s.Age, nil
}

// operate runs an operation and waits for its outcome.
func (c *Controller) operate(ctx context.Context, change register.Change) (register.Entry, error) {
	o := newOperation(ctx, change)
	select {
	case c.operations <- o:
	default:
		return register.Entry{}, errBusy
	}
	given := ctx.Done()
	for {
		select {
		case out := <-o.done:
			return out.entry, out.err
		case <-c.stopped:
			return o.outcomeAfterStop()
		case <-given:
			if o.taken.CompareAndSwap(false, true) {
				return register.Entry{}, o.abandoned(false)
			}
			given = nil // the owner knows whether the change may take effect
		}
	}
}

// Status is what the host holds.
type Status struct {
	Version uint64            // of the register; 0 before the first change
	Content []byte            // of that version
	Age     time.Duration     // since it was known to be current; negative if never since the start
	Members []register.Member // the voters
	IsVoter bool              // whether this host's disk is one of them
}

// Status returns the local copy without asking anyone.
func (c *Controller) Status() Status {
	entry, confirmed := c.copy.get()
	s := Status{
		Version: entry.Value.Version,
		Content: entry.Value.Content,
		Members: entry.Value.Members,
		IsVoter: entry.Value.HasMember(c.self),
		Age:     -1,
	}
	if !confirmed.IsZero() {
		s.Age = c.config.Clock().Sub(confirmed)
	}
	return s
}

// Version returns the version of the local copy. Peers compare it.
func (c *Controller) Version() uint64 {
	entry, _ := c.copy.get()
	return entry.Value.Version
}

// Updates passes on each new content. It holds one: if nobody takes it, a
// newer one replaces it.
func (c *Controller) Updates() <-chan []byte { return c.copy.updates }

// CatchUp fetches the newest version from a peer if the peer's version is newer
// than the local copy. Any number of versions is one step.
func (c *Controller) CatchUp(ctx context.Context, peer string, version uint64) error {
	own := c.Version()
	if version <= own {
		return nil
	}
	link, ok := c.link(peer)
	if !ok {
		return failure.New(failure.NotFound, "host "+peer+" is not in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	m, err := link.client.Fetch(ctx, &registerpb.FetchRequest{Version: own})
	if err != nil {
		return failure.Wrap(failure.HolderUnreachable, "controller", err)
	}
	entry := m.GetEntry().Register()
	if entry.IsZero() {
		return nil
	}
	_, err = c.handle(ctx, register.Learn{Entry: entry})
	return err
}

// handle passes a request to the owner and waits for its reply.
func (c *Controller) handle(ctx context.Context, r register.Request) (register.Reply, error) {
	answers := make(chan answer, 1)
	select {
	case c.events <- event{request: r, answer: answers}:
	default:
		return nil, status.Error(codes.ResourceExhausted, "too many messages are waiting")
	}
	select {
	case a := <-answers:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-c.stopped:
		return nil, status.Error(codes.Unavailable, "the host is stopping")
	}
}
