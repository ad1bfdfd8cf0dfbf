package gateway

import (
	"net/http"

	"peridotrail/internal/catalog"
)

// minLookupAddresses is the number of hosts in a look-up response below which hosts
// farther away are included, so that a caller can fail over to a second one.
const minLookupAddresses = 2

// maxLookupAddresses limits the number of hosts in a look-up response.
const maxLookupAddresses = 64

// serveLookup answers look-ups with the addresses of the entry hosts to use.
func (g *Gateway) serveLookup(w http.ResponseWriter, r *http.Request) {
	lookup, ok := g.dialect.ReadLookup(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	addresses := nearestAddresses(*g.state.hosts.Load(), lookup)
	if len(addresses) == 0 {
		http.Error(w, "no entry host is known", http.StatusServiceUnavailable)
		return
	}
	g.dialect.WriteLookup(w, addresses, min(lookupTTL, g.settings.get().MaxLookupTTL))
}

// nearestAddresses returns the addresses of the hosts in the caller's failure
// domain. If there are fewer than minLookupAddresses it returns those of the
// caller's region, and if the region has none, those of all hosts.
func nearestAddresses(hosts []catalog.Host, lookup Lookup) []string {
	scopes := []func(catalog.Host) bool{
		func(h catalog.Host) bool { return h.FailureDomain == lookup.FailureDomain },
		func(h catalog.Host) bool { return h.Region == lookup.Region },
		func(catalog.Host) bool { return true },
	}
	var addresses []string
	for i, inScope := range scopes {
		if i == len(scopes)-1 && len(addresses) > 0 {
			break // other regions are used only if the caller's region has no host
		}
		addresses = addresses[:0]
		for _, host := range hosts {
			if inScope(host) && len(addresses) < maxLookupAddresses {
				addresses = append(addresses, host.EntryAddress)
			}
		}
		if len(addresses) >= minLookupAddresses {
			break
		}
	}
	return addresses
}

// serveReadiness answers the platform's readiness check.
func (g *Gateway) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case !g.dialect.IsReadiness(r):
		http.NotFound(w, r)
	case !g.ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
