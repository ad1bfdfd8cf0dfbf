// Package kvstore is the port to the users' key-value store and host list.
//
// Adapters implement Store. Nothing outside an adapter knows a store protocol.
package kvstore

import (
	"context"
	"time"
)

// Revision orders all writes to the store. It never decreases.
type Revision uint64

// LeaseID names one lease in the store. Zero means no lease.
type LeaseID uint64

// MaxValueSize is the largest value that the store holds, in bytes.
const MaxValueSize = 1 << 20

// Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"` // zero if the key does not exist
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Exists reports whether the key held a value.
func (e Entry) Exists() bool { return e.Revision != 0 }

// Write is a conditional write of one key.
type Write struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Expected Revision `json:"expected"`         // revision that the key must have; zero: it must not exist
	Lease    LeaseID  `json:"lease,omitempty"`  // the key is deleted when the lease ends
	Delete   bool     `json:"delete,omitempty"` // deletes the key in place of writing Value
}

// HostRecord is one entry of the platform's list of hosts. The list lags.
type HostRecord struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	FleetAddress  string `json:"fleetAddress"` // IP:port of the QUIC listener
	Leaving       bool   `json:"leaving"`
}

// Store is the platform's key-value store. All methods are safe for concurrent
// use and return a *Error on failure.
//
// A call that fails with KindUnknownOutcome may have taken effect.
type Store interface {
	// Get returns the entry under key; an entry with revision zero if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key begins with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap applies w if the key still has the expected revision. On a
	// mismatch it returns the current entry and an error of KindConflict.
	CompareAndSwap(ctx context.Context, w Write) (Entry, error)
	// Grant creates a lease that ends after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl. It fails with KindLeaseExpired once
	// the lease has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits for a write to a key beginning with prefix whose revision is
	// greater than after, and returns the changed entries and the store's revision.
	// It returns an empty list when wait has passed without a change. A deleted
	// key is returned with an empty value and revision zero.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) ([]HostRecord, error)
}
