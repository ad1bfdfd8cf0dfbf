package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// failureLinesPerSecond limits the lines about requests that failed or were
	// answered late.
	failureLinesPerSecond = 400
	// onTimeLinesPerSecond limits the lines about requests answered on time. A
	// sample of these is enough: logging all of them would take a tenth of a host's
	// CPU time.
	onTimeLinesPerSecond = 10
)

// logLimiter limits the rate of log lines about requests. It logs the number of
// omitted lines once a second. It is safe for concurrent use.
type logLimiter struct {
	logger           log.Logger
	failures, onTime atomic.Int64 // lines asked for in this second
	omitted          atomic.Int64 // lines omitted in this second
}

// allow reports whether a line may be written, and counts it. onTime tells whether
// the line is about a request answered on time.
func (l *logLimiter) allow(onTime bool) bool {
	lines, maxLines := &l.failures, int64(failureLinesPerSecond)
	if onTime {
		lines, maxLines = &l.onTime, onTimeLinesPerSecond
	}
	if lines.Add(1) <= maxLines {
		return true
	}
	l.omitted.Add(1)
	return false
}

// run resets the counts every second until ctx ends.
func (l *logLimiter) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.failures.Store(0)
		l.onTime.Store(0)
		if n := l.omitted.Swap(0); n > 0 {
			_ = level.Info(l.logger).Log("event", "request lines left out", "count", n)
		}
	}
}
