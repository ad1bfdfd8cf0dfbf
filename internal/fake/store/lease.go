package store

import (
	"time"

	"peridotrail/internal/kvstore"
)

// lease expires at its deadline unless it is renewed.
type lease struct {
	ttl      time.Duration
	deadline time.Time
}

// grant creates a lease. The caller holds mu.
func (s *Store) grant(ttl time.Duration) (kvstore.LeaseID, error) {
	if ttl <= 0 {
		return kvstore.LeaseID{}, newError(kvstore.KindInvalid, opGrant, "")
	}
	s.lastLease.Number++
	s.leases[s.lastLease] = &lease{ttl: ttl, deadline: s.now().Add(ttl)}
	return s.lastLease, nil
}

// renew extends a lease. The caller holds mu.
func (s *Store) renew(id kvstore.LeaseID) error {
	l := s.leases[id]
	if l == nil {
		return newError(kvstore.KindLeaseExpired, opRenew, "")
	}
	l.deadline = s.now().Add(l.ttl)
	return nil
}

// revoke ends a lease and deletes its keys. The caller holds mu.
func (s *Store) revoke(id kvstore.LeaseID) error {
	if s.leases[id] == nil {
		return newError(kvstore.KindLeaseExpired, opRevoke, "")
	}
	s.endLease(id)
	return nil
}

// endLease removes a lease and deletes its keys. The caller holds mu.
func (s *Store) endLease(id kvstore.LeaseID) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.entry.Exists() && r.entry.Lease == id {
			s.remove(key)
		}
	}
}

// expire removes the leases whose deadline has passed. The caller holds mu.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if !l.deadline.After(now) {
			s.endLease(id)
		}
	}
}

// untilExpiry returns the time to the next lease deadline, at most limit. The
// caller holds mu.
func (s *Store) untilExpiry(limit time.Duration) time.Duration {
	now := s.now()
	for _, l := range s.leases {
		limit = min(limit, l.deadline.Sub(now))
	}
	return max(limit, time.Millisecond)
}
