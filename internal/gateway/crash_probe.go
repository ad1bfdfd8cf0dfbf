package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

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
	verdictUnknown crashVerdict = "unknown" // it can't be reached, or neither can others
)

// brokenRequest is a request whose connection ended before its response was complete.
type brokenRequest struct {
	fingerprint crashguard.Fingerprint
	account     string
	id          string // of the caller's attempt
	trial       bool   // it was sent as a trial
	progress    *requestProgress
}

// requestProgress says what became of a request after a connection of it had ended.
type requestProgress struct {
	settled  atomic.Bool // it is sent to no further upstream
	answered atomic.Bool // an upstream sent a complete response
}

// crashProber finds out whether upstreams crashed. It is safe for concurrent use.
type crashProber struct {
	probe  func(upstream catalog.Upstream) crashVerdict
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

func newCrashProber(probe func(catalog.Upstream) crashVerdict, report func(catalog.Upstream, crashVerdict, []brokenRequest)) *crashProber {
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
		if verdict = c.probe(p.upstream); verdict != verdictUnknown {
			break
		}
	}
	c.mu.Lock()
	p.verdict, p.ended = verdict, boottime.Now()
	requests := p.requests
	c.mu.Unlock()
	c.report(p.upstream, verdict, requests)
}

// maxControlProbes limits the other upstreams that a host connects to, to tell a process
// that refuses connections from links that do.
const maxControlProbes = 3

// probeCrash connects to an upstream to see whether its process still listens.
func (g *Gateway) probeCrash(upstream catalog.Upstream) crashVerdict {
	err := g.tryConnect(upstream.Address)
	switch {
	case err == nil:
		return verdictRunning
	case !errors.Is(err, syscall.ECONNREFUSED):
		return verdictUnknown
	}
	others := slices.DeleteFunc(slices.Clone(g.state.currentUpstreams()), func(u catalog.Upstream) bool { return u.Address == upstream.Address })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), maxControlProbes)] {
		if g.tryConnect(other.Address) == nil {
			return verdictCrashed
		}
	}
	return verdictUnknown
}

// tryConnect opens a connection to an upstream and closes it.
func (g *Gateway) tryConnect(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	conn, err := g.dialUpstream(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return err
}
