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
	return s.table.ChangesSince(request), nil
}

// startGossip reports whether to fetch summaries from the representative of another
// domain, and records the time if so. It does so at most once per gossipPeriod. The
// caller holds s.mu.
func (s *Service) startGossip(from host.Identity, beat Heartbeat) bool {
	now := time.Now()
	if now.Sub(s.lastGossip) < gossipPeriod || !s.table.NeedsGossip(from, beat) {
		return false
	}
	s.lastGossip = now
	return true
}

// runSync fetches summaries from the hosts in syncQueue until ctx ends.
func (s *Service) runSync(ctx context.Context) {
	for {
		target, err := s.syncQueue.Pop(ctx)
		if err != nil {
			return
		}
		if s.syncAllowed(target.Addr, time.Now()) {
			s.sync(ctx, target)
		}
	}
}

// syncAllowed reports whether a sync with addr may start, and records it if so.
// Syncs with one address are at least half a heartbeat period apart.
func (s *Service) syncAllowed(addr netip.AddrPort, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.lastSync[addr]; ok && now.Sub(last) < s.options.Timing.Period/2 {
		return false
	}
	for other, last := range s.lastSync {
		if now.Sub(last) > syncAttemptRetention {
			delete(s.lastSync, other)
		}
	}
	s.lastSync[addr] = now
	return true
}

func (s *Service) sync(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	s.mu.Lock()
	request := SyncRequest{Held: s.table.Stamps()}
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

// refreshSeeds periodically adds the platform's list of hosts to the seeds, until
// ctx ends. Only leaders and hosts without peers read the list.
func (s *Service) refreshSeeds(ctx context.Context) {
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
		wait = storeReadPeriod/2 + s.jitter(storeReadPeriod)
		s.mu.Unlock()
		if s.shouldReadStore() {
			s.readSeeds(ctx)
		}
	}
}

func (s *Service) shouldReadStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.isLeader() || len(s.table.peers()) == 0
}

func (s *Service) readSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	records, err := s.options.Store.Hosts(ctx)
	if err != nil {
		_ = level.Debug(s.options.Logger).Log("component", "membership", "msg", "could not read the host list from the store", "err", err)
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
