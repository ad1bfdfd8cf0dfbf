package gateway

import (
	"net/netip"

	"peridotrail/internal/catalog"
	"peridotrail/internal/quota"
	"peridotrail/internal/replica"
)

// divisionOf divides the rates of accounts among hosts.
func divisionOf(hosts []catalog.Host, settings Settings) *quota.Division {
	holders := make([]quota.Holder, 0, len(hosts))
	for _, host := range hosts {
		holders = append(holders, holderOf(host))
	}
	return quota.NewDivision(quota.Holder{Name: settings.Host, FailureDomain: settings.FailureDomain, Region: settings.Region}, holders)
}

// holderOf leaves the address empty if the host can't be asked: one of another
// version may not lend.
func holderOf(host catalog.Host) quota.Holder {
	h := quota.Holder{Name: host.Name, FailureDomain: host.FailureDomain, Region: host.Region}
	if address, err := netip.ParseAddrPort(host.Peer); err == nil {
		h.Address = address
	}
	return h
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
