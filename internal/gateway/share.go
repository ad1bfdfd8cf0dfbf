package gateway

import (
	"cmp"
	"net/netip"
	"slices"

	"peridotrail/internal/catalog"
	"peridotrail/internal/replica"
)

// peersOf returns the addresses of the other hosts, nearest first.
func peersOf(hosts []catalog.Host, settings Settings) []netip.AddrPort {
	distance := func(h catalog.Host) int {
		switch {
		case h.FailureDomain == settings.FailureDomain:
			return 0
		case h.Region == settings.Region:
			return 1
		default:
			return 2
		}
	}
	ordered := slices.Clone(hosts)
	slices.SortStableFunc(ordered, func(a, b catalog.Host) int { return cmp.Compare(distance(a), distance(b)) })
	var peers []netip.AddrPort
	for _, host := range ordered {
		address, err := netip.ParseAddrPort(host.Peer)
		if err != nil || host.Name == settings.Host {
			continue // a host of another version may not lend
		}
		peers = append(peers, address)
	}
	return peers
}

// neighboursOf returns the other hosts of this host's failure domain.
func neighboursOf(hosts []catalog.Host, settings Settings) []replica.Peer {
	var peers []replica.Peer
	for _, host := range hosts {
		if host.FailureDomain == settings.FailureDomain && host.Name != settings.Host && host.Peer != "" {
			peers = append(peers, replica.Peer{Name: host.Name, Address: host.Peer})
		}
	}
	return peers
}

// distinct keeps the newest incarnation of each host.
func distinct(all []catalog.Host) []catalog.Host {
	newest := map[string]int{}
	hosts := make([]catalog.Host, 0, len(all))
	for _, host := range all {
		at, ok := newest[host.Name]
		switch {
		case !ok:
			newest[host.Name] = len(hosts)
			hosts = append(hosts, host)
		case host.Incarnation > hosts[at].Incarnation:
			hosts[at] = host
		}
	}
	return hosts
}

func cloneSet(set map[string]bool) map[string]bool {
	clone := make(map[string]bool, len(set))
	for key := range set {
		clone[key] = true
	}
	return clone
}

// shareOf is this host's part of the limits of client accounts: every failure
// domain has the same part, divided among its hosts.
func shareOf(hosts []catalog.Host, settings Settings) float64 {
	domains := map[string]int{settings.FailureDomain: 0}
	known := false
	for _, host := range hosts {
		domains[host.FailureDomain]++
		known = known || host.Name == settings.Host
	}
	own := domains[settings.FailureDomain]
	if !known {
		own++
	}
	return 1 / float64(len(domains)*own)
}
