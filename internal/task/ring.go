package task

import (
	"context"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// FullPolicy says what Push does while the ring is full.
type FullPolicy uint8

// Policies of a full ring.
const (
	Block      FullPolicy = iota // Push waits for room
	DropOldest                   // the oldest element is dropped and counted
)

// RingOptions configures a Ring.
type RingOptions[T any] struct {
	Name     string // part of the metrics' names
	Capacity int    // elements; at least 1
	Full     FullPolicy
	// Key, if set, coalesces: an element replaces the waiting one of equal key,
	// in its place in the order, before Full applies.
	Key     func(T) string
	Metrics metrics.Registry // nil counts in a private registry
}

// Ring is a bounded first-in, first-out queue between duties. It is safe for
// concurrent use. The metrics duty.ring.NAME.length, .drops and .coalesced tell
// its state.
type Ring[T any] struct {
	options   RingOptions[T]
	length    metrics.Gauge
	drops     metrics.Counter
	coalesced metrics.Counter

	mu       sync.Mutex
	elements []T // circular, len is the capacity
	head     int
	count    int
	closed   bool
	changed  chan struct{} // closed and replaced at each change that wakes waiters
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

// Push adds an element under the ring's policy. It returns the error of ctx if
// that ends while Push waits for room, and a *ClosedError after Close.
func (r *Ring[T]) Push(ctx context.Context, element T) error {
	for {
		done, wait, err := r.offer(element, r.options.Full == DropOldest)
		if done || err != nil {
			return err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TryPush adds an element without waiting. It reports false, and counts a drop,
// if a ring with the policy Block is full or if the ring is closed.
func (r *Ring[T]) TryPush(element T) bool {
	done, _, err := r.offer(element, r.options.Full == DropOldest)
	if !done || err != nil {
		r.drops.Inc(1)
		return false
	}
	return true
}

func (r *Ring[T]) offer(element T, evict bool) (done bool, wait <-chan struct{}, err error) {
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
		r.takeLocked()
		r.drops.Inc(1)
	}
	r.elements[(r.head+r.count)%len(r.elements)] = element
	r.count++
	r.notifyLocked()
	return true, nil, nil
}

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

// Pop removes the oldest element and waits for one if the ring is empty. After
// Close it returns the elements left, then a *ClosedError.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		r.mu.Lock()
		if r.count > 0 {
			element := r.takeLocked()
			r.notifyLocked()
			r.mu.Unlock()
			return element, nil
		}
		wait, closed := r.changed, r.closed
		r.mu.Unlock()
		var none T
		if closed {
			return none, &ClosedError{Ring: r.options.Name}
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return none, ctx.Err()
		}
	}
}

// TryPop removes the oldest element if there is one.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var none T
		return none, false
	}
	element := r.takeLocked()
	r.notifyLocked()
	return element, true
}

// Len returns the number of waiting elements.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Drops returns the number of elements dropped since the start.
func (r *Ring[T]) Drops() int64 { return r.drops.Count() }

// Close refuses further elements and wakes all waiters.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notifyLocked()
}

func (r *Ring[T]) takeLocked() T {
	var none T
	element := r.elements[r.head]
	r.elements[r.head] = none
	r.head = (r.head + 1) % len(r.elements)
	r.count--
	return element
}

func (r *Ring[T]) notifyLocked() {
	r.length.Update(int64(r.count))
	close(r.changed)
	r.changed = make(chan struct{})
}
