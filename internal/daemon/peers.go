package daemon

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/membership"
	"peridotrail/internal/steering"
	"peridotrail/internal/upstream"
)

// freeSlots gives the free slots per service that each host last announced. Of
// hosts in other failure domains only the sum of the domain is known, which is
// divided evenly among its live hosts.
type freeSlots struct {
	hosts   map[host.ID]map[string]int
	domains map[string]map[string]int
}

func newFreeSlots(view *membership.View) freeSlots {
	f := freeSlots{hosts: map[host.ID]map[string]int{}, domains: map[string]map[string]int{}}
	for _, digest := range view.Digests {
		f.hosts[digest.Identity.ID] = slotsOf(digest.Digest.Services, 1)
	}
	for _, digest := range view.Remote {
		f.domains[digest.Domain] = slotsOf(digest.Services, max(1, digest.Hosts))
	}
	return f
}

func slotsOf(loads []membership.ServiceLoad, divisor int) map[string]int {
	slots := make(map[string]int, len(loads))
	for _, load := range loads {
		slots[load.Service] = (load.FreeSlots + divisor - 1) / divisor
	}
	return slots
}

func (f freeSlots) of(identity host.Identity) map[string]int {
	if slots, ok := f.hosts[identity.ID]; ok {
		return slots
	}
	return f.domains[identity.FailureDomain]
}

// peers gives the dispatcher the other entry hosts.
func (s *state) peers() []upstream.Peer {
	view := s.members.View()
	free := newFreeSlots(view)
	peers := make([]upstream.Peer, 0, len(view.Members))
	for _, member := range view.Members {
		peers = append(peers, upstream.Peer{Identity: member.Identity, State: member.State, FreeSlots: free.of(member.Identity)})
	}
	return peers
}

// steeringHosts gives look-ups all entry hosts, this one included.
func (s *state) steeringHosts() []steering.Host {
	view := s.members.View()
	free := newFreeSlots(view)
	hosts := make([]steering.Host, 0, len(view.Members)+1)
	hosts = append(hosts, steering.Host{Identity: s.host.self, State: s.ownState(), FreeSlots: s.dispatcher.FreeSlots()})
	for _, member := range view.Members {
		hosts = append(hosts, steering.Host{Identity: member.Identity, State: member.State, FreeSlots: free.of(member.Identity)})
	}
	return hosts
}

func (s *state) ownState() host.State {
	if s.leaving.Load() {
		return host.StateLeaving
	}
	return host.StateLive
}

// measure sums up what is known of a failure domain, for shifts.
func (s *state) measure(domain string) steering.Measurement {
	now := time.Now()
	m := steering.Measurement{FreeSlots: map[string]int{}, Slots: map[string]int{}, At: now}
	for _, u := range s.host.configuration().Upstreams {
		if u.FailureDomain == domain {
			m.Slots[u.Service] += u.Slots
		}
	}
	for _, h := range s.steeringHosts() {
		if h.Identity.FailureDomain != domain || h.State != host.StateLive {
			continue
		}
		m.LiveHosts++
		for service, free := range h.FreeSlots {
			m.FreeSlots[service] += free
		}
	}
	view := s.members.View()
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
