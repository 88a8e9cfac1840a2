package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	crowdConnections = 2000 // of each edge machine; its max_fds is 4,100
	fewConnections   = 20
	crowdWorkMS      = 25_000
	crowdStays       = 40 * time.Second
	crowdComes       = 5 * time.Second
	crowdWatched     = 18 * time.Second
)

// playCrowd sends many jobs of one small task that lasts to each edge machine, each on a connection
// of its own. Ordinary clients then go on.
func playCrowd(r *rig, trouble bool) int {
	connections := fewConnections
	if trouble {
		connections = crowdConnections
	}
	body := jobText(fmt.Sprintf("1 %d", crowdWorkMS), 1, 1, crowdWorkMS)
	r.record("client", "odd", fmt.Sprintf("%d connections to each edge machine, a job of %d bytes on each", connections, len(body)))
	var odd sync.WaitGroup
	for range connections {
		for _, edge := range r.edges {
			odd.Go(func() {
				id := newID()
				a := r.call(http.MethodPost, edge, "/quote/", id, body, crowdStays)
				r.record("odd", id, fmt.Sprintf("%s -> %d %s %v after %.3f s", edge.name, a.status, a.body, a.err, a.took.Seconds()))
			})
		}
		time.Sleep(crowdComes / crowdConnections)
	}
	time.Sleep(time.Second)
	a := r.ordinary(crowdWatched)
	for _, edge := range r.edges {
		r.record("platform", edge.name, "readiness -> "+r.readiness(edge))
	}
	odd.Wait()
	r.record("clients", "ordinary", fmt.Sprintf("%d served, %d refused, %d without an answer", a.served, a.refused, a.none))
	if a.served+a.refused == 0 {
		r.record("broken", "letter 13", "no ordinary caller gets an answer")
		return broken
	}
	return held
}

// readiness returns what the platform's probe of a machine is answered.
func (r *rig) readiness(m *machine) string {
	client := &http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + m.ip + ":" + readyPort + "/wasabifield/ready")
	if err != nil {
		return err.Error()
	}
	_ = answer.Body.Close()
	return answer.Status
}
