package hostlink

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"wasabifield.example/wasabifield/internal/process/repeat"
)

const (
	// maxRepeats bounds how often a call is made again because its connection was silent.
	maxRepeats = 4
	// probeTick is the clock of the probes. A call that has waited for one to two ticks
	// without a byte on its connection has the connection probed.
	probeTick = 100 * time.Millisecond
	// timerSlack is how late a timer may fire. A later one shows that this host did not
	// run: the answer may have arrived meanwhile.
	timerSlack = 20 * time.Millisecond
	// An answer may take longestFactor times as long as the longest one before, of which
	// one part in longestMemory is forgotten with each answer.
	longestFactor = 4
	longestMemory = 64
	// resumeWait is how long an answer is awaited then.
	resumeWait = 50 * time.Millisecond
)

// Exchange calls f, which a host answers at once and which may be made twice. If conn is
// found to be silent meanwhile, f is called again with the new connection. After
// maxMissedExchanges consecutive exchanges that exceeded their deadline, the connection is
// replaced.
func (l *Link) Exchange(ctx context.Context, f func(context.Context, *Conn) error) error {
	return l.repeat(func(conn *Conn) error {
		err := l.exchange(ctx, conn, f)
		if !errors.Is(err, ErrSilent) {
			l.recordExchange(conn, err)
		}
		return err
	})
}

// exchange calls f over conn, and tries a new connection if there is no answer in time.
func (l *Link) exchange(ctx context.Context, conn *Conn, f func(context.Context, *Conn) error) error {
	return l.call(ctx, conn, call{}, func(ctx context.Context) error {
		l.timer.RecordRequest()
		stop := l.whenOverdue(ctx, func() { l.tryNew(conn) })
		defer stop()
		sentAt := l.config.Now()
		err := f(ctx, conn)
		l.recordAnswerTime(sentAt, err)
		return err
	})
}

// CallWithProbes calls f and probes conn until f returns. If conn is found to be silent, f's
// context is cancelled and the error is ErrSilent. If a probe is not answered, conn is replaced
// and f's context is cancelled, too. f therefore waits less than twice the link's timeout for a
// frozen host, and as long as ctx allows for a slow answer.
func (l *Link) CallWithProbes(ctx context.Context, conn *Conn, f func(context.Context) error) error {
	return l.call(ctx, conn, call{awaited: true, probed: true}, f)
}

// Repeat calls f, which may be made twice, and probes the connection until f returns. If the
// connection is found to be silent, f is called again with the new one.
func (l *Link) Repeat(ctx context.Context, f func(context.Context, *Conn) error) error {
	return l.repeat(func(conn *Conn) error {
		return l.call(ctx, conn, call{probed: true}, func(ctx context.Context) error { return f(ctx, conn) })
	})
}

// repeat calls f with the current connection, and again while the connection is silent.
func (l *Link) repeat(f func(*Conn) error) error {
	for repeats := 0; ; repeats++ {
		err := f(l.Current())
		if !errors.Is(err, ErrSilent) || repeats == maxRepeats {
			return err
		}
	}
}

// call calls f with a context that ends with the call.
func (l *Link) call(ctx context.Context, conn *Conn, c call, f func(context.Context) error) error {
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	end, err := l.begin(conn, &c)
	if err != nil {
		return err
	}
	defer end()
	err = f(ctx)
	if cause := context.Cause(ctx); err != nil && (cause == ErrSilent || cause == ErrUnanswered) {
		return cause
	}
	return err
}

// answerTimeout returns how long the answer to an exchange or a probe takes at most. The
// timer's memory is short: on a slow link, bursts of a second delay the answers every few
// seconds.
func (l *Link) answerTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minAnswerTimeout, l.timer.Timeout(), min(longestFactor*l.longest, repeat.MaxTimeout))
}

// recordAnswerTime records how long an answer took that is due at once.
func (l *Link) recordAnswerTime(sentAt time.Time, err error) {
	now := l.config.Now()
	switch status.Code(err) {
	case codes.OK:
		took := now.Sub(sentAt)
		l.timer.Observe(took, now)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.longest = max(took, l.longest-l.longest/longestMemory)
	case codes.DeadlineExceeded:
		l.timer.ObserveUnanswered(now.Sub(sentAt), sentAt)
	}
}

// whenOverdue calls f once answerTimeout has passed, unless ctx ends before. A host that did
// not run meanwhile waits a little longer.
func (l *Link) whenOverdue(ctx context.Context, f func()) (stop func() bool) {
	timeout := l.answerTimeout()
	due := l.config.Now().Add(timeout)
	return time.AfterFunc(timeout, func() {
		if l.config.Now().Sub(due) > timerSlack {
			select {
			case <-ctx.Done():
				return
			case <-time.After(resumeWait):
			}
		}
		if ctx.Err() == nil {
			f()
		}
	}).Stop
}

// probeWhileAwaited probes conn while calls wait for their answers and nothing arrives. It
// also probes it once per timeout, which shows the other host that this one waits.
func (l *Link) probeWhileAwaited(conn *Conn) {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	reads, probedAt := conn.reads.Load(), l.config.Now()
	for range ticker.C {
		inProgress, awaited := l.tick(conn)
		if !inProgress {
			return
		}
		now := l.config.Now()
		if awaited && (conn.reads.Load() == reads || now.Sub(probedAt) > l.config.Timeout-2*probeTick) {
			probedAt = now
			l.probe(conn)
		}
		reads = conn.reads.Load()
	}
}

// tick records a tick of the probes' clock. It reports whether calls are in progress for which
// conn is probed, and whether one of them has waited for a whole tick. If none is in progress,
// the probes end.
func (l *Link) tick(conn *Conn) (inProgress, awaited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range conn.calls {
		inProgress = inProgress || c.probed
		awaited = awaited || c.probed && c.ticks > 0
		c.ticks++
	}
	conn.probing = inProgress && !l.closed
	return conn.probing, awaited
}

// probe sends a health check over conn. If it is not answered in time, a new connection is
// tried. If it is not answered at all, the calls that do not wait for longer end and conn is
// replaced.
func (l *Link) probe(conn *Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.Timeout*3/2)
	defer cancel()
	err := l.call(ctx, conn, call{}, func(ctx context.Context) error {
		l.timer.RecordRequest()
		stop := l.whenOverdue(ctx, func() { l.tryNew(conn) })
		defer stop()
		sentAt := l.config.Now()
		_, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
		l.recordAnswerTime(sentAt, err)
		return err
	})
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	l.Replace(conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range conn.calls {
		if c.awaited {
			c.cancel(ErrUnanswered)
		}
	}
}
