package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

func (s *Service) handleSync(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
	var request SyncRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Changes(request), nil
}

// gossips reports whether to compare summaries with a speaker of another domain,
// at most once each gossipPeriod. The caller holds s.mu.
func (s *Service) gossips(from host.Identity, beat Heartbeat) bool {
	now := time.Now()
	if now.Sub(s.gossiped) < gossipPeriod || !s.table.MayGossip(from, beat) {
		return false
	}
	s.gossiped = now
	return true
}

// fetch asks for the summaries that heartbeats told of.
func (s *Service) fetch(ctx context.Context) {
	for {
		target, err := s.syncs.Pop(ctx)
		if err != nil {
			return
		}
		if s.syncAllowed(target.Addr, time.Now()) {
			s.sync(ctx, target)
		}
	}
}

func (s *Service) syncAllowed(addr netip.AddrPort, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.synced[addr]; ok && now.Sub(last) < s.options.Timing.Period/2 {
		return false
	}
	for other, last := range s.synced {
		if now.Sub(last) > syncMemory {
			delete(s.synced, other)
		}
	}
	s.synced[addr] = now
	return true
}

func (s *Service) sync(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	s.mu.Lock()
	request := SyncRequest{Have: s.table.Stamps()}
	s.mu.Unlock()
	var reply SyncReply
	if err := s.options.Caller.Call(ctx, target.Addr, KindSync, request, &reply); err != nil {
		_ = level.Debug(s.options.Logger).Log("component", "membership", "msg", "sync failed", "peer", target.Addr, "err", err)
		return
	}
	s.mu.Lock()
	s.table.Apply(reply, time.Now())
	s.mu.Unlock()
}

// hint reads the platform's list of hosts for addresses to begin with. Only
// hosts that speak for their domain or know no other host ask.
func (s *Service) hint(ctx context.Context) {
	if s.options.Store == nil {
		return
	}
	s.mu.Lock()
	wait := s.jitter(s.options.Timing.Period)
	s.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		s.mu.Lock()
		wait = hintPeriod/2 + s.jitter(hintPeriod)
		s.mu.Unlock()
		if s.asksStore() {
			s.readHosts(ctx)
		}
	}
}

func (s *Service) asksStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.isLeader() || len(s.table.peers()) == 0
}

func (s *Service) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	records, err := s.options.Store.Hosts(ctx)
	if err != nil {
		_ = level.Debug(s.options.Logger).Log("component", "membership", "msg", "list of hosts not read", "err", err)
		return
	}
	seeds := append([]netip.AddrPort(nil), s.options.Seeds...)
	for _, record := range records {
		addr, err := netip.ParseAddrPort(record.FleetAddress)
		if err != nil || record.Leaving || host.ID(record.Name) == s.options.Self.ID {
			continue
		}
		seeds = append(seeds, addr)
	}
	s.mu.Lock()
	s.seeds = seeds
	s.mu.Unlock()
}
