// Package catalog keeps what a host believes of the upstreams and of the other
// hosts, from the entries that they keep in the store.
//
// All functions are pure: the caller passes the time in.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotrail/internal/boottime"
)

// AbsenceGrace is how long a member stays whose entry was absent when the store
// returned from an outage. Whoever lives registers again within that time.
const AbsenceGrace = 2 * time.Second

type record[T any] struct {
	member  T
	missing boottime.Instant // since when the entry is absent after an outage; zero: present
}

// Set holds registered members by ID. Entries that vanish are removed at once,
// but after an outage of the store they may only have lapsed, so their members
// stay for AbsenceGrace. A Set is not safe for concurrent use.
type Set[T any] struct {
	records     map[string]*record[T]
	outageEnded boottime.Instant
	hadOutage   bool
}

// NewSet returns an empty set.
func NewSet[T any]() *Set[T] { return &Set[T]{records: map[string]*record[T]{}} }

// OutageEnded notes that the store was reached again.
func (s *Set[T]) OutageEnded(now boottime.Instant) {
	s.outageEnded = now
	s.hadOutage = true
}

// Put adds or replaces a member.
func (s *Set[T]) Put(id string, member T) { s.records[id] = &record[T]{member: member} }

// Remove notes that the entry of a member is gone.
func (s *Set[T]) Remove(id string, now boottime.Instant) {
	r := s.records[id]
	switch {
	case r == nil:
	case !s.hadOutage || now.Sub(s.outageEnded) > AbsenceGrace:
		delete(s.records, id)
	case r.missing == 0:
		r.missing = s.outageEnded
	}
}

// Retain removes all members whose IDs are not in present.
func (s *Set[T]) Retain(present map[string]bool, now boottime.Instant) {
	for id := range s.records {
		if !present[id] {
			s.Remove(id, now)
		}
	}
}

// Expire removes the members whose entries have stayed absent for longer than
// AbsenceGrace and returns their IDs.
func (s *Set[T]) Expire(now boottime.Instant) []string {
	var expired []string
	for id, r := range s.records {
		if r.missing != 0 && now.Sub(r.missing) > AbsenceGrace {
			delete(s.records, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// Get returns a member.
func (s *Set[T]) Get(id string) (T, bool) {
	r := s.records[id]
	if r == nil {
		var none T
		return none, false
	}
	return r.member, true
}

// All returns the members in the order of their IDs.
func (s *Set[T]) All() []T {
	all := make([]T, 0, len(s.records))
	for _, id := range slices.SortedFunc(maps.Keys(s.records), cmp.Compare[string]) {
		all = append(all, s.records[id].member)
	}
	return all
}
