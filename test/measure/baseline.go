package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	"peridotrail/internal/entry"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/host"
	"peridotrail/internal/upstream"
)

const (
	baselineRevision = 1
	baselineGrace    = 10 * time.Second
)

// chooser selects one of the usable upstreams of a service.
type chooser func(h *baselineHost, usable []*baselineUpstream) *baselineUpstream

func roundRobin(h *baselineHost, usable []*baselineUpstream) *baselineUpstream {
	return usable[h.rotation.Add(1)%uint64(len(usable))]
}

// leastConnections selects the upstream with the fewest requests of this host in
// flight. Ties go to the next one in rotation.
func leastConnections(h *baselineHost, usable []*baselineUpstream) *baselineUpstream {
	offset := int(h.rotation.Add(1) % uint64(len(usable)))
	best := usable[offset]
	for i := range usable {
		u := usable[(offset+i)%len(usable)]
		if u.inUse.Load() < best.inUse.Load() {
			best = u
		}
	}
	return best
}

// baseline is a fleet whose hosts do not coordinate: the rate of each account is
// split evenly among the hosts, and each host sends requests to all upstreams.
type baseline struct {
	deployment *deployment
	choose     chooser
	inForce    *configuration.InForce

	mu    sync.Mutex // guards hosts
	hosts []*baselineHost
}

func newBaseline(d *deployment, c *configuration.Configuration, choose chooser) (*baseline, error) {
	b := &baseline{deployment: d, choose: choose, inForce: configuration.NewInForce()}
	b.inForce.Offer(configuration.NewSnapshot(baselineRevision, c))
	for _, domain := range d.hosts {
		h, err := b.startHost(domain)
		if err != nil {
			return nil, err
		}
		b.hosts = append(b.hosts, h)
	}
	return b, nil
}

func (b *baseline) apply(c *configuration.Configuration) {
	b.inForce.Offer(configuration.NewSnapshot(b.inForce.Revision()+1, c))
}

// lookup returns the hosts of the group's failure domain, then those of its region,
// then the others. Groups of callers are spread evenly over the hosts of their domain.
func (b *baseline) lookup(_ context.Context, group callerGroup, _ string) []netip.AddrPort {
	domain := group.domain
	b.mu.Lock()
	defer b.mu.Unlock()
	var sameDomain, sameRegion, otherRegions []netip.AddrPort
	for _, h := range b.hosts {
		switch {
		case h.domain == domain:
			sameDomain = append(sameDomain, h.address)
		case b.deployment.regions[h.domain] == b.deployment.regions[domain]:
			sameRegion = append(sameRegion, h.address)
		default:
			otherRegions = append(otherRegions, h.address)
		}
	}
	if len(sameDomain) > 0 {
		first := group.index % len(sameDomain)
		sameDomain = append(sameDomain[first:len(sameDomain):len(sameDomain)], sameDomain[:first]...)
	}
	return append(append(sameDomain, sameRegion...), otherRegions...)
}

func (b *baseline) kill(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.hosts[i].server.Close()
}

func (b *baseline) restart(i int) {
	b.mu.Lock()
	old := b.hosts[i]
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), baselineGrace)
	defer cancel()
	_ = old.server.Shutdown(ctx) // callers count the aborted requests
	started, err := b.startHost(old.domain)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[i] = started
}

func (b *baseline) stop() {
	for _, h := range b.hosts {
		_ = h.server.Close()
	}
}

// baselineHost is one entry host of a baseline.
type baselineHost struct {
	fleet    *baseline
	domain   string
	address  netip.AddrPort
	server   *entry.Server
	rotation atomic.Uint64 // requests dispatched so far
	limiters map[string]*rate.Limiter
	services map[string][]*baselineUpstream
}

// baselineUpstream is an upstream as one baseline host uses it.
type baselineUpstream struct {
	upstream  configuration.Upstream
	transport http.RoundTripper
	inUse     atomic.Int64 // requests of this host in flight
}

func (b *baseline) startHost(domain string) (*baselineHost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &baselineHost{
		fleet: b, domain: domain,
		address:  listener.Addr().(*net.TCPAddr).AddrPort(),
		limiters: map[string]*rate.Limiter{},
		services: map[string][]*baselineUpstream{},
	}
	snapshot := b.inForce.Current()
	hostCount := float64(len(b.deployment.hosts))
	for _, a := range snapshot.Configuration.ClientAccounts {
		h.limiters[a.Name] = rate.NewLimiter(rate.Limit(a.Rate/hostCount), max(1, int(float64(a.Burst)/hostCount)))
	}
	for _, u := range snapshot.Configuration.Upstreams {
		h.services[u.Service] = append(h.services[u.Service], h.newUpstream(u))
	}
	handler := entry.New(entry.Options{
		Self:       host.Identity{ID: host.ID(h.address.String()), FailureDomain: domain},
		Policy:     entry.SnapshotPolicy(b.inForce.Current),
		Active:     clientaccount.NewActiveRequests(),
		Admitter:   h,
		Dispatcher: entry.DispatcherFunc(h.acquire),
	})
	h.server = entry.NewServer(handler)
	go func() { _ = h.server.Serve(listener) }() // ends with Close or Shutdown
	return h, nil
}

func (h *baselineHost) newUpstream(u configuration.Upstream) *baselineUpstream {
	connectionLimit := func() int { return max(1, u.Connections/len(h.fleet.deployment.hosts)) }
	delay := h.fleet.deployment.delay(h.domain, u.FailureDomain)
	return &baselineUpstream{upstream: u, transport: &delayedTransport{next: forward.NewTransport(connectionLimit), delay: delay}}
}

// Admit implements entry.Admitter.
func (h *baselineHost) Admit(_ context.Context, account string) error {
	if h.limiters[account].Allow() {
		return nil
	}
	return &baselineRateError{account: account}
}

// acquire selects an upstream for a request. It never waits.
func (h *baselineHost) acquire(_ context.Context, work upstream.Work) (entry.Permit, error) {
	usable := h.usable(work)
	if len(usable) == 0 {
		return nil, &upstream.RefusedError{Reason: upstream.ReasonNoUpstream, Service: work.Service}
	}
	chosen := h.fleet.choose(h, usable)
	chosen.inUse.Add(1)
	return &baselinePermit{upstream: chosen}, nil
}

// usable returns the upstreams of the service that are neither drained nor
// excluded for this request.
func (h *baselineHost) usable(work upstream.Work) []*baselineUpstream {
	excluded := map[string]bool{}
	for _, name := range work.Excluded {
		excluded[name] = true
	}
	for _, drain := range h.fleet.inForce.Current().Configuration.Drains {
		excluded[drain.Target] = true
	}
	var usable []*baselineUpstream
	for _, u := range h.services[work.Service] {
		if !excluded[u.upstream.Name] {
			usable = append(usable, u)
		}
	}
	return usable
}

// baselinePermit implements entry.Permit.
type baselinePermit struct {
	upstream *baselineUpstream
}

// Target implements entry.Permit.
func (p *baselinePermit) Target() upstream.Target {
	return upstream.Target{Upstream: p.upstream.upstream.Name, Address: p.upstream.upstream.Address}
}

// Transport implements entry.Permit.
func (p *baselinePermit) Transport() http.RoundTripper { return p.upstream.transport }

// Done implements entry.Permit.
func (p *baselinePermit) Done(upstream.Outcome) { p.upstream.inUse.Add(-1) }

// baselineRateError reports that a request exceeded the host's share of a rate.
type baselineRateError struct {
	account string
}

// Error implements error.
func (e *baselineRateError) Error() string {
	return "rate of client account " + e.account + " exceeded"
}

// After implements entry.RateError.
func (e *baselineRateError) After() time.Duration { return time.Second }

// delayedTransport adds the network delay to an upstream, in both directions.
type delayedTransport struct {
	next  http.RoundTripper
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *delayedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(t.delay)
	response, err := t.next.RoundTrip(request)
	time.Sleep(t.delay)
	return response, err
}
