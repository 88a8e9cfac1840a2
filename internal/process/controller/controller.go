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
	local      *localCopy
	events     chan event
	addedPeers chan Peer
	operations chan *operation
	urgent     chan *operation // handled before operations
	stopped    chan struct{}
	leaving    atomic.Bool

	mu         sync.Mutex
	linkByHost map[string]*peerLink // guarded by mu; written by the run loop

	// Owned by the goroutine of runLoop.
	links          []*peerLink
	startLink      func(*peerLink)
	state          register.State
	stateSynced    bool // the state that was read at the start is durable
	proposer       *register.Proposer
	current        *operation // in progress; nil if none
	startedAt      time.Time  // when current was started
	failedAttempts int        // failed attempts of current
	yieldUntil     time.Time  // no operation but an urgent one is started before
	backingOff     bool       // attemptTimer will retry an attempt that was outbid
	gotFirstCopy   bool       // the local copy has just received its first value
	attemptTimer   *time.Timer
	survey         survey
	diskByHost     map[string]register.Member // disks that may vote, as last reported
	standbysAsked  int                        // how often a standby was chosen to take this host's vote
	joinPending    bool                       // a change that adds this disk to the voters was started and is not known to be chosen
}

// event is a message for the run loop: either a request of a peer, with the
// channel for its answer, or a peer's reply.
type event struct {
	request register.Request
	answer  chan<- answer // takes one answer
	reply   register.Reply
}

// answer is the result of a request.
type answer struct {
	reply register.Reply
	err   error
}

// NewController returns a Controller. On a host with a disk it reads the state
// file, or creates one with a new identity if there is none. For a corrupt file
// it returns an error that wraps store.ErrCorrupt and names the file. Once an
// operator has moved that file away, the host joins the voters with a new
// identity.
func NewController(config Config) (*Controller, error) {
	state, err := loadState(config)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		config:       config,
		log:          config.Log,
		self:         state.Member(),
		local:        newLocalCopy(),
		diskByHost:   map[string]register.Member{},
		linkByHost:   make(map[string]*peerLink, len(config.Peers)),
		events:       make(chan event, eventRingSize),
		addedPeers:   make(chan Peer, peerRingSize),
		operations:   make(chan *operation, operationRingSize),
		urgent:       make(chan *operation, operationRingSize),
		stopped:      make(chan struct{}),
		state:        state,
		attemptTimer: time.NewTimer(time.Hour),
	}
	for _, p := range config.Peers {
		link := newPeerLink(p, config.Timing.AttemptTimeout)
		c.links = append(c.links, link)
		c.linkByHost[p.Host] = link
	}
	c.proposer = register.NewProposer(config.Random.Uint64(), c.diskHosts())
	if !state.Learned.IsZero() {
		c.applyChosen(state.Learned)
	}
	return c, nil
}

func loadState(config Config) (register.State, error) {
	if config.Folder == nil {
		return register.State{Host: config.Host}, nil
	}
	payload, err := config.Folder.Read(stateFileName)
	if errors.Is(err, fs.ErrNotExist) {
		state := register.State{Host: config.Host, Identity: config.Random.Uint64() | 1}
		return state, writeState(config.Folder, state)
	}
	if err != nil {
		return register.State{}, err
	}
	state, err := registerpb.UnmarshalState(payload)
	if err != nil {
		return state, fmt.Errorf("%s: %w", config.Folder.Path(stateFileName), err)
	}
	if state.Host != config.Host {
		return state, fmt.Errorf("%s: belongs to host %s", config.Folder.Path(stateFileName), state.Host)
	}
	return state, nil
}

func writeState(folder *store.Folder, s register.State) error {
	payload, err := registerpb.MarshalState(s)
	if err != nil {
		return err
	}
	return folder.Write(stateFileName, payload)
}

// diskHosts returns the hosts with a disk.
func (c *Controller) diskHosts() []string {
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

// AddPeer adds a peer; one whose host is known already is ignored. It blocks
// while too many added peers wait for the run loop. It must not be called after
// Run has returned.
func (c *Controller) AddPeer(p Peer) {
	select {
	case c.addedPeers <- p:
	case <-c.stopped:
	}
}

// link returns the link to a host.
func (c *Controller) link(host string) (*peerLink, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.linkByHost[host]
	return l, ok
}

// addPeer starts the link to a peer unless its host is known already.
func (c *Controller) addPeer(p Peer) {
	if _, ok := c.link(p.Host); ok {
		return
	}
	l := newPeerLink(p, c.config.Timing.AttemptTimeout)
	c.links = append(c.links, l)
	c.mu.Lock()
	c.linkByHost[p.Host] = l
	c.mu.Unlock()
	c.proposer.SetSeeds(c.diskHosts())
	c.startLink(l)
}

// Run runs the run loop and the links to the peers until ctx is cancelled. It
// must be called only once.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	group, ctx := errgroup.WithContext(ctx)
	c.startLink = func(l *peerLink) {
		group.Go(func() error {
			l.run(ctx, c.events)
			return nil
		})
	}
	for _, l := range c.links {
		c.startLink(l)
	}
	group.Go(func() error {
		c.runLoop(ctx)
		return nil
	})
	return group.Wait()
}

// Change replaces the content with the result of f for the current content,
// which is nil before the first change. It returns the resulting content once
// that is chosen. f may be called several times, also with a content that
// already includes its own result; it must detect this and return the content
// unchanged. f must not modify its argument, and the caller must not modify the
// result. An error of f is returned unwrapped, together with the chosen content
// that f was called with.
//
// f is not called once ctx has ended. This is checked each time that the change is to
// be proposed, when a quorum has promised the ballot: a host that was suspended then
// cannot put a change in force that its caller has long sent to another host, after
// another change was acknowledged there.
//
// Other errors are Overloaded, Draining and TooLarge. If ctx ends first, the
// error is NoQuorum if nothing was changed, and Undecided, which wraps
// ErrUndecided, if the change may still take effect.
func (c *Controller) Change(ctx context.Context, f func(current []byte) (next []byte, err error)) ([]byte, error) {
	entry, err := c.runOperation(ctx, c.contentChange(ctx, f))
	return entry.Value.Content, err
}

// contentChange returns the change of the register for the argument of Change.
func (c *Controller) contentChange(ctx context.Context, f func(current []byte) (next []byte, err error)) register.Change {
	endsAt := c.endOf(ctx)
	return func(v register.Value) (register.Value, error) {
		if c.hasEnded(ctx, endsAt) {
			return v, failure.Wrap(failure.NoQuorum, "controller", errChangeNoQuorum)
		}
		next, err := f(v.Content)
		if err == nil && len(next) > MaxContentBytes {
			err = failure.New(failure.TooLarge, fmt.Sprintf("the control state has %d bytes, at most %d fit", len(next), MaxContentBytes))
		}
		v.Content = next
		return v, err
	}
}

// endOf returns the end of ctx on the controller's clock, zero if ctx has no deadline. The
// timer of ctx does not count suspensions of the machine.
func (c *Controller) endOf(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return c.config.Clock().Add(time.Until(deadline))
}

// hasEnded reports whether ctx, which ends at endsAt, has ended. The time is compared because
// the timer of ctx may fire late after the process was frozen or suspended.
func (c *Controller) hasEnded(ctx context.Context, endsAt time.Time) bool {
	return ctx.Err() != nil || !endsAt.IsZero() && !c.config.Clock().Before(endsAt)
}

// RemoveVoter removes a host's disk from the voters permanently. The host must
// have been stopped: while it runs, it adds itself again. Errors are those of
// Change, and register.ErrMemberChange for the last voter.
func (c *Controller) RemoveVoter(ctx context.Context, host string) error {
	_, err := c.runOperation(ctx, func(v register.Value) (register.Value, error) {
		return v.WithoutHost(host), nil
	})
	return err
}

// Read returns the current content, confirmed by a quorum. If that fails,
// usually because no quorum replies within Timing.ReadTimeout, it returns the
// content of the local copy, and confirmed is false. age is the time since the
// content was last known to be current, negative if it never was since the
// start of the host. If the local copy is missing or still at version 0, Read
// returns the error of the quorum read: NoQuorum, Overloaded or Draining.
func (c *Controller) Read(ctx context.Context) (content []byte, confirmed bool, age time.Duration, err error) {
	readCtx, cancel := context.WithTimeout(ctx, c.config.Timing.ReadTimeout)
	defer cancel()
	startedAt := c.config.Clock()
	entry, err := c.runOperation(readCtx, nil)
	if err == nil {
		return entry.Value.Content, true, c.config.Clock().Sub(startedAt), nil
	}
	s := c.Status()
	if s.Version == 0 {
		return nil, false, s.Age, err
	}
	return s.Content, false, s.Age, nil
}

// runOperation queues an operation for the run loop and waits for its outcome.
// A nil change makes it a read.
func (c *Controller) runOperation(ctx context.Context, change register.Change) (register.Entry, error) {
	return c.runQueued(newOperation(ctx, change))
}

// runQueued is runOperation for an operation.
func (c *Controller) runQueued(o *operation) (register.Entry, error) {
	queue := c.operations
	if o.urgent {
		queue = c.urgent
	}
	select {
	case queue <- o:
	default:
		return register.Entry{}, errQueueFull
	}
	callerDone := o.ctx.Done()
	for {
		select {
		case out := <-o.done:
			return out.entry, out.err
		case <-c.stopped:
			return o.outcomeAfterStop()
		case <-callerDone:
			if o.claimed.CompareAndSwap(false, true) {
				return register.Entry{}, o.abandonError(false)
			}
			callerDone = nil // only the run loop knows whether the change may take effect
		}
	}
}

// Status describes the host's local copy of the register.
type Status struct {
	Version uint64            // of the register; 0 before the first change
	Content []byte            // of that version
	Age     time.Duration     // since the copy was last known to be current; negative if never since the start
	Members []register.Member // the voters
	IsVoter bool              // whether this host's disk is one of them
}

// Status returns the state of the local copy and sends no messages.
func (c *Controller) Status() Status {
	entry, confirmedAt := c.local.get()
	s := Status{
		Version: entry.Value.Version,
		Content: entry.Value.Content,
		Members: entry.Value.Members,
		IsVoter: entry.Value.HasMember(c.self),
		Age:     -1,
	}
	if !confirmedAt.IsZero() {
		s.Age = c.config.Clock().Sub(confirmedAt)
	}
	return s
}

// Version returns the version of the local copy, which hosts exchange to find
// out who has to catch up.
func (c *Controller) Version() uint64 {
	entry, _ := c.local.get()
	return entry.Value.Version
}

// Updates returns the channel of new contents. Its buffer holds one content; a
// newer one replaces a content that has not been received.
func (c *Controller) Updates() <-chan []byte { return c.local.updates }

// CatchUp fetches the newest value from a peer if the peer's version is newer
// than the local copy. One fetch covers any number of missed versions. The
// error is NotFound for an unknown peer and HolderUnreachable if the fetch
// fails.
func (c *Controller) CatchUp(ctx context.Context, peer string, version uint64) error {
	held := c.Version()
	if version <= held {
		return nil
	}
	link, ok := c.link(peer)
	if !ok {
		return failure.New(failure.NotFound, "host "+peer+" is not in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	m, err := link.client.Fetch(ctx, &registerpb.FetchRequest{Version: held})
	if err != nil {
		return failure.Wrap(failure.HolderUnreachable, "controller", err)
	}
	entry := m.GetEntry().ToRegister()
	if entry.IsZero() {
		return nil
	}
	_, err = c.handleRequest(ctx, register.Learn{Entry: entry})
	return err
}

// handleRequest passes a request to the run loop and waits for its reply.
func (c *Controller) handleRequest(ctx context.Context, r register.Request) (register.Reply, error) {
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
