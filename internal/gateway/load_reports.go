package gateway

import (
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

// loadPeersOf returns the load report addresses of the other hosts of this host's
// failure domain.
func loadPeersOf(hosts []catalog.Host, settings Settings) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, host := range hosts {
		if host.FailureDomain != settings.FailureDomain || host.Name == settings.Host {
			continue
		}
		if address, err := netip.ParseAddrPort(host.LoadReportAddress); err == nil {
			peers = append(peers, address) // a host of another version may have no such address
		}
	}
	return peers
}
