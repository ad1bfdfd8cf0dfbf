package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/http1"
)

// While the store does not respond to this host, the registrations of others may expire only because it
// rejects them too. Such hosts are held: they stay known as long as they say themselves that they serve.

const (
	// peerReadinessPath is the HTTP path at which a host tells other hosts whether it serves. Hosts of
	// earlier builds respond with 404, which counts as serving.
	peerReadinessPath = "/host/ready"
	// heldProbeInterval is the time between two questions to a held host. It is that of calls to a store
	// that does not respond; each question costs both hosts about as much as a request for changes.
	heldProbeInterval = time.Second
	// heldProbeTimeout limits one question. It is below heldProbeInterval, so that questions do not pile up.
	heldProbeTimeout = 800 * time.Millisecond
	// heldSilence is how long a held host may leave questions without response before it counts as
	// ended. It covers two lost ones.
	heldSilence = 2500 * time.Millisecond
	// maxHeldProbes limits the questions that are sent at the same time, and the connections for them.
	maxHeldProbes = 16
)

// heldHost is a host whose registration is absent and may have expired only because the store
// rejects it.
type heldHost struct {
	catalog.Host
	heardAt boottime.Instant // when it last said that it serves, or its registration expired
	ended   bool             // it says that it does not serve, does not listen or was silent for too long
}

// holdHosts holds the known hosts while the store does not respond to this one, and ends that when it
// does. The caller holds mu.
func (s *state) holdHosts(now boottime.Instant) {
	if s.storeDoubted() {
		s.hostMembers.Hold(now)
		return
	}
	s.hostMembers.Release(now)
}

// updateHeld brings held in line with the members whose entries are absent. The caller holds mu.
func (s *state) updateHeld(now boottime.Instant) {
	absent := s.hostMembers.Absent()
	maps.DeleteFunc(s.held, func(key string, _ *heldHost) bool {
		_, ok := absent[key]
		return !ok
	})
	for key, host := range absent {
		if s.held[key] == nil {
			s.held[key] = &heldHost{Host: host, heardAt: now}
		}
	}
}

// servingHosts returns the registered hosts without held ones that have ended. The caller holds mu.
func (s *state) servingHosts(now boottime.Instant) []catalog.Host {
	s.updateHeld(now)
	return s.hostMembers.Select(func(key string) bool { return s.held[key] == nil || !s.held[key].ended })
}

// hostsToProbe returns the other held hosts by key, while the store does not respond to this one.
func (s *state) hostsToProbe() map[string]catalog.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeDoubted() {
		return nil
	}
	s.updateHeld(s.clock())
	hosts := map[string]catalog.Host{}
	for key, host := range s.held {
		if host.Name != s.settings.get().Host && host.PeerAddress != "" {
			hosts[key] = host.Host
		}
	}
	return hosts
}

// errNotServing reports that a host responds, but does not serve requests.
var errNotServing = errors.New("the host does not serve")

// recordProbe records the result of a question to a held host, nil if it serves.
func (s *state) recordProbe(key string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, host := s.clock(), s.held[key]
	if host == nil {
		return // it has registered again, or is forgotten
	}
	ended := host.ended
	switch {
	case err == nil:
		host.heardAt, host.ended = now, false
	case errors.Is(err, errNotServing), errors.Is(err, syscall.ECONNREFUSED), now.Sub(host.heardAt) > heldSilence:
		host.ended = true
	}
	if host.ended != ended {
		_ = level.Info(s.logger).Log("event", "held host", "peer", host.Name, "serves", !host.ended, "heard_ms", now.Sub(host.heardAt).Milliseconds(), "err", err)
		s.publish()
	}
}

// heldProber asks held hosts whether they serve.
type heldProber struct{ client *http.Client }

func newHeldProber() *heldProber {
	dialer := &net.Dialer{}
	return &heldProber{&http.Client{
		Timeout:   heldProbeTimeout,
		Transport: http1.NewTransport(&http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: 2 * heldProbeInterval, DisableCompression: true}, dialer.DialContext),
	}}
}

// probe returns nil if a host serves.
func (p *heldProber) probe(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+peerReadinessPath, nil)
	if err != nil {
		return err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, http1.MaxHeadBytes)); err != nil {
		return err
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return errNotServing
	}
	return nil
}

// probeHeldHosts asks held hosts whether they serve, until ctx ends.
func (g *Gateway) probeHeldHosts(ctx context.Context) {
	prober := newHeldProber()
	defer prober.client.CloseIdleConnections()
	every(ctx, heldProbeInterval, func() {
		hosts := g.state.hostsToProbe()
		var probes sync.WaitGroup
		for batch := range slices.Chunk(slices.Sorted(maps.Keys(hosts)), maxHeldProbes) {
			for _, key := range batch {
				probes.Go(func() { g.state.recordProbe(key, prober.probe(ctx, hosts[key].PeerAddress)) })
			}
			probes.Wait()
		}
	})
}

// servePeerReadiness tells another host whether this one serves.
func (g *Gateway) servePeerReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
