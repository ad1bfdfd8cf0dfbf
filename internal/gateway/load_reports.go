package gateway

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/loadreport"
	"peridotrail/internal/placement"
)

// loadPool implements loadreport.Pool with the pool of upstreams: it provides this
// host's request counts and stores those that other hosts report.
type loadPool struct {
	pool  *placement.Pool
	state *state
}

// loadHash returns the hash that identifies an upstream in a load report.
func loadHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Counts implements loadreport.Pool.
func (l *loadPool) Counts() []loadreport.Count {
	own := l.pool.InflightCounts()
	counts := make([]loadreport.Count, 0, len(own))
	for id, n := range own {
		counts = append(counts, loadreport.Count{Upstream: loadHash(id), Requests: uint16(min(n, 1<<16-1))})
	}
	return counts
}

// SetPeerCounts implements loadreport.Pool.
func (l *loadPool) SetPeerCounts(host netip.AddrPort, counts []loadreport.Count, validFor time.Duration) {
	names := l.state.upstreamNames.Load()
	byID := make(map[string]int, len(counts))
	for _, c := range counts {
		if id, ok := (*names)[c.Upstream]; ok {
			byID[id] = int(c.Requests)
		}
	}
	l.pool.SetPeerInflightCounts(host.String(), byID, validFor, boottime.Now())
}

// TakeSamples implements loadreport.Pool.
func (l *loadPool) TakeSamples() []loadreport.Sample {
	loads := l.pool.TakeLoads()
	samples := make([]loadreport.Sample, 0, len(loads))
	for id, load := range loads {
		samples = append(samples, loadreport.Sample{
			Upstream: loadHash(id), Running: saturate(load.Running), Waiting: saturate(load.Waiting), Slots: saturate(load.Slots),
			Slowdown: saturate(int(load.Slowdown * 100)),
		})
	}
	return samples
}

// saturate returns n, or the largest value if n is larger.
func saturate(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// AddPeerSamples implements loadreport.Pool.
func (l *loadPool) AddPeerSamples(samples []loadreport.Sample) {
	names := l.state.upstreamNames.Load()
	now := boottime.Now()
	for _, s := range samples {
		if id, ok := (*names)[s.Upstream]; ok {
			l.pool.AddPeerLoad(id, placement.Load{Running: int(s.Running), Waiting: int(s.Waiting), Slots: int(s.Slots), Slowdown: float64(s.Slowdown) / 100}, now)
		}
	}
}

// minSharingHosts is the number of other hosts in the failure domain from which hosts share what
// upstreams report, and report to the other failure domains of the region. With fewer hosts, each
// sees enough responses itself.
const minSharingHosts = 3

// loadPeersOf returns the hosts with which load reports are exchanged: the other hosts of this
// host's failure domain, and if there are many, those of its region.
func loadPeersOf(hosts []catalog.Host, settings Settings) []loadreport.Peer {
	var near, far []loadreport.Peer
	for _, host := range hosts {
		if host.Region != settings.Region || host.Name == settings.Host {
			continue
		}
		address, err := netip.ParseAddrPort(host.LoadReportAddress)
		switch {
		case err != nil: // a host of another version may have no such address
		case host.FailureDomain == settings.FailureDomain:
			near = append(near, loadreport.Peer{Address: address, Samples: host.LoadSamples})
		case host.LoadSamples:
			far = append(far, loadreport.Peer{Address: address, Far: true})
		}
	}
	if len(near) >= minSharingHosts {
		return append(near, far...)
	}
	for i := range near {
		near[i].Samples = false
	}
	return near
}
