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

// KindReports is the kind of message that shares load reports in a failure domain.
const KindReports fleet.Kind = "upstream/reports"

// Settings of the shared probes.
const (
	probeInterval     = 2 * time.Second
	probeTimeout      = time.Second
	maxReportBody     = 4 << 10 // bytes
	reportsShareLimit = 8       // peers sent to at the same time
)

// reports is the message that shares probe results.
type reports struct {
	Reports []LoadReport `cbor:"1,keyasint"`
}

// loadBody is the answer of an upstream's load endpoint.
type loadBody struct {
	InUse *int `json:"inUse"`
}

// RunProbes probes the upstreams of the failure domain that fall to this host and
// shares the results with the other hosts of the domain, until ctx ends. Each
// upstream has one prober at a time, as long as the hosts agree on who is live.
func (d *Dispatcher) RunProbes(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			results := d.probeAll(ctx)
			d.takeReports(results)
			d.shareReports(ctx, results)
		}
	}
}

// prober returns the host that probes an upstream: the live host of the domain
// with the highest hash.
func prober(self host.Identity, peers []Peer, upstream string) host.ID {
	best, score := self.ID, spread(string(self.ID), upstream)
	for _, peer := range peers {
		if peer.State != host.StateLive || peer.Identity.FailureDomain != self.FailureDomain {
			continue
		}
		if s := spread(string(peer.Identity.ID), upstream); s > score {
			best, score = peer.Identity.ID, s
		}
	}
	return best
}

func (d *Dispatcher) probeAll(ctx context.Context) []LoadReport {
	current := d.current()
	if current.source == nil {
		return nil
	}
	peers := d.currentPeers(d.now())
	var results []LoadReport
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, service := range current.source.Services {
		l := current.lanes[service.Name]
		if l == nil || (service.HealthPath == "" && service.LoadPath == "") {
			continue
		}
		for _, w := range l.probed(d.options.Self, peers, d.now()) {
			running.Go(func() {
				defer l.endProbe(w)
				report := probe(ctx, service, w.upstream, w.transport)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, report)
			})
		}
	}
	running.Wait()
	return results
}

// probeTarget is a slot that a probe occupies.
type probeTarget struct {
	worker    *worker
	upstream  configuration.Upstream
	transport http.RoundTripper
}

// probed takes a slot at each upstream that this host should probe now. An
// upstream without a free slot is busy with requests that say more than a probe.
func (l *lane) probed(self host.Identity, peers []Peer, now time.Time) []probeTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	var targets []probeTarget
	for _, w := range l.pool.workers {
		if prober(self, peers, w.upstream.Name) != self.ID || w.drained(now) {
			continue
		}
		share := min(l.pool.capacity.Slots(w.upstream.Name, now), w.upstream.Slots)
		if w.inUse >= share || l.pool.spare(now) <= 0 {
			continue
		}
		w.inUse++
		targets = append(targets, probeTarget{worker: w, upstream: w.upstream, transport: w.transport})
	}
	return targets
}

// endProbe frees the slot of a probe.
func (l *lane) endProbe(t probeTarget) {
	now := l.dispatcher.now()
	l.mu.Lock()
	t.worker.inUse--
	assigned := l.pump(now)
	l.mu.Unlock()
	l.hand(assigned, now)
}

// probe asks one upstream for its health and load.
func probe(ctx context.Context, service configuration.Service, u configuration.Upstream, transport http.RoundTripper) LoadReport {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report := LoadReport{Upstream: u.Name, Healthy: true, InUse: -1}
	if service.HealthPath != "" {
		_, report.Healthy = get(ctx, transport, u, service.HealthPath)
	}
	if service.LoadPath != "" {
		report.InUse = readLoad(ctx, transport, u, service.LoadPath)
	}
	return report
}

func readLoad(ctx context.Context, transport http.RoundTripper, u configuration.Upstream, path string) int {
	body, ok := get(ctx, transport, u, path)
	var load loadBody
	if !ok || json.Unmarshal(body, &load) != nil || load.InUse == nil || *load.InUse < 0 {
		return -1
	}
	return *load.InUse
}

func get(ctx context.Context, transport http.RoundTripper, u configuration.Upstream, path string) (body []byte, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address.String()+path, nil)
	if err != nil {
		return nil, false
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, false
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxReportBody))
	return body, err == nil && response.StatusCode < http.StatusInternalServerError
}

// shareReports sends results to the other live hosts of the failure domain.
func (d *Dispatcher) shareReports(ctx context.Context, results []LoadReport) {
	if len(results) == 0 || d.options.Caller == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var sending sync.WaitGroup
	slots := make(chan struct{}, reportsShareLimit)
	for _, peer := range d.currentPeers(d.now()) {
		if peer.State != host.StateLive || peer.Identity.FailureDomain != d.options.Self.FailureDomain {
			continue
		}
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			var reply struct{}
			if d.options.Caller.Call(ctx, peer.Identity.Fleet, KindReports, reports{Reports: results}, &reply) != nil {
				d.stats.reportsLost.Inc(1)
			}
		})
	}
	sending.Wait()
}

func (d *Dispatcher) receiveReports(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var message reports
	if err := decode(&message); err != nil {
		return nil, err
	}
	if from.FailureDomain == d.options.Self.FailureDomain {
		d.takeReports(message.Reports)
	}
	return struct{}{}, nil
}

// takeReports applies load reports to the upstreams they name.
func (d *Dispatcher) takeReports(results []LoadReport) {
	now := d.now()
	byName := make(map[string]LoadReport, len(results))
	for _, report := range results {
		report.At = now
		byName[report.Upstream] = report
	}
	for _, l := range d.current().lanes {
		l.mu.Lock()
		l.pool.takeReports(byName, now)
		l.mu.Unlock()
	}
}

func (p *pool) takeReports(byName map[string]LoadReport, now time.Time) {
	for _, w := range p.workers {
		if report, ok := byName[w.upstream.Name]; ok {
			w.report = report
			w.health.probe(report.Healthy, p.mayEject(w), now)
		}
	}
}
