package gateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/crashguard"
)

// crashProbeDelays are the delays before each try to connect to an upstream whose
// connection ended. A crashed process listens no more; a restart takes longer.
var crashProbeDelays = [...]time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond}

const (
	// crashProbeTimeout limits one try to connect.
	crashProbeTimeout = 300 * time.Millisecond
	// crashVerdictTTL is how long the result of a probe applies to further requests whose
	// connections to the same process end.
	crashVerdictTTL = 1 * time.Second
	// maxCrashProbes limits the probes in progress.
	maxCrashProbes = 64
)

// crashVerdict says what became of an upstream process whose connection ended.
type crashVerdict string

// Verdicts of a probe.
const (
	verdictCrashed crashVerdict = "crashed" // it refuses connections
	verdictRunning crashVerdict = "running" // it accepts connections, so only a connection ended
	verdictUnknown crashVerdict = "unknown" // it can't be reached
)

// brokenRequest is a request whose connection ended before its response was complete.
type brokenRequest struct {
	fingerprint crashguard.Fingerprint
	account     string
	id          string // of the caller's attempt
}

// crashProber finds out whether upstreams crashed. It is safe for concurrent use.
type crashProber struct {
	probe  func(address string) crashVerdict
	report func(upstream catalog.Upstream, verdict crashVerdict, requests []brokenRequest)

	mu     sync.Mutex // guards probes
	probes map[crashguard.Process]*crashProbe
}

// crashProbe is the probe of one process.
type crashProbe struct {
	upstream catalog.Upstream
	requests []brokenRequest
	verdict  crashVerdict // empty while the probe runs
	ended    boottime.Instant
}

func newCrashProber(probe func(string) crashVerdict, report func(catalog.Upstream, crashVerdict, []brokenRequest)) *crashProber {
	return &crashProber{probe: probe, report: report, probes: map[crashguard.Process]*crashProbe{}}
}

// broken probes the upstream of a request whose connection ended. Requests whose
// connections to the same process end together share one probe.
func (c *crashProber) broken(upstream catalog.Upstream, request brokenRequest) {
	now := boottime.Now()
	process := crashguard.Process{Upstream: upstream.ID, Incarnation: upstream.Incarnation}
	c.mu.Lock()
	for key, p := range c.probes {
		if p.verdict != "" && now.Sub(p.ended) > crashVerdictTTL {
			delete(c.probes, key)
		}
	}
	running := c.probes[process]
	switch {
	case running == nil && len(c.probes) < maxCrashProbes:
		p := &crashProbe{upstream: upstream, requests: []brokenRequest{request}}
		c.probes[process] = p
		c.mu.Unlock()
		go c.run(p)
	case running != nil && running.verdict == "":
		running.requests = append(running.requests, request)
		c.mu.Unlock()
	case running != nil:
		verdict := running.verdict
		c.mu.Unlock()
		c.report(upstream, verdict, []brokenRequest{request})
	default:
		c.mu.Unlock()
		c.report(upstream, verdictUnknown, []brokenRequest{request})
	}
}

// run probes a process until the result is certain or all tries are used.
func (c *crashProber) run(p *crashProbe) {
	verdict := verdictUnknown
	for _, delay := range crashProbeDelays {
		time.Sleep(delay)
		if verdict = c.probe(p.upstream.Address); verdict != verdictUnknown {
			break
		}
	}
	c.mu.Lock()
	p.verdict, p.ended = verdict, boottime.Now()
	requests := p.requests
	c.mu.Unlock()
	c.report(p.upstream, verdict, requests)
}

// probeCrash connects to an upstream to see whether its process still listens.
func (g *Gateway) probeCrash(address string) crashVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	conn, err := g.dialUpstream(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return verdictRunning
	case errors.Is(err, syscall.ECONNREFUSED):
		return verdictCrashed
	default:
		return verdictUnknown
	}
}

// reportCrash counts and logs the result of a probe, with a line for each request whose
// connection ended.
func (g *Gateway) reportCrash(upstream catalog.Upstream, verdict crashVerdict, requests []brokenRequest) {
	for _, request := range requests {
		g.metrics.countCrashVerdict(verdict)
		if g.logLimiter.allow(false) {
			_ = level.Info(g.logger).Log("event", "connection ended", "request", request.id, "fingerprint", request.fingerprint, "account", request.account,
				"upstream", upstream.ID, "service", upstream.Service, "domain", upstream.FailureDomain, "verdict", string(verdict))
		}
	}
}

// fingerprint returns the fingerprint of the request. It must be called before the
// payload is released.
func (x *exchange) fingerprint() crashguard.Fingerprint {
	if x.identified {
		return x.identity
	}
	body, whole := x.payload.Prefix()
	x.identity = crashguard.NewFingerprint(crashguard.Identity{
		Account: x.accountName(), Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Body: body, Partial: !whole,
	})
	x.identified = true
	return x.identity
}

// accountName returns the name of the client account, empty if there is none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// connectionEnded finds out whether an upstream crashed whose connection ended before the
// response was complete.
func (x *exchange) connectionEnded(upstream catalog.Upstream) {
	x.gateway.crashes.broken(upstream, brokenRequest{fingerprint: x.fingerprint(), account: x.accountName(), id: x.call.ID})
}
