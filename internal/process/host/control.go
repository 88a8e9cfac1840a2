package host

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"time"

	"wasabifield.example/wasabifield/internal/connection/operatorapi"
	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/process/controller"
	"wasabifield.example/wasabifield/internal/process/controlplane"
	"wasabifield.example/wasabifield/internal/process/logging"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/store"
	"wasabifield.example/wasabifield/internal/version/trail"
)

// openDisk opens the data folder and the audit trail, if the host has a disk.
func (h *Host) openDisk() error {
	if h.settings.DataFolder == "" {
		return nil
	}
	folder, err := store.OpenFolder(store.Disk{}, h.settings.DataFolder)
	if err != nil {
		return err
	}
	h.folder = folder
	var cut store.Cut
	h.trail, cut, err = trail.Open(folder)
	if err == nil && cut.Bytes > 0 {
		h.log.Warn("A torn audit entry was cut off.", "offset", cut.Offset, "bytes", cut.Bytes)
	}
	return err
}

// closeDisk closes what openDisk opened.
func (h *Host) closeDisk() {
	if h.folder == nil {
		return
	}
	if h.trail != nil {
		_ = h.trail.Close()
	}
	_ = h.folder.Close()
}

// newPlane returns the control path of this host.
func (h *Host) newPlane() (*controlplane.Plane, error) {
	s := h.settings
	log := logging.For(h.root, "control")
	config := controller.Config{
		Host:   s.Host,
		Folder: h.folder,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Clock:  time.Now,
		Log:    log,
		Timing: controller.DefaultTiming(),
		Order:  rollOrder,
	}
	plane := controlplane.Config{
		Domain:     s.Domain,
		Neighbours: s.Neighbours(),
		AnyDisk:    h.folder != nil,
		Rules:      rulesOf(s),
		Trail:      h.trail,
		Clock:      time.Now,
		Log:        log,
		Force:      h.setBundle,
		Fetch:      h.fetchEntries,
	}
	for _, p := range s.Peers {
		config.Peers = append(config.Peers, controller.Peer{
			Host:   p.Host,
			Domain: p.Domain,
			Disk:   p.Disk,
			Conn:   h.client.Steady(p.Host),
		})
		if p.Disk {
			plane.AnyDisk = true
			plane.Disks = append(plane.Disks, p.Host)
		}
	}
	var err error
	if plane.Controller, err = controller.NewController(config); err != nil {
		return nil, err
	}
	return controlplane.NewPlane(plane), nil
}

// rulesOf returns who may change the control state. The settings are checked,
// so every key is valid.
func rulesOf(s settings.Settings) control.Rules {
	rules := control.Rules{Approvals: s.Approvals}
	for _, o := range s.Operators {
		key, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil {
			continue
		}
		rules.Operators = append(rules.Operators, control.Operator{Name: o.Name, Key: ed25519.PublicKey(key)})
	}
	return rules
}

// rollOrder returns the order of domains that the bundle in force states.
func rollOrder(content []byte) []string {
	state, err := control.Decode(content)
	if err != nil {
		return nil
	}
	v, ok := state.InForce()
	if !ok {
		return nil
	}
	b, err := bundle.Parse([]byte(v.Document))
	if err != nil {
		return nil
	}
	return b.Roll.Order
}

// operatorAPI returns the paths for operators.
func (h *Host) operatorAPI() *operatorapi.API {
	return operatorapi.New(operatorapi.Config{
		Host:     h.settings.Host,
		Rules:    rulesOf(h.settings),
		Changer:  h.plane,
		Trail:    h.plane,
		Reporter: h.recorder,
		Jobs:     h,
		Clock:    time.Now,
		Log:      logging.For(h.root, "operators"),
	})
}

// heed compares the control version in another host's message with this
// host's, and catches up if it is behind.
func (h *Host) heed(ctx context.Context, m *peerpb.ExchangeMessage) {
	if m.GetDomain() == h.settings.Domain {
		report := controlplane.Report{Version: m.GetControlVersion(), Informed: m.GetInformed()}
		h.plane.Hear(m.GetHost(), report)
	}
	if m.GetControlVersion() <= h.plane.Version() || !h.catching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.catching.Store(false)
		h.plane.Catch(ctx, m.GetHost(), m.GetControlVersion())
	}()
}

// AuditEntries implements peer.Backend.
func (h *Host) AuditEntries(ctx context.Context, from uint64) ([][]byte, error) {
	if h.trail == nil {
		return nil, failure.New(failure.NotFound, "this host has no disk")
	}
	entries, err := h.plane.Entries(ctx, from, maxAuditEntries)
	if err != nil {
		return nil, err
	}
	list := make([][]byte, len(entries))
	for i, e := range entries {
		if list[i], err = json.Marshal(e); err != nil {
			return nil, err
		}
	}
	return list, nil
}

const maxAuditEntries = 256 // in one message

func (h *Host) fetchEntries(ctx context.Context, host string, from uint64) ([]control.Entry, error) {
	texts, err := h.client.AuditEntries(ctx, host, from)
	if err != nil {
		return nil, err
	}
	entries := make([]control.Entry, len(texts))
	for i, text := range texts {
		if err := json.Unmarshal(text, &entries[i]); err != nil {
			return nil, err
		}
	}
	return entries, nil
}
