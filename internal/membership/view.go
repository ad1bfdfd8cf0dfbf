package membership

import (
	"cmp"
	"slices"
	"time"

	"peridotrail/internal/host"
)

// DomainHosts lists the hosts of one failure domain known to this host.
type DomainHosts struct {
	Domain    string
	Leader    host.ID       // empty if none is known
	Confirmed time.Time     // monotonic time at which the list was last known to be current
	Hosts     []host.Member // sorted by ID; includes this process
}

// View is an immutable snapshot of the membership of the fleet.
type View struct {
	Members           []host.Member // all hosts but this one, sorted by ID
	Domains           []DomainHosts // sorted by name
	Digests           []PeerDigest  // last digests of the own domain's hosts, sorted by ID
	Remote            []DomainDigest
	Candidates        []host.ID
	Fresh             bool      // see Table.Fresh
	LastPeerHeartbeat time.Time // last heartbeat from a host of the own domain
	Alone             bool      // no other host of the own domain is known
}

// LiveDomains returns the domains with only their live hosts.
func (v *View) LiveDomains() []DomainHosts {
	domains := make([]DomainHosts, 0, len(v.Domains))
	for _, d := range v.Domains {
		live := d
		live.Hosts = nil
		for _, m := range d.Hosts {
			if m.State == host.StateLive {
				live.Hosts = append(live.Hosts, m)
			}
		}
		domains = append(domains, live)
	}
	return domains
}

// View returns a snapshot of the table.
func (t *Table) View(now time.Time) *View {
	v := &View{
		Candidates:        t.Candidates(),
		Remote:            t.RemoteDigests(),
		Fresh:             t.Fresh(),
		LastPeerHeartbeat: t.lastPeerHeartbeat,
		Alone:             len(t.peers()) == 0,
	}
	byDomain := map[string][]host.Member{}
	for _, m := range t.members {
		member := host.Member{Identity: m.identity, State: m.state, LastHeard: now.Add(-t.silence(m, now))}
		v.Members = append(v.Members, member)
		byDomain[m.identity.FailureDomain] = append(byDomain[m.identity.FailureDomain], member)
		if m.identity.FailureDomain == t.self.FailureDomain && !m.digestReceived.IsZero() {
			v.Digests = append(v.Digests, PeerDigest{Identity: m.identity, Digest: m.digest, Received: m.digestReceived})
		}
	}
	byDomain[t.self.FailureDomain] = append(byDomain[t.self.FailureDomain], t.selfMember(now))
	sortHosts(v.Members)
	for name, hosts := range byDomain {
		sortHosts(hosts)
		v.Domains = append(v.Domains, t.domainHosts(name, hosts, now))
	}
	slices.SortFunc(v.Domains, func(a, b DomainHosts) int { return cmp.Compare(a.Domain, b.Domain) })
	slices.SortFunc(v.Digests, func(a, b PeerDigest) int { return cmp.Compare(a.Identity.ID, b.Identity.ID) })
	return v
}

func (t *Table) domainHosts(name string, hosts []host.Member, now time.Time) DomainHosts {
	d := t.domain(name)
	result := DomainHosts{Domain: name, Leader: d.leader, Confirmed: d.lastConfirmed, Hosts: hosts}
	if name == t.self.FailureDomain {
		result.Leader = t.leadership.Leader
		result.Confirmed = now
	}
	return result
}

func (t *Table) selfMember(now time.Time) host.Member {
	state := host.StateLive
	if t.leaving {
		state = host.StateLeaving
	}
	return host.Member{Identity: t.self, State: state, LastHeard: now}
}

func sortHosts(hosts []host.Member) {
	slices.SortFunc(hosts, func(a, b host.Member) int { return cmp.Compare(a.Identity.ID, b.Identity.ID) })
}
