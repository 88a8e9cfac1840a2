package intake

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is between two reports, and so between two log lines.
const reportInterval = time.Second

// Report updates the metrics of a limiter's clients, and writes a line when some gave
// way since the last one, until ctx is cancelled. listener names the listener.
func Report(ctx context.Context, limiter *Limiter, scope tally.Scope, log *slog.Logger, listener string) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	scope = scope.Tagged(map[string]string{"listener": listener})
	var last Stats
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		stats := limiter.Stats()
		closed, refused, notAccepted := stats.Closed-last.Closed, stats.Refused-last.Refused, stats.NotAccepted-last.NotAccepted
		last = stats
		scope.Gauge("client_connections").Update(float64(stats.Connections))
		scope.Gauge("client_bytes").Update(float64(stats.Bytes))
		scope.Counter("client_connections_closed").Inc(closed)
		scope.Counter("client_connections_not_accepted").Inc(notAccepted)
		scope.Counter("client_requests_refused").Inc(refused)
		if closed+refused+notAccepted > 0 {
			log.Warn("Clients gave way to others.", "listener", listener, "connections_closed", closed,
				"connections_not_accepted", notAccepted, "requests_refused", refused,
				"connections", stats.Connections, "bytes", stats.Bytes)
		}
	}
}
