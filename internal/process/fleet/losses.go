package fleet

import (
	"context"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/fleetpb"
	"wasabifield.example/wasabifield/internal/process/losses"
	"wasabifield.example/wasabifield/internal/process/scheduler"
)

// A lost target takes along the only record of what crashed it, and so may the host that
// ordered it. Each loss is therefore told to the hosts that may run the task next: those
// that may hold the pool after this host, and the one that the caller sent the job to.

const (
	lossRing            = 1024                   // losses that wait to be reported; a rack has a dozen targets with a few tasks each
	lossBatchDelay      = 20 * time.Millisecond  // losses of one target come together and go in one message
	lossResolveInterval = 100 * time.Millisecond // between looks at what was heard of lost targets
)

// lossReport is a loss to report, with the domain of the lost target.
type lossReport struct {
	loss   losses.Loss
	domain string
}

// reportLoss asks for a loss to be reported to other hosts.
func (n *Node) reportLoss(l losses.Loss, domain string) {
	select {
	case n.lossReports <- lossReport{l, domain}:
	default:
		n.log.Warn("A loss was not reported.", "job", l.Task.Job, "target", l.Life.Target, "reason", "too many losses wait")
	}
}

// reportLosses sends losses to other hosts until ctx is cancelled.
func (n *Node) reportLosses(ctx context.Context) error {
	for {
		batch := collectBatch(ctx, n.lossReports, func() time.Duration { return lossBatchDelay })
		if batch == nil {
			return nil
		}
		now := n.now()
		messages := map[string]*fleetpb.Losses{} // by address
		for _, h := range n.Hosts() {
			for _, r := range batch {
				if !h.Entry || h.Domain != r.domain && h.Domain != n.config.Self.Domain {
					continue
				}
				m := messages[h.Address]
				if m == nil {
					m = &fleetpb.Losses{}
					messages[h.Address] = m
				}
				m.Losses = append(m.Losses, lossMessage(r.loss, now))
			}
		}
		for address, m := range messages {
			n.sendLater(address, func(ctx context.Context, client fleetpb.FleetClient) {
				if _, err := client.ReportLosses(ctx, m); err != nil {
					n.log.Warn("Losses were not reported.", "count", len(m.GetLosses()), "job", m.GetLosses()[0].GetJob(), "peer", address, "error", err)
				}
			})
		}
	}
}

// recordLosses records the losses that another host told of, and returns those that
// were not known.
func (n *Node) recordLosses(messages []*fleetpb.Loss) []losses.Loss {
	now := n.now()
	var added []losses.Loss
	for _, m := range messages {
		if l := lossFrom(m, now); n.losses.Record(l, now) {
			added = append(added, l)
		}
	}
	return added
}

// ReportLosses implements fleetpb.FleetServer.
func (s *service) ReportLosses(_ context.Context, m *fleetpb.Losses) (*fleetpb.Empty, error) {
	s.node.recordLosses(m.GetLosses())
	return &fleetpb.Empty{}, nil
}

// lossMessages returns the losses under the tasks of a job.
func (n *Node) lossMessages(job string, now time.Time) []*fleetpb.Loss {
	var out []*fleetpb.Loss
	for _, l := range n.losses.OfJob(job) {
		out = append(out, lossMessage(l, now))
	}
	return out
}

// resolveLosses finds out what became of lost targets, from what was heard of them since.
func (n *Node) resolveLosses(now time.Time) {
	n.mu.Lock()
	due := now.Sub(n.lossesResolvedAt) >= lossResolveInterval
	if due {
		n.lossesResolvedAt = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	for _, l := range n.losses.Resolve(n.announcements.newest, now) {
		run := scheduler.Run{Job: l.Task.Job, Step: l.Task.Step, Index: l.Task.Index}
		n.log.Info("It is known what became of a lost target.", "job", l.Task.Job, "task", run.TaskID(), "target", l.Life.Target,
			"born", l.Life.Incarnation, "verdict", l.Verdict.String(), "age", now.Sub(l.LostAt))
	}
}

// newest returns the newest incarnation that announced itself under the id or at the
// address of each of the lives, without those of which nothing was heard.
func (t *announcementTable) newest(lives []losses.Life) map[losses.Life]losses.Heard {
	t.mu.Lock()
	defer t.mu.Unlock()
	byAddress := map[string][]losses.Life{}
	for _, l := range lives {
		if !slices.Contains(byAddress[l.Address], l) {
			byAddress[l.Address] = append(byAddress[l.Address], l)
		}
	}
	out := map[losses.Life]losses.Heard{}
	hear := func(l losses.Life, a Announcement) {
		if known, ok := out[l]; !ok || a.Target.Incarnation > known.Incarnation {
			out[l] = losses.Heard{Incarnation: a.Target.Incarnation, At: a.ReceivedAt}
		}
	}
	for _, a := range t.byID {
		for _, l := range byAddress[a.Target.Address] {
			hear(l, a)
		}
	}
	for _, l := range lives {
		if a, ok := t.byID[l.Target]; ok {
			hear(l, a) // a restarted target may have another address
		}
	}
	return out
}

func lossMessage(l losses.Loss, now time.Time) *fleetpb.Loss {
	return &fleetpb.Loss{
		Job: l.Task.Job, Step: uint32(l.Task.Step), Index: uint32(l.Task.Index), Target: l.Life.Target, Address: l.Life.Address,
		Born: l.Life.Incarnation, AgeMs: uint32(max(0, now.Sub(l.LostAt).Milliseconds())), Verdict: uint32(l.Verdict), Started: l.Started,
	}
}

// lossFrom returns the loss that a message reports. A verdict that this release does not
// know counts as unresolved.
func lossFrom(m *fleetpb.Loss, now time.Time) losses.Loss {
	verdict := losses.Verdict(m.GetVerdict())
	if verdict > losses.Crashed {
		verdict = losses.Unresolved
	}
	return losses.Loss{
		Task:    losses.Task{Job: m.GetJob(), Step: int(m.GetStep()), Index: int(m.GetIndex())},
		Life:    losses.Life{Target: m.GetTarget(), Address: m.GetAddress(), Incarnation: m.GetBorn()},
		LostAt:  now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		Verdict: verdict,
		Started: m.GetStarted(),
	}
}
