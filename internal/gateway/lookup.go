package gateway

import (
	"net/http"
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
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
	hosts := nearestHosts(*g.state.hosts.Load(), lookup)
	g.logLookup(lookup, hosts)
	if len(hosts) == 0 {
		http.Error(w, "no entry host is known", http.StatusServiceUnavailable)
		return
	}
	g.dialect.WriteLookup(w, entryAddresses(hosts), min(lookupTTL, g.settings.get().MaxLookupTTL))
}

// nearestHosts returns the hosts in the caller's failure domain. If there are fewer than
// minLookupAddresses it returns those of the caller's region, and if the region has none, all
// hosts.
func nearestHosts(hosts []catalog.Host, lookup Lookup) []catalog.Host {
	near := hostsWhere(hosts, func(h catalog.Host) bool { return h.FailureDomain == lookup.FailureDomain })
	if len(near) < minLookupAddresses {
		near = hostsWhere(hosts, func(h catalog.Host) bool { return h.Region == lookup.Region })
	}
	if len(near) == 0 {
		near = hostsWhere(hosts, func(catalog.Host) bool { return true })
	}
	return near
}

// hostsWhere returns the first maxLookupAddresses hosts for which selected returns true.
func hostsWhere(hosts []catalog.Host, selected func(catalog.Host) bool) []catalog.Host {
	var found []catalog.Host
	for _, host := range hosts {
		if len(found) < maxLookupAddresses && selected(host) {
			found = append(found, host)
		}
	}
	return found
}

// entryAddresses returns the addresses of hosts for callers.
func entryAddresses(hosts []catalog.Host) []string {
	addresses := make([]string, len(hosts))
	for i, host := range hosts {
		addresses[i] = host.EntryAddress
	}
	return addresses
}

// logLookup writes one line about a look-up whose response names hosts outside the caller's region
// or none.
func (g *Gateway) logLookup(lookup Lookup, hosts []catalog.Host) {
	far := slices.ContainsFunc(hosts, func(h catalog.Host) bool { return h.Region != lookup.Region })
	if len(hosts) > 0 && !far || !g.logLimiter.allow(false) {
		return
	}
	var named []string
	for _, host := range hosts {
		if !slices.Contains(named, host.Region) {
			named = append(named, host.Region)
		}
	}
	fields := []any{"event", "look-up", "name", lookup.Name, "domain", lookup.FailureDomain, "region", lookup.Region,
		"hosts", len(hosts), "regions", strings.Join(named, " "), "known", len(*g.state.hosts.Load()),
		"keys_age_ms", boottime.Now().Sub(g.replica.Proof()).Milliseconds()}
	if table := g.state.table.Load(); table != nil {
		homes, _ := table.HomesOfName(lookup.Name)
		fields = append(fields, "homes", homes, "version", table.Version())
	}
	if followed := g.replica.FollowedHost(); followed != "" {
		fields = append(fields, "view_from", followed)
	}
	_ = level.Info(g.logger).Log(fields...)
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
