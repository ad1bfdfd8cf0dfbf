package task

import (
	"context"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// FullPolicy selects what Push does while the ring is full.
type FullPolicy uint8

// Policies of a full ring.
const (
	Block      FullPolicy = iota // Push waits for free space
	DropOldest                   // the oldest element is dropped and counted
)

// RingOptions configures a Ring.
type RingOptions[T any] struct {
	Name     string // used in the metric names
	Capacity int    // elements; at least 1
	Full     FullPolicy
	// Key, if set, coalesces elements: a new element replaces a queued one with the
	// same key and keeps its position, also while the ring is full.
	Key     func(T) string
	Metrics metrics.Registry // nil uses a private registry
}

// Ring is a bounded FIFO queue between tasks. It is safe for concurrent use. Metrics:
// duty.ring.NAME.length, duty.ring.NAME.drops and duty.ring.NAME.coalesced.
type Ring[T any] struct {
	options   RingOptions[T]
	length    metrics.Gauge
	drops     metrics.Counter
	coalesced metrics.Counter

	mu       sync.Mutex
	elements []T // circular buffer; its length is the capacity
	head     int
	count    int
	closed   bool
	changed  chan struct{} // closed and replaced by notifyLocked to wake waiters
}

// NewRing returns an empty ring.
func NewRing[T any](options RingOptions[T]) *Ring[T] {
	options.Capacity = max(options.Capacity, 1)
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	prefix := "duty.ring." + options.Name
	return &Ring[T]{
		options:   options,
		length:    metrics.GetOrRegisterGauge(prefix+".length", options.Metrics),
		drops:     metrics.GetOrRegisterCounter(prefix+".drops", options.Metrics),
		coalesced: metrics.GetOrRegisterCounter(prefix+".coalesced", options.Metrics),
		elements:  make([]T, options.Capacity),
		changed:   make(chan struct{}),
	}
}

// Push adds an element according to the ring's policy. It returns the error of ctx if ctx
// ends while Push waits for free space, and a *ClosedError after Close.
func (r *Ring[T]) Push(ctx context.Context, element T) error {
	for {
		added, changed, err := r.tryAdd(element, r.options.Full == DropOldest)
		if added || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TryPush adds an element without waiting. If a ring with the policy Block is full, or if
// the ring is closed, it counts a drop and reports false.
func (r *Ring[T]) TryPush(element T) bool {
	added, _, err := r.tryAdd(element, r.options.Full == DropOldest)
	if !added || err != nil {
		r.drops.Inc(1)
		return false
	}
	return true
}

// tryAdd adds an element, or replaces the queued one with the same key. If the ring is
// full, it drops the oldest element if evict is set; otherwise it adds nothing and returns
// a channel that is closed at the next change.
func (r *Ring[T]) tryAdd(element T, evict bool) (added bool, changed <-chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false, nil, &ClosedError{Ring: r.options.Name}
	}
	if r.coalesceLocked(element) {
		return true, nil, nil
	}
	if r.count == len(r.elements) {
		if !evict {
			return false, r.changed, nil
		}
		r.removeOldestLocked()
		r.drops.Inc(1)
	}
	r.elements[(r.head+r.count)%len(r.elements)] = element
	r.count++
	r.notifyLocked()
	return true, nil, nil
}

// coalesceLocked replaces the queued element with the same key, if there is one. The
// caller holds mu.
func (r *Ring[T]) coalesceLocked(element T) bool {
	if r.options.Key == nil {
		return false
	}
	key := r.options.Key(element)
	for i := range r.count {
		at := (r.head + i) % len(r.elements)
		if r.options.Key(r.elements[at]) == key {
			r.elements[at] = element
			r.coalesced.Inc(1)
			return true
		}
	}
	return false
}

// Pop removes and returns the oldest element. It waits for one if the ring is empty and
// returns the error of ctx if ctx ends first. After Close it returns the remaining
// elements, then a *ClosedError.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		r.mu.Lock()
		if r.count > 0 {
			element := r.removeOldestLocked()
			r.notifyLocked()
			r.mu.Unlock()
			return element, nil
		}
		changed, closed := r.changed, r.closed
		r.mu.Unlock()
		var none T
		if closed {
			return none, &ClosedError{Ring: r.options.Name}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return none, ctx.Err()
		}
	}
}

// TryPop removes and returns the oldest element without waiting. It reports false if the
// ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var none T
		return none, false
	}
	element := r.removeOldestLocked()
	r.notifyLocked()
	return element, true
}

// Len returns the number of queued elements.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Drops returns the number of elements dropped since the ring was created.
func (r *Ring[T]) Drops() int64 { return r.drops.Count() }

// Close makes Push and TryPush refuse further elements and wakes all waiters.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notifyLocked()
}

// removeOldestLocked removes and returns the oldest element of a ring that is not empty.
// The caller holds mu.
func (r *Ring[T]) removeOldestLocked() T {
	var none T
	element := r.elements[r.head]
	r.elements[r.head] = none
	r.head = (r.head + 1) % len(r.elements)
	r.count--
	return element
}

// notifyLocked updates the length metric and wakes all waiters. The caller holds mu.
func (r *Ring[T]) notifyLocked() {
	r.length.Update(int64(r.count))
	close(r.changed)
	r.changed = make(chan struct{})
}
