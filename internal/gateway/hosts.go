package gateway

import (
	"net/netip"

	"peridotrail/internal/catalog"
	"peridotrail/internal/quota"
	"peridotrail/internal/replica"
)

// newDivision returns the division of the client accounts' rates among hosts.
func newDivision(hosts []catalog.Host, settings Settings) *quota.Division {
	holders := make([]quota.Holder, 0, len(hosts))
	for _, host := range hosts {
		holders = append(holders, newHolder(host))
	}
	return quota.NewDivision(quota.Holder{Name: settings.Host, FailureDomain: settings.FailureDomain, Region: settings.Region}, holders)
}

// newHolder returns a host as a holder of shares. Its address is empty if the host
// can't be asked for tokens: hosts of other versions may not lend.
func newHolder(host catalog.Host) quota.Holder {
	h := quota.Holder{Name: host.Name, FailureDomain: host.FailureDomain, Region: host.Region}
	if address, err := netip.ParseAddrPort(host.PeerAddress); err == nil {
		h.Address = address
	}
	return h
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
