package fleet

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/catalog"
)

// catalogs activates the replicated catalog and replicates new versions of it.
type catalogs struct {
	controller *controller.Controller
	parse      func([]byte) (catalog.Catalog, error)
	log        *slog.Logger
	startedAt  time.Time
	active     atomic.Pointer[catalog.Catalog]
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
	next, err := c.parse(stored.Document)
	if err != nil {
		c.log.Error("The replicated catalog was not put in force.", "version", stored.Version, "error", err)
		return
	}
	if current := c.active.Load(); current != nil && current.Version >= next.Version {
		return
	}
	c.active.Store(&next)
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

// put proposes a document and returns once a version at least as high is replicated.
func (c *catalogs) put(ctx context.Context, document []byte) (uint64, error) {
	next, err := c.parse(document)
	if err != nil {
		return 0, err
	}
	content, err := c.controller.Change(ctx, func(current []byte) ([]byte, error) {
		return catalog.ReplaceIfNewer(current, catalog.Stored{Version: next.Version, Document: document})
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
