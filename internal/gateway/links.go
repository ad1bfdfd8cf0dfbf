package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/linkhealth"
)

const (
	// linkCheckInterval is the time between two checks whether probes of the links are due.
	linkCheckInterval = 50 * time.Millisecond
	// linkProbeTimeout limits the time to open the connection of a probe.
	linkProbeTimeout = 300 * time.Millisecond
)

// dialUpstream opens a connection to an upstream and records that it did.
func (g *Gateway) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.dial(ctx, network, address)
	if err == nil {
		g.linkConnected(boottime.Now())
	}
	return conn, err
}

// linkConnected records a new connection to an upstream. If this host was cut off, what
// it learned about upstreams meanwhile is dropped.
func (g *Gateway) linkConnected(now boottime.Instant) {
	if g.links.Connected(now) != linkhealth.Restored {
		return
	}
	g.state.pool.RestoreLinks(now)
	_, since := g.links.CutOff()
	g.metrics.countLinkChange("restored")
	_ = level.Warn(g.logger).Log("event", "links restored", "lost_ms", now.Sub(since).Milliseconds())
}

// probeLinks probes the links to upstreams when it is due, until ctx ends.
func (g *Gateway) probeLinks(ctx context.Context) {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for rotation := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.links.ProbeDue(boottime.Now()) {
			rotation++
			go g.probeRound(ctx, probeTargets(g.state.currentUpstreams(), rotation))
		}
	}
}

// probeTargets returns up to linkhealth.ProbeCount upstreams, of different failure domains
// where there are several. rotation varies the choice.
func probeTargets(all []catalog.Upstream, rotation int) []catalog.Upstream {
	var targets, others []catalog.Upstream
	domains := map[string]bool{}
	for i := range all {
		u := all[(i+rotation)%len(all)]
		switch {
		case len(targets) == linkhealth.ProbeCount:
			return targets
		case domains[u.FailureDomain]:
			others = append(others, u)
		default:
			domains[u.FailureDomain] = true
			targets = append(targets, u)
		}
	}
	return append(targets, others[:min(len(others), linkhealth.ProbeCount-len(targets))]...)
}

// probeRound probes the links to some upstreams at once.
func (g *Gateway) probeRound(ctx context.Context, targets []catalog.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, linkProbeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	var reached atomic.Bool
	for _, target := range targets {
		probes.Go(func() {
			conn, err := g.dialUpstream(ctx, "tcp", target.Address)
			if err == nil {
				reached.Store(true)
				_ = conn.Close() // nothing was sent
			}
		})
	}
	probes.Wait()
	if reached.Load() || len(targets) == 0 || g.links.ProbesFailed(boottime.Now()) != linkhealth.Lost {
		return
	}
	g.transports.closeIdle() // requests on them would hang
	g.metrics.countLinkChange("lost")
	_ = level.Warn(g.logger).Log("event", "links lost", "probes", len(targets), "detail", "no upstream can be reached; other hosts send requests")
}
