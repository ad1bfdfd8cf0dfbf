package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// Shutdown ends the host gracefully: look-ups stop naming it, then it takes no
// new work, and requests that run are answered whole. Its shares and its
// leadership go back to the failure domain. Requests that have not ended when
// ctx ends are cut, which is reported as a *GraceError.
func (h *Host) Shutdown(ctx context.Context) error {
	_ = level.Info(h.logger).Log("event", "shutdown started", "active", h.front.active.Count())
	h.state.announce(ctx)
	h.front.dispatcher.StopLending()
	h.front.server.Quiesce()
	wait(ctx, h.options.Settings.Shutdown.Notice.Std())
	err := h.front.drain(ctx)
	h.state.awaitNeighbour(ctx)
	h.front.once.handOver(ctx)
	invariant.Check(err != nil || h.front.active.Count()+h.front.inUse() == 0, invariant.GracefulShutdown,
		"%d callers and %d upstream requests were still active", h.front.active.Count(), h.front.inUse())
	h.state.handOver(ctx)
	h.end()
	if err != nil {
		err = &GraceError{Active: h.front.active.Count(), Err: err}
	}
	_ = level.Info(h.logger).Log("event", "shutdown ended", "err", err)
	return err
}

// neighbourWait is how long a leader that stops waits for another host of its
// failure domain to be known: two heartbeats and their way.
const neighbourWait = 2500 * time.Millisecond

// awaitNeighbour waits until another host of the failure domain is live that can
// take over what this leader holds. One that has just started is known only with
// its first heartbeat.
func (s *state) awaitNeighbour(ctx context.Context) {
	if _, leads := s.leaders.Leading(); !leads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, neighbourWait)
	defer cancel()
	for !s.hasNeighbour() {
		if err := wait(ctx, drainPoll); err != nil {
			_ = level.Info(s.host.logger).Log("event", "no other host of the failure domain takes over", "waited", neighbourWait)
			return
		}
	}
}

func (s *state) hasNeighbour() bool {
	return slices.ContainsFunc(s.members.Members(), func(m host.Member) bool {
		return m.State == host.StateLive && m.Identity.FailureDomain == s.host.self.FailureDomain
	})
}

// Kill ends the host at once and cuts what runs, as the end of its process
// would.
func (h *Host) Kill() {
	_ = h.front.server.Close() // cuts all connections
	h.end()
}

// end stops the duties and closes everything that is left.
func (h *Host) end() {
	_ = h.front.server.Close()
	_ = h.admin.http.Close()
	h.group.Stop()
	_ = h.group.Wait() // an early end has been logged by the group
	h.listeners.close()
}

// drain waits for the requests of callers and for relayed ones.
func (f *front) drain(ctx context.Context) error {
	if err := f.server.Shutdown(ctx); err != nil {
		return err
	}
	for f.inUse() > 0 {
		if err := wait(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

const drainPoll = 20 * time.Millisecond

func (f *front) inUse() int {
	sum := 0
	for _, load := range f.dispatcher.Loads() {
		sum += load.InUse
	}
	return sum
}

// wait returns nil after d, or the error of ctx if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
