package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// Shutdown stops the host gracefully: look-ups stop returning it, then it accepts no
// new requests and completes the active ones. It returns its shares of limits and
// hands over its leadership. Requests that are still active when ctx ends are
// aborted, which is reported as a *GraceError.
func (h *Host) Shutdown(ctx context.Context) error {
	_ = level.Info(h.logger).Log("event", "shutdown started", "active", h.dataPlane.activeRequests.Count())
	h.controlPlane.announceLeaving(ctx)
	h.dataPlane.dispatcher.StopLending()
	h.dataPlane.server.Quiesce()
	sleep(ctx, h.options.Settings.Shutdown.Notice.Std())
	err := h.dataPlane.drain(ctx)
	h.controlPlane.awaitDomainPeer(ctx)
	h.dataPlane.idempotency.handOverIssuedKeys(ctx)
	invariant.Check(err != nil || h.dataPlane.activeRequests.Count()+h.dataPlane.activeUpstreamRequests() == 0, invariant.GracefulShutdown,
		"%d callers and %d upstream requests were still active", h.dataPlane.activeRequests.Count(), h.dataPlane.activeUpstreamRequests())
	h.controlPlane.handOverSharesAndLeadership(ctx)
	h.stop()
	if err != nil {
		err = &GraceError{Active: h.dataPlane.activeRequests.Count(), Err: err}
	}
	_ = level.Info(h.logger).Log("event", "shutdown ended", "err", err)
	return err
}

// domainPeerTimeout is how long a leader that stops waits for another live host of its
// failure domain: two heartbeat intervals and the network delay.
const domainPeerTimeout = 2500 * time.Millisecond

// awaitDomainPeer waits, if this host is the domain leader, until another live host of
// the failure domain is known that can take over its records and leadership. A host
// that has just started becomes known with its first heartbeat.
func (c *controlPlane) awaitDomainPeer(ctx context.Context) {
	if _, leads := c.leadership.Leading(); !leads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, domainPeerTimeout)
	defer cancel()
	for !c.hasDomainPeer() {
		if err := sleep(ctx, drainPollInterval); err != nil {
			_ = level.Info(c.host.logger).Log("event", "no other host of the failure domain takes over", "waited", domainPeerTimeout)
			return
		}
	}
}

// hasDomainPeer reports whether another host of the failure domain is live.
func (c *controlPlane) hasDomainPeer() bool {
	return slices.ContainsFunc(c.members.Members(), func(m host.Member) bool {
		return m.State == host.StateLive && m.Identity.FailureDomain == c.host.self.FailureDomain
	})
}

// Kill stops the host at once and aborts all active requests, as a crash of the process
// would.
func (h *Host) Kill() {
	_ = h.dataPlane.server.Close() // closes all connections
	h.stop()
}

// stop closes the servers, stops the tasks and closes the listeners.
func (h *Host) stop() {
	_ = h.dataPlane.server.Close()
	_ = h.admin.http.Close()
	h.group.Stop()
	_ = h.group.Wait() // the group has logged the error of a task that ended early
	h.listeners.close()
}

// drain waits until the requests of callers and those relayed by other hosts have
// ended. It returns the error of ctx if that ends first.
func (d *dataPlane) drain(ctx context.Context) error {
	if err := d.server.Shutdown(ctx); err != nil {
		return err
	}
	for d.activeUpstreamRequests() > 0 {
		if err := sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// drainPollInterval is the interval of polls during a shutdown.
const drainPollInterval = 20 * time.Millisecond

// activeUpstreamRequests returns the number of requests at upstreams.
func (d *dataPlane) activeUpstreamRequests() int {
	sum := 0
	for _, load := range d.dispatcher.Loads() {
		sum += load.InUse
	}
	return sum
}

// sleep returns nil after d, or the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
