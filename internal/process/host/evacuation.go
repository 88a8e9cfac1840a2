package host

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/operatorapi"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/process/spill"
	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

// knownDomains returns the failure domains that the settings name, sorted.
func knownDomains(hostSettings settings.Settings) []string {
	domains := []string{hostSettings.Domain}
	for _, p := range hostSettings.Peers {
		domains = append(domains, p.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// currentEvacuations returns the evacuations in force at this host.
func (h *Host) currentEvacuations() evacuation.Set {
	if set := h.evacuations.Load(); set != nil {
		return *set
	}
	return nil
}

// setEvacuations puts evacuations in force at this host and logs what changed.
func (h *Host) setEvacuations(set evacuation.Set) {
	before := h.currentEvacuations()
	_, ownDomain := set.Find(h.settings.Domain)
	h.loop.SetEvacuated(ownDomain)
	h.evacuations.Store(&set)
	for _, e := range set {
		if old, ok := before.Find(e.Domain); !ok || !old.Since.Equal(e.Since) {
			h.log.Info("An evacuation is in force.", "evacuated", e.Domain, "since", e.Since, "own_domain", e.Domain == h.settings.Domain)
			h.observer.countEvacuation("in_force")
		}
	}
	for _, e := range before {
		if _, ok := set.Find(e.Domain); !ok {
			h.log.Info("An evacuation is no longer in force.", "evacuated", e.Domain, "since", e.Since, "own_domain", e.Domain == h.settings.Domain)
			h.observer.countEvacuation("withdrawn")
		}
	}
	h.observer.setEvacuated(ownDomain)
}

// excludeEvacuated marks the adverts of evacuated domains as unavailable. Their free
// slots may have been stated before the evacuation.
func (h *Host) excludeEvacuated(adverts []spill.Advert) {
	set := h.currentEvacuations()
	for i := range adverts {
		if _, ok := set.Find(adverts[i].Location.Domain); ok {
			adverts[i].Unavailable = true
		}
	}
}

// observeWithheld logs and counts a job that an evacuation keeps from starting.
func (h *Host) observeWithheld(j dispatch.WithheldJob) {
	e, _ := h.currentEvacuations().Find(h.settings.Domain)
	h.log.Info("Starts of a job were withheld because the domain is evacuated.", "job", j.Ticket.Seq, "issuer", j.Ticket.Host,
		"team", j.Team, "tasks", j.Tasks, "age", j.Age, "evacuated_for", time.Since(e.Since).Round(time.Millisecond), "outcome", string(j.Outcome))
	h.observer.countWithheld(j.Outcome)
}

// evacuationObserver logs and counts the evacuations that this host acknowledges.
type evacuationObserver struct {
	operatorapi.Changer
	host *Host
}

// Change implements operatorapi.Changer.
func (o evacuationObserver) Change(ctx context.Context, c control.Command) (control.Answer, error) {
	answer, err := o.Changer.Change(ctx, c)
	if err != nil || !answer.Done() || c.Domain == "" {
		return answer, err
	}
	level, counted := slog.LevelInfo, "acknowledged"
	if c.Force {
		level = slog.LevelWarn // a forced evacuation may leave no domain that gets work
	}
	if c.Action == control.WithdrawEvacuation {
		counted = "withdrawal_acknowledged"
	}
	o.host.log.Log(ctx, level, "A command about an evacuation was acknowledged.", "action", string(c.Action), "evacuated", c.Domain,
		"operator", c.Operator, "request", c.RequestID, "force", c.Force, "answer", answer.Message)
	o.host.observer.countEvacuation(counted)
	return answer, nil
}

// countEvacuation counts an event of an evacuation at this host.
func (o *observer) countEvacuation(event string) {
	o.tagged("event", event).Counter("evacuations").Inc(1)
}

// setEvacuated updates the gauge of whether the host's own domain is evacuated.
func (o *observer) setEvacuated(evacuated bool) {
	value := 0.0
	if evacuated {
		value = 1
	}
	o.metrics.Scope().Gauge("evacuated").Update(value)
}

// countWithheld counts a job that an evacuation keeps from starting.
func (o *observer) countWithheld(outcome dispatch.WithheldOutcome) {
	o.tagged("outcome", string(outcome)).Counter("evacuation_withheld_jobs").Inc(1)
}
