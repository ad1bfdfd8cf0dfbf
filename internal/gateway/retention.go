package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
)

// The store may return from a copy that is some seconds old. What this host has seen and the
// copy lacks is kept until it is written again, for a limited time: see
// docs/design/store-rollback.md.

// resetEvacuations forgets the evacuations of the store's last entries. In a new era they are
// kept for a while. The caller holds mu.
func (s *state) resetEvacuations(newEra bool, now boottime.Instant) {
	if newEra {
		for id := range s.evacuated {
			s.keptEvacuations[id] = now.Add(catalog.RetentionTime)
		}
	}
	s.evacuated = map[string]bool{}
}

// evacuatedDomains returns the evacuated failure domains. The caller holds mu.
func (s *state) evacuatedDomains() map[string]bool {
	domains := cloneSet(s.evacuated)
	for id := range s.keptEvacuations {
		domains[id] = true
	}
	return domains
}

// removeUpstream records that an upstream has no usable entry. The caller holds mu.
func (s *state) removeUpstream(id string, now boottime.Instant) {
	if gone, removed := s.upstreams.Remove(id, now); removed {
		s.departures.Gone(gone, now)
	}
}

// knownUpstream returns what this host knows of an upstream, nil if it knows none. The caller
// holds mu.
func (s *state) knownUpstream(id string) *catalog.Upstream {
	if u, ok := s.upstreams.Get(id); ok {
		return &u
	}
	return nil
}

// reconcileUpstream merges an upstream's entry with what this host knew before the store
// returned from an older copy. newEra tells that the entry is one of those that the store has
// in a new era; otherwise it has changed. counts is false if nothing is to be changed. The
// caller holds mu.
func (s *state) reconcileUpstream(read catalog.Upstream, revision kvstore.Revision, newEra bool, now boottime.Instant) (merged catalog.Upstream, counts bool) {
	reconcile := s.departures.Update
	if newEra {
		reconcile = s.departures.Merge
	}
	merged, counts = reconcile(s.knownUpstream(read.ID), read, revision, now)
	if !counts || merged != read {
		_ = level.Info(s.logger).Log("event", "upstream entry older than known", "upstream", read.ID, "present", counts, "draining", merged.Draining, "revision", revision)
	}
	return merged, counts
}

// endRetention ends what was kept for long enough. It reports whether anything has changed.
// The caller holds mu.
func (s *state) endRetention(now boottime.Instant) bool {
	var ended []string
	for _, u := range s.departures.Expire(now) {
		s.upstreams.Put(u.ID, u)
		ended = append(ended, u.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(s.keptEvacuations)) {
		if !now.Before(s.keptEvacuations[id]) {
			delete(s.keptEvacuations, id)
			ended = append(ended, id)
		}
	}
	if len(ended) > 0 {
		_ = level.Info(s.logger).Log("event", "retention ended", "ids", strings.Join(ended, " "))
	}
	return len(ended) > 0
}

// restoreTime is the time from the first sight of a new era in which hosts write again what
// the store has lost.
const restoreTime = 10 * time.Second

// restoring reports whether this host has seen the store return a short time ago. It takes
// no lock, since the pool calls it with its own held.
func (s *state) restoring(now boottime.Instant) bool {
	return now < boottime.Instant(s.restoringUntil.Load())
}
