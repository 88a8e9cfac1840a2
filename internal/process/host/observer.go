package host

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabifield.example/wasabifield/internal/connection/traffic"
	"wasabifield.example/wasabifield/internal/process/dispatch"
	"wasabifield.example/wasabifield/internal/process/metrics"
	"wasabifield.example/wasabifield/internal/request/job"
)

// connectionKind names the connections that a traffic meter counts. Its text
// is the value of the metric label "link".
type connectionKind string

const (
	peerConnections connectionKind = "peer" // with other entry hosts
	httpConnections connectionKind = "web"  // with callers, targets and operators
)

const sampleInterval = 500 * time.Millisecond // between two updates of the gauges

// attemptBuckets are the bounds of the histogram of attempt durations.
var attemptBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// outcomeNames are the values of the metric label "outcome" of an attempt.
var outcomeNames = map[dispatch.Outcome]string{
	dispatch.Done:           "done",
	dispatch.TaskError:      "task_error",
	dispatch.NotStarted:     "not_started",
	dispatch.OutcomeUnknown: "lost",
}

// observer keeps the metrics of a host.
type observer struct {
	metrics  *metrics.Metrics
	attempts map[dispatch.Outcome]tally.Histogram
}

func newObserver(host, domain string) *observer {
	o := &observer{
		metrics:  metrics.NewMetrics(map[string]string{"host": host, "domain": domain}),
		attempts: make(map[dispatch.Outcome]tally.Histogram),
	}
	for outcome, name := range outcomeNames {
		o.attempts[outcome] = o.tagged("outcome", name).Histogram("attempt", attemptBuckets)
	}
	return o
}

func (o *observer) tagged(name, value string) tally.Scope {
	return o.metrics.Scope().Tagged(map[string]string{name: value})
}

// trafficMeter returns a meter of the bytes on one kind of connection.
func (o *observer) trafficMeter(kind connectionKind) traffic.Meter {
	scope := o.tagged("link", string(kind))
	return traffic.Meter{Sent: scope.Counter("sent_bytes"), Received: scope.Counter("received_bytes")}
}

// instrumentSender returns a Sender that counts the attempts made by next and
// records how long each took, by outcome.
func (o *observer) instrumentSender(next dispatch.Sender) dispatch.Sender {
	return instrumentedSender{next, o}
}

type instrumentedSender struct {
	next     dispatch.Sender
	observer *observer
}

// Send implements dispatch.Sender.
func (s instrumentedSender) Send(ctx context.Context, start dispatch.Start) dispatch.Result {
	startedAt := time.Now()
	result := s.next.Send(ctx, start)
	if h, ok := s.observer.attempts[result.Outcome]; ok {
		h.RecordDuration(time.Since(startedAt))
	}
	return result
}

// countAnswer counts an answer to a submission by outcome and error kind.
func (o *observer) countAnswer(a *job.Answer) {
	tags := map[string]string{"outcome": string(a.Outcome), "kind": ""}
	if a.Error != nil {
		tags["kind"] = a.Error.Kind
	}
	o.metrics.Scope().Tagged(tags).Counter("answers").Inc(1)
}

// instrumentHandler returns a handler that counts the requests that next
// answers, by the pattern that next matched and by HTTP status.
func (o *observer) instrumentHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		observed := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(observed, r)
		tags := map[string]string{"pattern": r.Pattern, "status": strconv.Itoa(observed.status)}
		o.metrics.Scope().Tagged(tags).Counter("requests").Inc(1)
	})
}

// statusWriter records the HTTP status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives an http.ResponseController access to the wrapped writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countOutOfUse counts the targets that are ejected, on trial or on a lost
// worker.
func countOutOfUse(targets []dispatch.Target) int {
	n := 0
	for _, t := range targets {
		if t.UseStatus() != dispatch.InUse {
			n++
		}
	}
	return n
}

// sample updates the gauges every sampleInterval until ctx is cancelled.
func (o *observer) sample(ctx context.Context, loop *dispatch.Loop) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return o.metrics.Close()
		case <-ticker.C:
		}
		scope := o.metrics.Scope()
		metrics.SampleRuntime(scope)
		status, err := loop.Status(ctx)
		if err != nil {
			continue
		}
		scope.Gauge("jobs").Update(float64(status.Jobs))
		scope.Gauge("queued_tasks").Update(float64(status.QueuedTasks))
		scope.Gauge("running_tasks").Update(float64(status.RunningTasks))
		scope.Gauge("stored_answers").Update(float64(status.StoredAnswers))
		scope.Gauge("targets").Update(float64(len(status.Targets)))
		scope.Gauge("targets_out_of_use").Update(float64(countOutOfUse(status.Targets)))
	}
}
