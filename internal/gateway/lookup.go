package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/routing"
)

// minLookupAddresses is the number of hosts in a look-up response below which hosts
// farther away are included, so that a caller can fail over to a second one.
const minLookupAddresses = 2

// homeLookupTTLFraction is the TTL of a response that names hosts outside the caller's region because
// they are in homes, as a fraction of PolicyDelay. Some callers use a response for three times its
// TTL, and what they do then should follow a policy that moves the homes within PolicyDelay.
const homeLookupTTLFraction = 0.2

// maxLookupAddresses limits the number of hosts in a look-up response.
const maxLookupAddresses = 64

// lookupRetryAfter is the Retry-After value of a look-up for which no host can be named. Hosts
// register within about that time of their start.
const lookupRetryAfter = 500 * time.Millisecond

// lookupAnswer is the response to a look-up.
type lookupAnswer struct {
	hosts   []catalog.Host
	ttl     time.Duration
	refusal string // why there are no hosts
}

// serveLookup answers look-ups with the addresses of the entry hosts to use.
func (g *Gateway) serveLookup(w http.ResponseWriter, r *http.Request) {
	lookup, ok := g.dialect.ReadLookup(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	answer := g.lookUp(r.Context(), lookup)
	g.logLookup(lookup, answer)
	if len(answer.hosts) == 0 {
		g.metrics.countLookup("refused")
		w.Header().Set("Retry-After", g.dialect.FormatRetryAfter(lookupRetryAfter))
		http.Error(w, answer.refusal, http.StatusServiceUnavailable)
		return
	}
	g.dialect.WriteLookup(w, entryAddresses(answer.hosts), answer.ttl)
}

// lookUp chooses the hosts for a caller: those near it, whatever the homes of the name, since a
// caller's data may be held in its own region. Only if that has no known host does it choose hosts
// of other regions, which must then be homes of the name under a policy that is known to be current.
func (g *Gateway) lookUp(ctx context.Context, lookup Lookup) lookupAnswer {
	ttl := min(lookupTTL, g.settings.get().MaxLookupTTL)
	if near := nearHosts(*g.state.hosts.Load(), lookup); len(near) > 0 {
		return lookupAnswer{hosts: near, ttl: ttl}
	}
	name := g.nameHomes(ctx, lookup.Name)
	if name.homes.Restricted() {
		ttl = min(ttl, scale(g.settings.get().PolicyDelay, homeLookupTTLFraction))
	}
	far, refusal := farHosts(*g.state.hosts.Load(), name)
	return lookupAnswer{hosts: far, ttl: ttl, refusal: refusal}
}

// farHosts returns the hosts for a caller in whose region no host is known, or why there are none.
func farHosts(hosts []catalog.Host, name nameHomes) (far []catalog.Host, refusal string) {
	if name.doubt != "" && name.needsProof() {
		return nil, "no entry host of the region is known, and the homes of the name may have changed: " + name.doubt
	}
	far = hostsWhere(hosts, func(h catalog.Host) bool { return name.homes.Allows(h.Region) })
	if len(far) == 0 {
		refusal = "no entry host is known in the region or in a home of all routes of the name: " + name.homes.String()
	}
	return far, refusal
}

// nameHomes is what the policy says about the homes of a host name.
type nameHomes struct {
	homes routing.Homes // that all routes of the name have in common
	known bool          // the policy has a route of the name
	doubt string        // why the policy may be outdated, empty if it is current
}

// needsProof reports whether hosts of other regions may be named only under a current policy.
func (n nameHomes) needsProof() bool { return n.homes.Restricted() || !n.known }

// nameHomes returns the homes of a host name. It waits for a proof that the policy is current if
// the last one is too old.
func (g *Gateway) nameHomes(ctx context.Context, name string) nameHomes {
	read := func(now boottime.Instant) (found nameHomes, stale bool) {
		proof := g.replica.Proof() // before the policy is read, which may become newer meanwhile
		table := g.state.table.Load()
		if table == nil {
			return nameHomes{doubt: "no policy is in force yet"}, false
		}
		found.homes, found.known = table.HomesOfName(name)
		found.doubt, stale = g.policyDoubt(proof, now)
		return found, stale
	}
	now := boottime.Now()
	found, stale := read(now)
	if !found.needsProof() {
		return found
	}
	g.replica.NeedProof()
	if stale && g.awaitProof(ctx, now) {
		found, _ = read(boottime.Now())
	}
	return found
}

// nearHosts returns the hosts in the caller's failure domain. If there are fewer than
// minLookupAddresses it returns those of the caller's region.
func nearHosts(hosts []catalog.Host, lookup Lookup) []catalog.Host {
	near := hostsWhere(hosts, func(h catalog.Host) bool { return h.FailureDomain == lookup.FailureDomain })
	if len(near) < minLookupAddresses {
		near = hostsWhere(hosts, func(h catalog.Host) bool { return h.Region == lookup.Region })
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
func (g *Gateway) logLookup(lookup Lookup, answer lookupAnswer) {
	hosts := answer.hosts
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
		"hosts", len(hosts), "regions", strings.Join(named, " "), "detail", answer.refusal, "known", len(*g.state.hosts.Load()),
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
