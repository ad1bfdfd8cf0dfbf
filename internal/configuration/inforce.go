package configuration

import (
	"sync"
	"sync/atomic"

	"peridotrail/internal/invariant"
)

// InForce holds the configuration that is in force on this host. It is safe for
// concurrent use; reading the current configuration takes no lock.
type InForce struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // serialises writes to current and guards subscribers; never held during I/O
	subscribers map[*Subscription]struct{}
}

// NewInForce returns an InForce that holds no configuration yet.
func NewInForce() *InForce {
	return &InForce{subscribers: map[*Subscription]struct{}{}}
}

// Current returns the configuration in force, or nil if there is none yet.
func (f *InForce) Current() *Snapshot { return f.current.Load() }

// Revision returns the revision in force, or zero if there is none yet.
func (f *InForce) Revision() Revision {
	if s := f.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Offer puts s in force if its revision is greater than the current one, and
// reports whether it did so. The current revision with a different digest violates
// invariant.RevisionMonotone and is not put in force.
func (f *InForce) Offer(s *Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if current != nil && s.Revision <= current.Revision {
		same := s.Revision < current.Revision || s.Digest == current.Digest
		invariant.Check(same, invariant.RevisionMonotone,
			"revision %d has digests %s and %s", s.Revision, current.Digest, s.Digest)
		return false
	}
	f.replace(s)
	return true
}

// replace sets the current snapshot and notifies subscribers. The caller holds mu.
func (f *InForce) replace(s *Snapshot) {
	previous := f.Revision()
	f.current.Store(s)
	invariant.Check(previous < s.Revision, invariant.RevisionMonotone,
		"revision goes from %d to %d", previous, s.Revision)
	for subscription := range f.subscribers {
		subscription.notify()
	}
}

// Subscribe returns a subscription to changes. It is notified immediately if a
// configuration is already in force. The caller must close it.
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

// Subscription notifies one task of changes to the configuration.
type Subscription struct {
	holder  *InForce
	changed chan struct{}
}

// Changed returns a channel that receives a value after a change. Several changes
// may be combined into one value; the receiver reads the latest configuration with
// InForce.Current.
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
	default: // a notification is already pending
	}
}
