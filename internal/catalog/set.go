// Package catalog holds a host's view of the registered upstreams and entry hosts,
// built from the entries that they keep in the store.
//
// It reads no clock: the caller passes the current time.
package catalog

import (
	"maps"
	"slices"
	"time"

	"peridotrail/internal/boottime"
)

// AbsenceGrace is how long a member stays in a Set if its entry was missing after an
// outage of the store. A member that is alive registers again within that time.
const AbsenceGrace = 2 * time.Second

// record is a member with the state of its entry.
type record[T any] struct {
	member      T
	absentSince boottime.Instant // from when AbsenceGrace counts, zero if the entry exists
}

// Set holds registered members by ID. A member is removed as soon as its entry is
// deleted. After an outage of the store, however, the entry may be missing only
// because its lease could not be renewed, so the member stays for AbsenceGrace. The same holds
// between Hold and Release, when it stays until AbsenceGrace after Release. A Set is not safe for
// concurrent use.
type Set[T any] struct {
	records     map[string]*record[T]
	outageEnded boottime.Instant
	hadOutage   bool
	held        bool
	heldSince   boottime.Instant
}

// NewSet returns an empty set.
func NewSet[T any]() *Set[T] { return &Set[T]{records: map[string]*record[T]{}} }

// OutageEnded records that the store is reachable again.
func (s *Set[T]) OutageEnded(now boottime.Instant) {
	s.outageEnded = now
	s.hadOutage = true
}

// Hold keeps all members, whether their entries are deleted or not, until Release is called.
func (s *Set[T]) Hold(now boottime.Instant) {
	if !s.held {
		s.held, s.heldSince = true, now
	}
}

// Release ends the time that began with Hold, if it did, as an outage ends. Members whose entries were
// deleted in that time stay for AbsenceGrace.
func (s *Set[T]) Release(now boottime.Instant) {
	if !s.held {
		return
	}
	s.held = false
	s.OutageEnded(now)
	for _, r := range s.records {
		if r.absentSince >= s.heldSince {
			r.absentSince = now
		}
	}
}

// Put adds or replaces a member whose entry exists.
func (s *Set[T]) Put(id string, member T) { s.records[id] = &record[T]{member: member} }

// Remove records that the entry of a member does not exist. While members are held, and within
// AbsenceGrace of the end of an outage, the member stays until Expire removes it. removed reports
// whether the member was removed now.
func (s *Set[T]) Remove(id string, now boottime.Instant) (member T, removed bool) {
	r := s.records[id]
	switch {
	case r == nil:
	case s.held && r.absentSince == 0:
		r.absentSince = now
	case s.held:
	case !s.hadOutage || now.Sub(s.outageEnded) > AbsenceGrace:
		delete(s.records, id)
		return r.member, true
	case r.absentSince == 0:
		r.absentSince = s.outageEnded
	}
	return member, false
}

// Retain calls Remove for all members whose IDs are not in present. It returns the members
// that were removed now, in no particular order.
func (s *Set[T]) Retain(present map[string]bool, now boottime.Instant) []T {
	var all []T
	for id := range s.records {
		if present[id] {
			continue
		}
		if member, removed := s.Remove(id, now); removed {
			all = append(all, member)
		}
	}
	return all
}

// Expire removes the members whose entries have been missing for longer than
// AbsenceGrace and returns them, in no particular order. While members are held there are none.
func (s *Set[T]) Expire(now boottime.Instant) []T {
	if s.held {
		return nil
	}
	var expired []T
	for id, r := range s.records {
		if r.absentSince != 0 && now.Sub(r.absentSince) > AbsenceGrace {
			delete(s.records, id)
			expired = append(expired, r.member)
		}
	}
	return expired
}

// Get returns the member with an ID and whether there is one.
func (s *Set[T]) Get(id string) (T, bool) {
	r := s.records[id]
	if r == nil {
		var zero T
		return zero, false
	}
	return r.member, true
}

// Absent returns the members whose entries are missing, by ID.
func (s *Set[T]) Absent() map[string]T {
	absent := map[string]T{}
	for id, r := range s.records {
		if r.absentSince != 0 {
			absent[id] = r.member
		}
	}
	return absent
}

// All returns the members, sorted by ID.
func (s *Set[T]) All() []T { return s.Select(func(string) bool { return true }) }

// Select returns the members with certain IDs, sorted by ID.
func (s *Set[T]) Select(selected func(id string) bool) []T {
	all := make([]T, 0, len(s.records))
	for _, id := range slices.Sorted(maps.Keys(s.records)) {
		if selected(id) {
			all = append(all, s.records[id].member)
		}
	}
	return all
}
