package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// fakeEntry answers each submission with the next function of its script.
type fakeEntry struct {
	script  []func(http.ResponseWriter)
	tickets []string // tickets of the received submissions
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.PathTickets {
		_ = json.NewEncoder(w).Encode(wire.TicketGrant{Ticket: "first"})
		return
	}
	var spec job.Spec
	_ = json.NewDecoder(r.Body).Decode(&spec)
	f.tickets = append(f.tickets, spec.Ticket)
	f.script[len(f.tickets)-1](w)
}

func answer(a job.Answer) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { _ = json.NewEncoder(w).Encode(a) }
}

func dropAnswer(w http.ResponseWriter) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

func refuse(kind string) func(http.ResponseWriter) {
	return answer(job.Answer{Outcome: job.NotRun, NextTicket: "other",
		Error: &job.Error{Kind: kind, JobRan: "no", AttemptRan: "no", RetryAfterMS: new(int64(0))}})
}

func TestTicketIsKeptOverResubmissionsAndRenewedByTheAnswer(t *testing.T) {
	cases := map[string]struct {
		script  []func(http.ResponseWriter)
		tickets []string
	}{
		"lost answer":      {[]func(http.ResponseWriter){dropAnswer, answer(job.Answer{Outcome: job.Complete})}, []string{"first", "first"}},
		"refused for now":  {[]func(http.ResponseWriter){refuse("overloaded"), answer(job.Answer{Outcome: job.Complete})}, []string{"first", "first"}},
		"ticket not known": {[]func(http.ResponseWriter){refuse("ticket_invalid"), answer(job.Answer{Outcome: job.Complete})}, []string{"first", "other"}},
		"renewed": {[]func(http.ResponseWriter){
			answer(job.Answer{Outcome: job.Complete, NextTicket: "second"}), answer(job.Answer{Outcome: job.Complete})}, []string{"first", "second"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fake := &fakeEntry{script: c.script}
			server := httptest.NewServer(fake)
			defer server.Close()
			var log bytes.Buffer
			submitter := caller.NewCaller(caller.CallerConfig{
				Entries:      []string{strings.TrimPrefix(server.URL, "http://")},
				RetryTimeout: 20 * time.Second,
				History:      history.NewWriter(&log),
			})
			for len(fake.tickets) < len(c.tickets) {
				result := submitter.Submit(context.Background(), "j", nil)
				g.Expect(result.Answer.Outcome).To(Equal(job.Complete))
			}
			g.Expect(fake.tickets).To(Equal(c.tickets))
			events, err := history.Read(&log)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(events).To(HaveLen(2 * len(c.tickets)))
		})
	}
}
