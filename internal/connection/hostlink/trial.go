package hostlink

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

// minAnswerTimeout covers the pauses of a busy host and the repetition of a lost packet.
const minAnswerTimeout = 100 * time.Millisecond

// TrialResult is what the trial of a new connection beside the current one showed.
type TrialResult int

// The results of a trial.
const (
	Silent     TrialResult = iota // only the new connection carries answers; it is used from now on
	Late                          // the current connection carried bytes meanwhile; it stays
	Unanswered                    // neither carried any; the current connection stays
)

// String returns the result as in metrics.
func (r TrialResult) String() string { return [...]string{"silent", "late", "unanswered"}[r] }

// Trial describes the trial of a new connection.
type Trial struct {
	Result TrialResult
	Age    time.Duration // of the current connection
	Calls  int           // that wait for their answers over it, without exchanges and probes
	Took   time.Duration
}

// tryNew tries a new connection beside conn, on which a call was not answered in time. conn is
// silent if nothing arrives over it until the host has answered over the new one, which takes
// longer than to answer the call. Then the new one is used and the calls over conn end with
// ErrSilent. There is one trial at a time, and the budget of spurious timeouts bounds the trials
// of connections whose answers are late.
func (l *Link) tryNew(conn *Conn) {
	reads, startedAt := conn.reads.Load(), l.config.Now()
	if !l.beginTrial(conn, reads) {
		return
	}
	newConn, err := l.open()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), l.config.Timeout)
		_, err = healthpb.NewHealthClient(newConn).Check(ctx, &healthpb.HealthCheckRequest{})
		cancel()
	}
	t := Trial{Result: trialResult(err, conn.reads.Load() != reads), Age: startedAt.Sub(conn.openedAt), Took: l.config.Now().Sub(startedAt)}
	l.timer.Settle(t.Result == Late)
	if t.Calls = l.endTrial(conn, newConn, reads, t.Result); l.config.Report != nil {
		l.config.Report(t)
	}
}

// beginTrial reports whether a new connection is to be tried beside conn.
func (l *Link) beginTrial(conn *Conn, reads uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A connection that was never made, or is being made again, is no better than a new one.
	connected := reads > 0 && conn.GetState() == connectivity.Ready
	if l.closed || l.trying || l.conn != conn || !connected || l.triedInVain == reads || !l.timer.TryCharge() {
		return false
	}
	l.trying = true
	return true
}

// trialResult returns the result of a trial from the answer over the new connection and
// whether bytes arrived over the current one.
func trialResult(err error, arrived bool) TrialResult {
	code := status.Code(err)
	switch {
	case arrived:
		return Late
	case code == codes.OK || code == codes.Unimplemented:
		return Silent
	}
	return Unanswered
}

// endTrial uses or closes the new connection and returns the number of calls that
// wait for their answers over conn.
func (l *Link) endTrial(conn, newConn *Conn, reads uint64, result TrialResult) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trying = false
	calls := 0
	for c := range conn.calls {
		if c.probed {
			calls++
		}
	}
	if result == Unanswered {
		l.triedInVain = reads
	}
	if result != Silent || l.closed || l.conn != conn {
		if newConn.ClientConn != nil {
			_ = newConn.Close()
		}
		return calls
	}
	l.use(newConn)
	conn.silent = true
	for c := range conn.calls {
		c.cancel(ErrSilent)
	}
	return calls
}
