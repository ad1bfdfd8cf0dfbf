package daemon

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/membership"
	"peridotrail/internal/steering"
	"peridotrail/internal/upstream"
)

// freeSlots holds the free slots per service that each host last announced. For other
// failure domains only the sum of the domain is known; it is divided evenly among the
// domain's live hosts.
type freeSlots struct {
	hosts   map[host.ID]map[string]int
	domains map[string]map[string]int
}

func newFreeSlots(view *membership.View) freeSlots {
	f := freeSlots{hosts: map[host.ID]map[string]int{}, domains: map[string]map[string]int{}}
	for _, digest := range view.Digests {
		f.hosts[digest.Identity.ID] = slotsByService(digest.Digest.Services, 1)
	}
	for _, digest := range view.Remote {
		f.domains[digest.Domain] = slotsByService(digest.Services, max(1, digest.Hosts))
	}
	return f
}

// slotsByService returns the free slots of each service divided by divisor, rounded up.
func slotsByService(loads []membership.ServiceLoad, divisor int) map[string]int {
	slots := make(map[string]int, len(loads))
	for _, load := range loads {
		slots[load.Service] = (load.FreeSlots + divisor - 1) / divisor
	}
	return slots
}

// forHost returns the free slots of a host by service; nil if they are unknown.
func (f freeSlots) forHost(identity host.Identity) map[string]int {
	if slots, ok := f.hosts[identity.ID]; ok {
		return slots
	}
	return f.domains[identity.FailureDomain]
}

// dispatchPeers returns the other entry hosts, for the dispatcher.
func (c *controlPlane) dispatchPeers() []upstream.Peer {
	view := c.members.View()
	free := newFreeSlots(view)
	peers := make([]upstream.Peer, 0, len(view.Members))
	for _, member := range view.Members {
		peers = append(peers, upstream.Peer{Identity: member.Identity, State: member.State, FreeSlots: free.forHost(member.Identity)})
	}
	return peers
}

// steeringHosts returns all entry hosts including this one, for look-ups.
func (c *controlPlane) steeringHosts() []steering.Host {
	view := c.members.View()
	free := newFreeSlots(view)
	hosts := make([]steering.Host, 0, len(view.Members)+1)
	hosts = append(hosts, steering.Host{Identity: c.host.self, State: c.selfState(), FreeSlots: c.dispatcher.FreeSlots()})
	for _, member := range view.Members {
		hosts = append(hosts, steering.Host{Identity: member.Identity, State: member.State, FreeSlots: free.forHost(member.Identity)})
	}
	return hosts
}

// selfState returns the state of this host.
func (c *controlPlane) selfState() host.State {
	if c.leaving.Load() {
		return host.StateLeaving
	}
	return host.StateLive
}

// measureDomain returns the slots, free slots and live hosts of a failure domain, for
// shifts. At is the time of the oldest data used.
func (c *controlPlane) measureDomain(domain string) steering.Measurement {
	now := time.Now()
	m := steering.Measurement{FreeSlots: map[string]int{}, Slots: map[string]int{}, At: now}
	for _, u := range c.host.currentConfiguration().Upstreams {
		if u.FailureDomain == domain {
			m.Slots[u.Service] += u.Slots
		}
	}
	for _, h := range c.steeringHosts() {
		if h.Identity.FailureDomain != domain || h.State != host.StateLive {
			continue
		}
		m.LiveHosts++
		for service, free := range h.FreeSlots {
			m.FreeSlots[service] += free
		}
	}
	view := c.members.View()
	for _, digest := range view.Remote {
		if digest.Domain == domain {
			m.At = digest.Received
		}
	}
	for _, digest := range view.Digests {
		if digest.Identity.FailureDomain == domain && digest.Received.Before(m.At) {
			m.At = digest.Received
		}
	}
	return m
}
