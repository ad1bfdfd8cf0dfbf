// Package store is an in-memory fake of the platform's key-value store and host list,
// with faults that tests inject.
package store

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotrail/internal/kvstore"
)

// record is one key with the revision and time of its last change. A deleted key
// keeps its record so that watches see the deletion.
type record struct {
	entry     kvstore.Entry
	changed   kvstore.Revision
	changedAt time.Time
}

// hostList is one version of the platform's list of hosts.
type hostList struct {
	setAt time.Time
	hosts []kvstore.HostRecord
}

// Store is the fake store. It implements kvstore.Store for an anonymous caller; Client
// returns the store as a named caller reaches it. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu        sync.Mutex // guards the fields below
	revision  kvstore.Revision
	records   map[string]record
	leases    map[kvstore.LeaseID]*lease
	lastLease kvstore.LeaseID
	hosts     []hostList
	faults    faults
	calls     Calls
	changed   chan struct{} // closed and replaced on each change
}

// Option changes a setting of a Store.
type Option func(*Store)

// WithClock replaces time.Now. Delays and waiting watches still use the runtime's timers.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// New returns an empty store without faults.
func New(opts ...Option) *Store {
	s := &Store{
		now:     time.Now,
		records: map[string]record{},
		leases:  map[kvstore.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetHosts replaces the platform's list of hosts.
func (s *Store) SetHosts(hosts []kvstore.HostRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostList{setAt: s.now(), hosts: slices.Clone(hosts)})
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// get returns the current entry. The caller holds mu.
func (s *Store) get(key string) kvstore.Entry {
	entry := s.records[key].entry
	entry.Key = key
	return entry
}

// list returns the entries under prefix. The caller holds mu.
func (s *Store) list(prefix string) []kvstore.Entry {
	var entries []kvstore.Entry
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) && r.entry.Exists() {
			entries = append(entries, r.entry)
		}
	}
	sortEntries(entries)
	return entries
}

func sortEntries(entries []kvstore.Entry) {
	slices.SortFunc(entries, func(a, b kvstore.Entry) int { return cmp.Compare(a.Key, b.Key) })
}

// compareAndSwap applies w. The caller holds mu.
func (s *Store) compareAndSwap(w kvstore.Write) (kvstore.Entry, error) {
	if w.Key == "" || len(w.Value) > kvstore.MaxValueSize {
		return kvstore.Entry{}, newError(kvstore.KindInvalid, opCompareAndSwap, w.Key)
	}
	current := s.get(w.Key)
	if current.Revision != w.Expected {
		return current, newError(kvstore.KindConflict, opCompareAndSwap, w.Key)
	}
	if !w.Lease.IsZero() && s.leases[w.Lease] == nil {
		return current, newError(kvstore.KindLeaseExpired, opCompareAndSwap, w.Key)
	}
	if w.Delete {
		s.remove(w.Key)
		return kvstore.Entry{Key: w.Key}, nil
	}
	s.revision.Number++
	entry := kvstore.Entry{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision, Lease: w.Lease}
	s.put(entry)
	return entry, nil
}

// put stores entry as changed at the store's revision. The caller holds mu.
func (s *Store) put(entry kvstore.Entry) {
	s.records[entry.Key] = record{entry: entry, changed: s.revision, changedAt: s.now()}
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes key. The caller holds mu.
func (s *Store) remove(key string) {
	s.revision.Number++
	s.put(kvstore.Entry{Key: key})
}

// currentHosts returns the newest list that is at least as old as the lag. The caller
// holds mu.
func (s *Store) currentHosts() []kvstore.HostRecord {
	limit := s.now().Add(-s.faults.hostListLag)
	for _, list := range slices.Backward(s.hosts) {
		if !list.setAt.After(limit) {
			return list.hosts
		}
	}
	return nil
}

// Keys returns the sorted names of all keys that hold a value.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := slices.Sorted(maps.Keys(s.records))
	return slices.DeleteFunc(keys, func(key string) bool { return !s.records[key].entry.Exists() })
}
