package gateway

import (
	"net/netip"

	"peridotrail/internal/catalog"
	"peridotrail/internal/replica"
)

// peersOf returns the other hosts that can be asked for tokens, by name. Hosts without a
// valid address, such as those of other versions, are left out.
func peersOf(hosts []catalog.Host, settings Settings) map[string]peer {
	peers := make(map[string]peer, len(hosts))
	for _, host := range hosts {
		if address, err := netip.ParseAddrPort(host.PeerAddress); err == nil && host.Name != settings.Host {
			peers[host.Name] = peer{address: address, near: host.FailureDomain == settings.FailureDomain}
		}
	}
	return peers
}

// domainPeersOf returns the other hosts of this host's failure domain.
func domainPeersOf(hosts []catalog.Host, settings Settings) []replica.Peer {
	var peers []replica.Peer
	for _, host := range hosts {
		if host.FailureDomain == settings.FailureDomain && host.Name != settings.Host && host.PeerAddress != "" {
			peers = append(peers, replica.Peer{Name: host.Name, Address: host.PeerAddress})
		}
	}
	return peers
}

// newestIncarnations returns the newest incarnation of each host. A host that
// restarts may have entries under two leases for a while.
func newestIncarnations(all []catalog.Host) []catalog.Host {
	newest := map[string]int{}
	hosts := make([]catalog.Host, 0, len(all))
	for _, host := range all {
		index, ok := newest[host.Name]
		switch {
		case !ok:
			newest[host.Name] = len(hosts)
			hosts = append(hosts, host)
		case host.Incarnation > hosts[index].Incarnation:
			hosts[index] = host
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
