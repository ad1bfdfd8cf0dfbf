package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// KindReports is the kind of message that shares probe results in a failure domain.
const KindReports fleet.Kind = "upstream/reports"

// Settings of the shared probes.
const (
	probeInterval      = 2 * time.Second
	probeTimeout       = time.Second
	maxProbeBodyBytes  = 4 << 10 // longer bodies are truncated
	maxConcurrentSends = 8       // peers to which probe results are sent at the same time
)

// probeResults is the message that shares probe results.
type probeResults struct {
	Results []ProbeResult `cbor:"1,keyasint"`
}

// loadBody is the response body of an upstream's load endpoint.
type loadBody struct {
	InUse *int `json:"inUse"`
}

// RunProbes periodically probes the upstreams assigned to this host and sends the
// results to the other hosts of the failure domain, until ctx ends. Each upstream is
// probed by one host at a time, as long as the hosts agree on which of them are live.
func (d *Dispatcher) RunProbes(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			results := d.probeAll(ctx)
			d.applyProbeResults(results)
			d.shareProbeResults(ctx, results)
		}
	}
}

// chooseProber returns the host that probes an upstream, by rendezvous hashing over
// the live hosts of the failure domain.
func chooseProber(self host.Identity, peers []Peer, upstream string) host.ID {
	best, score := self.ID, hashFraction(string(self.ID), upstream)
	for _, peer := range peers {
		if peer.State != host.StateLive || peer.Identity.FailureDomain != self.FailureDomain {
			continue
		}
		if s := hashFraction(string(peer.Identity.ID), upstream); s > score {
			best, score = peer.Identity.ID, s
		}
	}
	return best
}

func (d *Dispatcher) probeAll(ctx context.Context) []ProbeResult {
	current := d.current()
	if current.source == nil {
		return nil
	}
	peers := d.currentPeers(d.now())
	var results []ProbeResult
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, service := range current.source.Services {
		s := current.services[service.Name]
		if s == nil || (service.HealthPath == "" && service.LoadPath == "") {
			continue
		}
		for _, target := range s.startProbes(d.options.Self, peers, d.now()) {
			running.Go(func() {
				defer s.endProbe(target)
				result := probe(ctx, service, target.upstream, target.transport)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, result)
			})
		}
	}
	running.Wait()
	return results
}

// probeTarget is an upstream to probe, one slot of which is taken by the probe.
type probeTarget struct {
	state     *upstreamState
	upstream  configuration.Upstream
	transport http.RoundTripper
}

// startProbes takes a slot of each upstream that this host should probe now. An
// upstream without a free slot is not probed, as the outcomes of its requests are
// better evidence than a probe.
func (s *serviceDispatcher) startProbes(self host.Identity, peers []Peer, now time.Time) []probeTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []probeTarget
	for _, u := range s.pool.upstreams {
		if chooseProber(self, peers, u.config.Name) != self.ID || u.drained(now) {
			continue
		}
		share := min(s.pool.capacity.Slots(u.config.Name, now), u.config.Slots)
		if u.inUse >= share || s.pool.unreservedSlots(now) <= 0 {
			continue
		}
		u.inUse++
		targets = append(targets, probeTarget{state: u, upstream: u.config, transport: u.transport})
	}
	return targets
}

// endProbe frees the slot of a probe.
func (s *serviceDispatcher) endProbe(target probeTarget) {
	now := s.dispatcher.now()
	s.mu.Lock()
	target.state.inUse--
	assigned := s.dispatchWaiting(now)
	s.mu.Unlock()
	s.deliverPermits(assigned, now)
}

// probe queries the health and load endpoints of one upstream.
func probe(ctx context.Context, service configuration.Service, u configuration.Upstream, transport http.RoundTripper) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := ProbeResult{Upstream: u.Name, Healthy: true, InUse: -1}
	if service.HealthPath != "" {
		_, result.Healthy = fetch(ctx, transport, u, service.HealthPath)
	}
	if service.LoadPath != "" {
		result.InUse = readLoad(ctx, transport, u, service.LoadPath)
	}
	return result
}

func readLoad(ctx context.Context, transport http.RoundTripper, u configuration.Upstream, path string) int {
	body, ok := fetch(ctx, transport, u, path)
	var load loadBody
	if !ok || json.Unmarshal(body, &load) != nil || load.InUse == nil || *load.InUse < 0 {
		return -1
	}
	return *load.InUse
}

func fetch(ctx context.Context, transport http.RoundTripper, u configuration.Upstream, path string) (body []byte, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address.String()+path, nil)
	if err != nil {
		return nil, false
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, false
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxProbeBodyBytes))
	return body, err == nil && response.StatusCode < http.StatusInternalServerError
}

// shareProbeResults sends results to the other live hosts of the failure domain.
func (d *Dispatcher) shareProbeResults(ctx context.Context, results []ProbeResult) {
	if len(results) == 0 || d.options.Caller == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var sending sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentSends)
	for _, peer := range d.currentPeers(d.now()) {
		if peer.State != host.StateLive || peer.Identity.FailureDomain != d.options.Self.FailureDomain {
			continue
		}
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			var reply struct{}
			if d.options.Caller.Call(ctx, peer.Identity.Fleet, KindReports, probeResults{Results: results}, &reply) != nil {
				d.stats.reportsLost.Inc(1)
			}
		})
	}
	sending.Wait()
}

func (d *Dispatcher) receiveProbeResults(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var message probeResults
	if err := decode(&message); err != nil {
		return nil, err
	}
	if from.FailureDomain == d.options.Self.FailureDomain {
		d.applyProbeResults(message.Results)
	}
	return struct{}{}, nil
}

// applyProbeResults applies probe results to the upstreams they name.
func (d *Dispatcher) applyProbeResults(results []ProbeResult) {
	now := d.now()
	byName := make(map[string]ProbeResult, len(results))
	for _, result := range results {
		result.At = now
		byName[result.Upstream] = result
	}
	for _, s := range d.current().services {
		s.mu.Lock()
		s.pool.applyProbeResults(byName, now)
		s.mu.Unlock()
	}
}

func (p *pool) applyProbeResults(byName map[string]ProbeResult, now time.Time) {
	for _, u := range p.upstreams {
		if result, ok := byName[u.config.Name]; ok {
			u.lastProbe = result
			u.health.observeProbe(result.Healthy, p.mayEject(u), now)
		}
	}
}
