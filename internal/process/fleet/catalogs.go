package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

// replicatedRegister is the part of *controller.Controller that catalogs uses.
type replicatedRegister interface {
	Change(ctx context.Context, f func(current []byte) (next []byte, err error)) ([]byte, error)
	Read(ctx context.Context) (content []byte, confirmed bool, age time.Duration, err error)
	Status() controller.Status
	Updates() <-chan []byte
}

// catalogs activates the replicated catalog and replicates new versions of it.
type catalogs struct {
	controller replicatedRegister
	parse      func([]byte) (catalog.Catalog, error)
	log        *slog.Logger
	now        func() time.Time
	startedAt  time.Time
	active     atomic.Pointer[catalog.Catalog]
	// applyEvacuations puts the evacuations of a value in force; may be nil.
	applyEvacuations func(evacuation.Set)

	mu        sync.Mutex
	activated chan struct{} // closed and replaced when a catalog becomes active
}

func newCatalogs(r replicatedRegister, parse func([]byte) (catalog.Catalog, error), now func() time.Time, log *slog.Logger) *catalogs {
	return &catalogs{controller: r, parse: parse, log: log, now: now, startedAt: now(), activated: make(chan struct{})}
}

// follow activates each new catalog until ctx is cancelled.
func (c *catalogs) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case content := <-c.controller.Updates():
			c.activate(content)
		}
	}
}

func (c *catalogs) activate(content []byte) {
	stored, err := catalog.DecodeStored(content)
	if err != nil {
		c.log.Error("The replicated catalog was not put in force.", "error", err)
		return
	}
	// Before the catalog: a host with an active catalog knows the evacuations.
	if c.applyEvacuations != nil {
		c.applyEvacuations(stored.Evacuations)
	}
	if stored.Version == 0 {
		return // an evacuation was requested before the first document
	}
	if current := c.active.Load(); current != nil && current.Version >= stored.Version {
		return
	}
	next, err := c.parse(stored.Document)
	if err != nil {
		c.log.Error("The replicated catalog was not put in force.", "version", stored.Version, "error", err)
		return
	}
	if current := c.active.Load(); current != nil && current.Version >= next.Version {
		return
	}
	c.active.Store(&next)
	c.mu.Lock()
	close(c.activated)
	c.activated = make(chan struct{})
	c.mu.Unlock()
	c.log.Info("A catalog is in force.", "version", next.Version, "queues", len(next.Queues))
}

// current returns the active catalog, or NotReady while there is none that may be
// used. A catalog may be used once it was confirmed since the start, or once
// unconfirmedCatalogDelay has passed without a confirmation, as in a domain that is
// cut off.
func (c *catalogs) current(now time.Time) (*catalog.Catalog, error) {
	active := c.active.Load()
	if active == nil {
		return nil, failure.New(failure.NotReady, "no catalog has been received")
	}
	if c.controller.Status().Age < 0 && now.Sub(c.startedAt) < unconfirmedCatalogDelay {
		return nil, failure.New(failure.NotReady, "the catalog has not been confirmed since the start")
	}
	return active, nil
}

// put checks a document, replicates it unless a newer one is, and logs the outcome. It
// returns the version that is replicated.
func (c *catalogs) put(ctx context.Context, document []byte) (uint64, error) {
	startedAt := c.now()
	next, err := c.parse(document)
	if err != nil {
		return 0, err
	}
	inForceBefore, _ := c.activeVersion()
	version, err := c.replicate(ctx, catalog.Stored{Version: next.Version, Document: document})
	level, reason := slog.LevelInfo, ""
	if err != nil {
		level, reason = slog.LevelWarn, err.Error()
	}
	c.log.Log(ctx, level, "A catalog was proposed.", "version", next.Version, "accepted", err == nil, "replicated", version,
		"in_force_before", inForceBefore, "bytes", len(document), "took", c.now().Sub(startedAt), "reason", reason)
	return version, err
}

// replicate proposes a document and returns once a version at least as high is replicated.
// It does not wait for its own proposal once such a version is active here: active
// catalogs are replicated, and an older document changes nothing. Otherwise each of
// several operators' proposals would need a round of disk writes of its own, during
// which the proposals of different hosts outbid each other.
func (c *catalogs) replicate(ctx context.Context, next catalog.Stored) (uint64, error) {
	version, activated := c.activeVersion()
	if version >= next.Version {
		return version, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		version uint64
		err     error
	}
	proposal := make(chan result, 1)
	go func() {
		version, err := c.propose(ctx, next)
		proposal <- result{version, err}
	}()
	for version < next.Version {
		select {
		case r := <-proposal:
			return r.version, r.err
		case <-activated:
			version, activated = c.activeVersion()
		}
	}
	return version, nil
}

// activeVersion returns the version of the active catalog, 0 if there is none, and a
// channel that is closed when the next one becomes active.
func (c *catalogs) activeVersion() (uint64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if active := c.active.Load(); active != nil {
		return active.Version, c.activated
	}
	return 0, c.activated
}

// propose replicates the catalog unless a version at least as high is replicated, and
// returns the version that is.
func (c *catalogs) propose(ctx context.Context, next catalog.Stored) (uint64, error) {
	content, err := c.controller.Change(ctx, func(current []byte) ([]byte, error) {
		return catalog.ReplaceIfNewer(current, next)
	})
	if err != nil {
		return 0, err
	}
	version, err := catalog.VersionOf(content)
	if err != nil {
		return 0, failure.Wrap(failure.Internal, "fleet", err)
	}
	return version, nil
}

// read returns the newest document, confirmed by a quorum.
func (c *catalogs) read(ctx context.Context) (catalog.Stored, error) {
	content, confirmed, _, err := c.controller.Read(ctx)
	if err != nil {
		return catalog.Stored{}, err
	}
	if !confirmed {
		return catalog.Stored{}, failure.New(failure.NoQuorum, "too few hosts with a disk answered")
	}
	stored, err := catalog.DecodeStored(content)
	if err != nil {
		return catalog.Stored{}, failure.Wrap(failure.Internal, "fleet", err)
	}
	if stored.Version == 0 {
		return stored, failure.New(failure.NotReady, "no catalog has been accepted")
	}
	return stored, nil
}
