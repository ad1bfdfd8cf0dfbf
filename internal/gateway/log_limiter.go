package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// linesPerSecond bounds the lines about requests that were not answered, or late.
	linesPerSecond = 400
	// punctualLinesPerSecond bounds those about punctual answers, of which a sample
	// does: their lines would take a tenth of a host's processor time.
	punctualLinesPerSecond = 10
)

// lineBudget bounds the log lines about requests. What is left out is counted and
// told by one line a second.
type lineBudget struct {
	logger             log.Logger
	failures, punctual atomic.Int64 // lines of this second
	leftOut            atomic.Int64
}

// allow reports whether a line may be written.
func (b *lineBudget) allow(punctual bool) bool {
	lines, most := &b.failures, int64(linesPerSecond)
	if punctual {
		lines, most = &b.punctual, punctualLinesPerSecond
	}
	if lines.Add(1) <= most {
		return true
	}
	b.leftOut.Add(1)
	return false
}

// run starts a new budget each second until ctx ends.
func (b *lineBudget) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.failures.Store(0)
		b.punctual.Store(0)
		if n := b.leftOut.Swap(0); n > 0 {
			_ = level.Info(b.logger).Log("event", "request lines left out", "count", n)
		}
	}
}
