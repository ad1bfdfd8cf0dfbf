package gateway

import (
	"net/http"

	"peridotrail/internal/catalog"
)

// leastAddresses is the number of hosts in a look-up answer below which hosts
// farther away are added, so that a caller has a second one to turn to.
const leastAddresses = 2

// mostAddresses bounds a look-up answer.
const mostAddresses = 64

// lookups answers the question which entry hosts to use.
func (g *Gateway) lookups(w http.ResponseWriter, r *http.Request) {
	question, ok := g.dialect.ReadLookup(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	addresses := nearest(*g.state.hosts.Load(), question)
	if len(addresses) == 0 {
		http.Error(w, "no entry host is known", http.StatusServiceUnavailable)
		return
	}
	g.dialect.WriteLookup(w, addresses, min(lookupLifetime, g.settings.get().LookupLifetimeMost))
}

// nearest returns the hosts of the caller's failure domain, those of its region
// if there are too few, or else all.
func nearest(hosts []catalog.Host, question Lookup) []string {
	rings := []func(catalog.Host) bool{
		func(h catalog.Host) bool { return h.FailureDomain == question.FailureDomain },
		func(h catalog.Host) bool { return h.Region == question.Region },
		func(catalog.Host) bool { return true },
	}
	var addresses []string
	for i, inRing := range rings {
		if i == len(rings)-1 && len(addresses) > 0 {
			break // hosts of another region only where there is no nearer one
		}
		addresses = addresses[:0]
		for _, host := range hosts {
			if inRing(host) && len(addresses) < mostAddresses {
				addresses = append(addresses, host.Entry)
			}
		}
		if len(addresses) >= leastAddresses {
			break
		}
	}
	return addresses
}

// readiness answers the platform's check.
func (g *Gateway) readiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case !g.dialect.IsReadiness(r):
		http.NotFound(w, r)
	case !g.ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
