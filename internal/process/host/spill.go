package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/process/spill"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

// spiller passes jobs to hosts of other failure domains.
type spiller struct {
	host   *Host
	mu     sync.Mutex
	random *rand.Rand
}

// Spill implements dispatch.Spiller. The job is sent to at most one host and at
// most once. The result is nil if the job reached no other host; after any other
// failed call its outcome is unknown.
func (s *spiller) Spill(ctx context.Context, spec *job.Spec) *job.Answer {
	receiver, ok := s.chooseHost(spec)
	if !ok {
		return nil
	}
	body, err := spec.Encode()
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.host.forwardTimeout(spec))
	defer cancel()
	answer, err := s.host.peerClient.Spill(ctx, receiver, body)
	switch {
	case failure.KindOf(err) == failure.HolderUnreachable:
		return nil
	case err != nil:
		return job.ErrorAnswer(failure.New(failure.OutcomeUnknown, err.Error()))
	}
	return answer
}

func (s *spiller) chooseHost(spec *job.Spec) (string, bool) {
	demand := spill.Need{Tasks: len(spec.Tasks)}
	for _, t := range spec.Tasks {
		if t.Accelerator {
			demand.Accelerators++
		}
	}
	now := time.Now()
	origin := spill.Location{Domain: s.host.settings.Domain, Region: s.host.settings.Region}
	s.mu.Lock()
	defer s.mu.Unlock()
	adverts := s.host.peerHosts.capacityAdverts(now)
	s.host.excludeEvacuated(adverts)
	return spill.Choose(now, origin, demand, adverts, s.random)
}

// SubmitSpilled implements peer.Backend. The job runs under a ticket of this
// host and is cancelled when the sender stops waiting.
func (h *Host) SubmitSpilled(ctx context.Context, spec *job.Spec) *job.Answer {
	localSpec := *spec
	localSpec.Ticket = h.minter.Issue(time.Now())
	answer, err := h.loop.SubmitSpilled(ctx, &localSpec)
	if err == nil {
		return answer
	}
	if failure.KindOf(err) == failure.AnswerLost {
		if cancelErr := h.loop.Cancel(context.WithoutCancel(ctx), localSpec.Ticket); cancelErr != nil {
			h.log.Warn("A spilled job could not be cancelled.", "error", cancelErr)
		}
	}
	return job.ErrorAnswerWithoutRecord(err)
}
