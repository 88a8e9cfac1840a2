package host

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"log/slog"
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

// openDataFolder opens the data folder and the audit trail if the host has a
// disk. A partly written last entry of the trail is truncated.
func (h *Host) openDataFolder() error {
	if h.settings.DataFolder == "" {
		return nil
	}
	folder, err := store.OpenFolder(store.OSFS{}, h.settings.DataFolder)
	if err != nil {
		return err
	}
	h.dataFolder = folder
	var truncation store.Truncation
	h.auditTrail, truncation, err = trail.Open(folder)
	if err == nil && truncation.Bytes > 0 {
		h.log.Warn("A partly written audit entry was truncated.", "offset", truncation.Offset, "bytes", truncation.Bytes)
	}
	return err
}

// closeDataFolder closes the audit trail and the data folder, if open.
func (h *Host) closeDataFolder() {
	if h.dataFolder == nil {
		return
	}
	if h.auditTrail != nil {
		_ = h.auditTrail.Close()
	}
	_ = h.dataFolder.Close()
}

// initControlPlane creates the control plane of this host: its member of the
// replicated register, the control state and the audit trail.
func (h *Host) initControlPlane() error {
	log := logging.For(h.rootLog, "control")
	register, err := h.newController(log)
	if err != nil {
		return err
	}
	diskHosts := h.otherDiskHosts()
	h.controlPlane = controlplane.NewPlane(controlplane.Config{
		Domain:       h.settings.Domain,
		DomainPeers:  h.settings.DomainPeers(),
		DiskHosts:    diskHosts,
		AnyDisk:      h.dataFolder != nil || len(diskHosts) > 0,
		Rules:        controlRules(h.settings),
		Controller:   register,
		Trail:        h.auditTrail,
		Clock:        time.Now,
		Log:          log,
		Activate:     h.setBundle,
		FetchEntries: h.fetchAuditEntries,

		SetEvacuations: h.setEvacuations,
	})
	return nil
}

// otherDiskHosts returns the names of the other hosts with a disk.
func (h *Host) otherDiskHosts() []string {
	var names []string
	for _, p := range h.settings.Peers {
		if p.HasDisk {
			names = append(names, p.Host)
		}
	}
	return names
}

// newController returns this host's member of the replicated register that
// stores the control state.
func (h *Host) newController(log *slog.Logger) (*controller.Controller, error) {
	config := controller.Config{
		Host:      h.settings.Host,
		Folder:    h.dataFolder,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Clock:     time.Now,
		Log:       log,
		Timing:    controller.DefaultTiming(),
		PushOrder: rolloutOrder,
	}
	for _, p := range h.settings.Peers {
		config.Peers = append(config.Peers, controller.Peer{
			Host:    p.Host,
			Domain:  p.Domain,
			HasDisk: p.HasDisk,
			Conn:    h.peerClient.ServiceConn(p.Host),
		})
	}
	return controller.NewController(config)
}

// controlRules returns the operators who may change the control state, the number
// of approvals and the known failure domains. The settings were checked when they were loaded, so
// every key is valid.
func controlRules(hostSettings settings.Settings) control.Rules {
	rules := control.Rules{RequiredApprovals: hostSettings.RequiredApprovals, Domains: knownDomains(hostSettings)}
	for _, o := range hostSettings.Operators {
		key, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil {
			continue
		}
		rules.Operators = append(rules.Operators, control.Operator{Name: o.Name, Key: ed25519.PublicKey(key)})
	}
	return rules
}

// rolloutOrder returns the order of domains in which the bundle in force is
// rolled out, nil if the control state holds no valid bundle.
func rolloutOrder(content []byte) []string {
	state, err := control.Decode(content)
	if err != nil {
		return nil
	}
	v, ok := state.AcceptedVersion()
	if !ok {
		return nil
	}
	b, err := bundle.Parse([]byte(v.Document))
	if err != nil {
		return nil
	}
	return b.Rollout.Order
}

// operatorAPI returns the HTTP API for operators.
func (h *Host) operatorAPI() *operatorapi.API {
	return operatorapi.New(operatorapi.Config{
		Host:     h.settings.Host,
		Rules:    controlRules(h.settings),
		Changer:  evacuationObserver{h.controlPlane, h},
		Trail:    h.controlPlane,
		Reporter: h.recorder,
		Jobs:     h,
		Clock:    time.Now,
		Log:      logging.For(h.rootLog, "operators"),
	})
}

// compareControlVersion compares the control version in another host's message
// with this host's and, if this host is behind, fetches the newer control state
// in the background. At most one fetch runs at a time.
func (h *Host) compareControlVersion(ctx context.Context, m *peerpb.ExchangeMessage) {
	if m.GetDomain() == h.settings.Domain {
		report := controlplane.Report{Version: m.GetControlVersion(), CaughtUp: m.GetInformed()}
		h.controlPlane.RecordReport(m.GetHost(), report)
	}
	if m.GetControlVersion() <= h.controlPlane.Version() || !h.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.catchingUp.Store(false)
		h.controlPlane.CatchUp(ctx, m.GetHost(), m.GetControlVersion())
	}()
}

// AuditEntries implements peer.Backend.
func (h *Host) AuditEntries(ctx context.Context, from uint64) ([][]byte, error) {
	if h.auditTrail == nil {
		return nil, failure.New(failure.NotFound, "this host has no disk")
	}
	entries, err := h.controlPlane.Entries(ctx, from, maxAuditEntries)
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

const maxAuditEntries = 256 // in one message between hosts

func (h *Host) fetchAuditEntries(ctx context.Context, host string, from uint64) ([]control.Entry, error) {
	texts, err := h.peerClient.AuditEntries(ctx, host, from)
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
