// Package kvstore defines the interfaces to the platform's key-value store and host
// list.
//
// Clients of a store implement them. Only these clients depend on a store's protocol.
package kvstore

import (
	"context"
	"time"
)

// MaxValueSize is the greatest size of a value in the store, in bytes.
const MaxValueSize = 1 << 20

// Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"` // zero if the key does not exist
	Lease    LeaseID  `json:"lease,omitzero"`
}

// Exists reports whether the key existed when the entry was read.
func (e Entry) Exists() bool { return !e.Revision.IsZero() }

// Write is a conditional write of one key.
type Write struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Expected Revision `json:"expected"`         // current revision of the key, else the write fails; zero if the key must not exist
	Lease    LeaseID  `json:"lease,omitzero"`   // the key is deleted when the lease ends
	Delete   bool     `json:"delete,omitempty"` // delete the key instead of writing Value
}

// HostRecord is one entry of the platform's list of hosts. The list may be out of date.
type HostRecord struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	FleetAddress  string `json:"fleetAddress"` // IP:port of the QUIC listener
	Leaving       bool   `json:"leaving"`
}

// Store is the platform's key-value store. All methods are safe for concurrent
// use and return an *Error on failure. Entries read in different calls may be of different
// eras.
//
// A call that fails with KindUnknownOutcome may have taken effect.
type Store interface {
	// Get returns the entry of key, with revision zero if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key begins with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap performs w if the key has the expected revision. On a
	// mismatch it returns the current entry and an error of KindConflict.
	CompareAndSwap(ctx context.Context, w Write) (Entry, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl. It fails with KindLeaseExpired if
	// the lease has expired or was revoked.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits for a write to a key beginning with prefix whose revision is
	// greater than after, and returns the changed entries and the store's revision.
	// It returns no entries if wait passes without a change. A deleted
	// key is returned with an empty value and revision zero.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) ([]HostRecord, error)
}
