package configuration

import (
	"sync"
	"sync/atomic"

	"peridotrail/internal/invariant"
)

// InForce holds the configuration in force on this host. Readers take it
// without a lock.
type InForce struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // guards writers and subscribers; never held across I/O
	subscribers map[*Subscription]struct{}
}

// NewInForce returns a holder without a configuration.
func NewInForce() *InForce {
	return &InForce{subscribers: map[*Subscription]struct{}{}}
}

// Current returns the configuration in force, or nil before the first one.
func (f *InForce) Current() *Snapshot { return f.current.Load() }

// Revision returns the revision in force; zero before the first one.
func (f *InForce) Revision() Revision {
	if s := f.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Offer puts s in force if its revision is greater than the current one and
// reports whether it did. An equal revision with another digest violates
// invariant.RevisionMonotonic and is not put in force.
func (f *InForce) Offer(s *Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if current != nil && s.Revision <= current.Revision {
		same := s.Revision < current.Revision || s.Digest == current.Digest
		invariant.Check(same, invariant.RevisionMonotonic,
			"revision %d has digests %s and %s", s.Revision, current.Digest, s.Digest)
		return false
	}
	f.store(s)
	return true
}

// store replaces the current snapshot. The caller holds mu.
func (f *InForce) store(s *Snapshot) {
	previous := f.Revision()
	f.current.Store(s)
	invariant.Check(previous < s.Revision, invariant.RevisionMonotonic,
		"revision goes from %d to %d", previous, s.Revision)
	for subscription := range f.subscribers {
		subscription.notify()
	}
}

// Subscribe returns a subscription to changes. If a configuration is in force
// already, the subscription is notified at once.
func (f *InForce) Subscribe() *Subscription {
	subscription := &Subscription{holder: f, changed: make(chan struct{}, 1)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers[subscription] = struct{}{}
	if f.current.Load() != nil {
		subscription.notify()
	}
	return subscription
}

// Subscription tells one duty that the configuration has changed.
type Subscription struct {
	holder  *InForce
	changed chan struct{}
}

// Changed receives a value after a change. Several changes may be reported as
// one; the receiver reads the latest with InForce.Current.
func (s *Subscription) Changed() <-chan struct{} { return s.changed }

// Close ends the subscription.
func (s *Subscription) Close() {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	delete(s.holder.subscribers, s)
}

func (s *Subscription) notify() {
	select {
	case s.changed <- struct{}{}:
	default: // a notification is pending already
	}
}
