package main

import (
	"fmt"
	"net/http"
	"time"
)

// The bounds of a cancel, in the settings of the processes.
const (
	cancelTime = 3000 * time.Millisecond
	stopBound  = 50 * time.Millisecond
	cancelWork = 4000 // milliseconds of each task
)

// playCancel cancels a job of two steps that runs. Without the disruption nobody cancels it.
func playCancel(r *rig, trouble bool) int {
	id, edge := newID(), r.edges[0]
	body := fmt.Sprintf(`{"spec":"2000 %d","best_effort":true,"steps":[{"count":4,"cpu":2000,"mem_mb":64,"estimated_ms":%d},`+
		`{"count":2,"cpu":2000,"mem_mb":64,"estimated_ms":%d,"after":[0]}]}`, cancelWork, cancelWork, cancelWork)
	done := make(chan answer, 1)
	go func() { done <- r.call(http.MethodPost, edge, "/quote/", id, body, 30*time.Second) }()
	time.Sleep(time.Second)
	var cancelledAt time.Duration
	if trouble {
		a := r.call(http.MethodDelete, edge, "/quote/", id, "", 2*time.Second)
		r.record("client", id, fmt.Sprintf("DELETE at %s -> %d %v", edge.name, a.status, a.err))
		if a.status/100 != 2 && a.status != http.StatusGone {
			return held // not acknowledged
		}
		cancelledAt = r.now()
	}
	a := <-done
	r.recordCall(edge, id, a)
	if !trouble {
		if a.status != http.StatusOK {
			return notRun
		}
		return held
	}
	code, running := held, 0
	for _, e := range r.eventsSoFar() {
		if len(e.task) < len(id) || e.task[:len(id)] != id {
			continue
		}
		switch late := e.at - cancelledAt; e.kind {
		case "start":
			running++
			if late > cancelTime {
				code = broken
				r.record("broken", "UNASKED", fmt.Sprintf("task %s starts %.3f s after the cancel was acknowledged", e.task, late.Seconds()))
			}
		case "end":
			running--
			if late > cancelTime+stopBound {
				code = broken
				r.record("broken", "UNASKED", fmt.Sprintf("task %s ran on until %.3f s after the cancel was acknowledged", e.task, late.Seconds()))
			}
		}
	}
	return code
}
