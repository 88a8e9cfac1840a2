package host

import (
	"context"
	"encoding/json"
	"time"

	"wasabifield.example/wasabifield/internal/connection/peerpb"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/request/record"
	"wasabifield.example/wasabifield/internal/request/ticket"
)

const handoverTimeout = 5 * time.Second

// handOver passes the records of a drained host to one other host of the
// domain. The next host is tried only after a definite refusal. After a lost
// reply the first may have adopted the records, and a second successor could
// start jobs that the first also starts.
func (h *Host) handOver(ctx context.Context) {
	successors := h.peerHosts.availableHosts(time.Now(), h.settings.Domain)
	if len(successors) == 0 {
		h.log.Warn("No host of the domain is available for the handover of the records.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	handovers, err := h.loop.HandOver(ctx)
	if err != nil {
		h.log.Error("The records could not be collected for the handover.", "error", err)
		return
	}
	request := &peerpb.HandOnRequest{Host: h.settings.Host}
	for _, handover := range handovers {
		request.Legacies = append(request.Legacies, handoverToProto(handover))
	}
	for _, successor := range successors {
		adopted, err := h.peerClient.HandOn(ctx, successor, request)
		h.log.Info("Requested the handover of the records.", "heir", successor, "adopted", adopted, "error", err)
		if adopted || failure.KindOf(err) == failure.AnswerLost {
			return
		}
	}
}

// Adopt implements peer.Backend.
func (h *Host) Adopt(ctx context.Context, r *peerpb.HandOnRequest) bool {
	handovers := make([]dispatch.RecordHandover, len(r.GetLegacies()))
	for i, m := range r.GetLegacies() {
		handovers[i] = handoverFromProto(m)
	}
	err := h.loop.Adopt(ctx, handovers)
	h.log.Info("Received a handover of records.", "from", r.GetHost(), "error", err)
	return err == nil
}

func handoverToProto(handover dispatch.RecordHandover) *peerpb.Legacy {
	message := &peerpb.Legacy{
		Host:        handover.Issuer.Host,
		Incarnation: handover.Issuer.Incarnation,
		Key:         handover.TicketKey,
		LifeMs:      uint64(handover.TicketLife.Milliseconds()),
		HorizonMs:   handover.Snapshot.ExpiryHorizon.UnixMilli(),
	}
	for _, u := range handover.Snapshot.Used {
		message.Used = append(message.Used, &peerpb.UsedChunk{Index: u.Index, Bits: u.Bits, ExpiresMs: u.Expires.UnixMilli()})
	}
	for _, a := range handover.Snapshot.Answers {
		encoded, err := json.Marshal(a.Answer)
		if err != nil {
			continue
		}
		message.Answers = append(message.Answers, &peerpb.StoredAnswer{Seq: a.Seq, Digest: a.Digest, Void: a.Void, Answer: encoded})
	}
	return message
}

// handoverFromProto decodes the records of one incarnation. An answer that cannot
// be decoded is omitted; its ticket stays marked as used.
func handoverFromProto(message *peerpb.Legacy) dispatch.RecordHandover {
	handover := dispatch.RecordHandover{
		Issuer:     ticket.Issuer{Host: message.GetHost(), Incarnation: message.GetIncarnation()},
		TicketKey:  message.GetKey(),
		TicketLife: time.Duration(message.GetLifeMs()) * time.Millisecond,
		Snapshot:   record.Snapshot{ExpiryHorizon: time.UnixMilli(message.GetHorizonMs())},
	}
	for _, u := range message.GetUsed() {
		expires := time.UnixMilli(u.GetExpiresMs())
		handover.Snapshot.Used = append(handover.Snapshot.Used, record.UsedChunk{Index: u.GetIndex(), Bits: u.GetBits(), Expires: expires})
	}
	for _, a := range message.GetAnswers() {
		answer := &job.Answer{}
		if json.Unmarshal(a.GetAnswer(), answer) != nil {
			continue
		}
		handover.Snapshot.Answers = append(handover.Snapshot.Answers, record.StoredAnswer{
			Seq:    a.GetSeq(),
			Digest: a.GetDigest(),
			Void:   a.GetVoid(),
			Answer: answer,
		})
	}
	return handover
}
