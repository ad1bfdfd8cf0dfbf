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

// replicaPeersOf returns the other hosts that serve their changes, those of this host's failure
// domain apart.
func replicaPeersOf(hosts []catalog.Host, settings Settings) (domain, others []replica.Peer) {
	others = make([]replica.Peer, 0, len(hosts))
	for _, host := range hosts {
		if host.Name == settings.Host || host.PeerAddress == "" {
			continue
		}
		peer := replica.Peer{Name: host.Name, Address: host.PeerAddress}
		if host.FailureDomain == settings.FailureDomain {
			domain = append(domain, peer)
		} else {
			others = append(others, peer)
		}
	}
	return domain, others
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

// inRegions sets the regions of hosts to those of their failure domains, as for upstreams. A host whose
// failure domain was moved by a change of the settings says otherwise until it starts again.
func inRegions(hosts []catalog.Host, regions map[string]string) []catalog.Host {
	for i := range hosts {
		if region := regions[hosts[i].FailureDomain]; region != "" {
			hosts[i].Region = region
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
