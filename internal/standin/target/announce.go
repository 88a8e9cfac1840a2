package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

const (
	announceTimeout    = time.Second
	announceRetryDelay = 200 * time.Millisecond // before the next attempt if no entry host answered
)

// announceClient keeps one connection for each target of the process, like targets in
// separate processes.
var announceClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// renewLease announces the target periodically until ctx ends.
func (t *Target) renewLease(ctx context.Context) {
	for {
		wait := announceRetryDelay
		if !t.hasStoppedRenewing() {
			if lease, err := t.announce(ctx, false); err == nil {
				wait = time.Duration(lease.RenewAfterMS) * time.Millisecond
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (t *Target) hasStoppedRenewing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewalStopped
}

// announce sends an announcement to the entry hosts in order until one grants a lease. If
// none does, it returns the last error.
func (t *Target) announce(ctx context.Context, leaving bool) (wire.Lease, error) {
	body, err := json.Marshal(t.announcement(leaving))
	if err != nil {
		return wire.Lease{}, err
	}
	lastErr := fmt.Errorf("no entry host is given")
	for _, entry := range t.config.Entries {
		lease, err := postAnnouncement(ctx, "http://"+entry+wire.PathTargets, body)
		if err == nil {
			t.recordLease(lease)
			return lease, nil
		}
		lastErr = err
	}
	return wire.Lease{}, lastErr
}

func (t *Target) recordLease(lease wire.Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaseExpiresAt = time.Now().Add(time.Duration(lease.LeaseMS) * time.Millisecond)
}

func (t *Target) announcement(leaving bool) wire.Announcement {
	return wire.Announcement{
		Target:       t.config.Name,
		Incarnation:  t.config.Incarnation,
		Address:      t.announcedAddress(),
		Domain:       t.config.Domain,
		Rack:         t.config.Rack,
		Worker:       t.config.Worker,
		Slots:        t.config.Slots,
		Connections:  t.config.Connections,
		Accelerators: t.config.Accelerators,
		Leaving:      leaving,
	}
}

func postAnnouncement(ctx context.Context, url string, body []byte) (wire.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return wire.Lease{}, err
	}
	response, err := announceClient.Do(request)
	if err != nil {
		return wire.Lease{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wire.Lease{}, fmt.Errorf("announcement: answered %s", response.Status)
	}
	var lease wire.Lease
	if err := json.NewDecoder(response.Body).Decode(&lease); err != nil {
		return wire.Lease{}, err
	}
	return lease, nil
}
