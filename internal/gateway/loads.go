package gateway

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/loadreport"
	"peridotrail/internal/placement"
)

// loads joins the pool of upstreams to the exchange of loads. It implements
// loadreport.Pool.
type loads struct {
	pool  *placement.Pool
	state *state
}

// loadHash names an upstream in a message.
func loadHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Counts implements loadreport.Pool.
func (l *loads) Counts() []loadreport.Count {
	own := l.pool.Counts()
	counts := make([]loadreport.Count, 0, len(own))
	for id, n := range own {
		counts = append(counts, loadreport.Count{Upstream: loadHash(id), Requests: uint16(min(n, 1<<16-1))})
	}
	return counts
}

// SetPeerCounts implements loadreport.Pool.
func (l *loads) SetPeerCounts(host netip.AddrPort, counts []loadreport.Count) {
	names := l.state.upstreamNames.Load()
	byID := make(map[string]int, len(counts))
	for _, c := range counts {
		if id, ok := (*names)[c.Upstream]; ok {
			byID[id] = int(c.Requests)
		}
	}
	l.pool.Tell(host.String(), byID, boottime.Now())
}

// loadPeersOf returns the hosts of this host's failure domain that take loads.
func loadPeersOf(hosts []catalog.Host, settings Settings) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, host := range hosts {
		if host.FailureDomain != settings.FailureDomain || host.Name == settings.Host {
			continue
		}
		if address, err := netip.ParseAddrPort(host.Loads); err == nil {
			peers = append(peers, address) // a host of another version takes none
		}
	}
	return peers
}
