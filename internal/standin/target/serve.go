package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/standin/history"
)

const maxPayloadBytes = 8 << 20 // bytes

// serveTask handles POST wire.PathTasks.
func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	header := r.Header.Get(wire.TaskHeader)
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		w.Header().Set(wire.TaskHeader, header)
		refuse(w, http.StatusBadRequest, "the payload was cut short")
		return
	}
	var payload history.Payload
	_ = json.Unmarshal(raw, &payload)
	event := history.Event{Job: payload.Job, Task: taskID(header), Header: header}
	task, refusal := t.reserveSlot(header)
	if refusal == "" && (payload.Refuse || t.config.ServiceTime.Chance(t.config.RefuseRate)) {
		t.releaseSlot()
		t.removeTask(header, task)
		refusal = "scripted"
	}
	if refusal != "" {
		event.Kind, event.Reason = history.Refuse, refusal
		t.record(event)
		w.Header().Set(wire.TaskHeader, header)
		refuse(w, http.StatusTooManyRequests, refusal)
		return
	}
	event.Kind = history.Start
	t.record(event)
	t.simulateRun(w, payload, task.stop)
	event.Kind = history.End
	t.record(event)
	t.releaseSlot()
	if t.removeTask(header, task) {
		w.Header().Set(wire.TaskHeader, header)
		w.Header().Set(wire.RanHeader, "yes")
		http.Error(w, "the task was stopped", http.StatusInternalServerError)
		return
	}
	t.writeAnswer(w, header, payload, raw)
}

// simulateRun waits for the run time of the task or until the task is stopped. It first
// applies the faults that the payload scripts for a running task.
func (t *Target) simulateRun(w http.ResponseWriter, payload history.Payload, stop <-chan struct{}) {
	if payload.DropAfterStart {
		closeConnection(w)
	}
	if payload.Hang {
		select {
		case <-t.leavingStarted:
		case <-stop:
		}
	}
	wait := t.config.ServiceTime.Draw()
	if payload.RunMS != nil {
		wait = time.Duration(*payload.RunMS) * time.Millisecond
	}
	select {
	case <-time.After(wait):
	case <-stop:
	}
}

func (t *Target) writeAnswer(w http.ResponseWriter, header string, payload history.Payload, raw []byte) {
	if payload.DropAfterStart {
		return
	}
	returned := header
	if payload.WrongID || payload.WrongRefusal {
		returned = header + "-other"
	}
	w.Header().Set(wire.TaskHeader, returned)
	if payload.WrongRefusal {
		refuse(w, http.StatusTooManyRequests, "scripted")
		return
	}
	if payload.Fail || t.config.ServiceTime.Chance(t.config.FailRate) {
		w.Header().Set(wire.RanHeader, "yes")
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	output := history.RawOutput{Task: taskID(header), Target: t.config.Name}
	if json.Valid(raw) {
		output.Echo = raw
	}
	body, err := json.Marshal(output)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if payload.Cut {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// refuse answers that the task was not started.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(wire.RanHeader, "no")
	http.Error(w, reason, status)
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// taskID returns the id of the task in the value of wire.TaskHeader.
func taskID(header string) string {
	_, id, _ := strings.Cut(header, "/")
	return id
}
