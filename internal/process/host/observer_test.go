package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

type lostSender struct{}

func (lostSender) Send(context.Context, dispatch.Start) dispatch.Result {
	return dispatch.Result{Outcome: dispatch.OutcomeUnknown}
}

func TestObserverCountsRequestsAttemptsAndAnswers(t *testing.T) {
	g := NewWithT(t)
	o := newObserver("a1", "north")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /busy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	handler := o.instrumentHandler(mux)
	for _, path := range []string{"/busy", "/busy", "/unknown"} {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	o.instrumentSender(lostSender{}).Send(context.Background(), dispatch.Start{})
	o.countAnswer(job.ErrorAnswer(failure.New(failure.Overloaded, "full")))
	g.Expect(o.metrics.Close()).To(Succeed())
	answer := httptest.NewRecorder()
	o.metrics.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`wasabifield_requests{domain="north",host="a1",pattern="GET /busy",status="503"} 2`,
		`wasabifield_requests{domain="north",host="a1",pattern="",status="404"} 1`,
		`wasabifield_attempt_seconds_count{domain="north",host="a1",outcome="lost"} 1`,
		`wasabifield_answers{domain="north",host="a1",kind="overloaded",outcome="not_run"} 1`,
	} {
		g.Expect(answer.Body.String()).To(ContainSubstring(line + "\n"))
	}
}
