package kvstore

import (
	"context"
	"time"
)

// Feed is the part of a store that a replica of it needs. All methods are safe for
// concurrent use and return a *Error on failure.
type Feed interface {
	// Snapshot returns all entries whose keys begin with prefix. Its pages may be
	// of different revisions; at is the revision from which a watch misses nothing.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, at Revision, err error)
	// Watch is that of Store. It fails with KindCompacted once the history after
	// the given revision is no longer kept.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Current returns the store's revision, no older than the call.
	Current(ctx context.Context) (Revision, error)
}

// Registrar is the part of a store that keeps entries alive under leases. All
// methods are safe for concurrent use and return a *Error on failure.
type Registrar interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
	// Put writes one key whatever it holds. It fails with KindLeaseExpired if
	// the lease has ended.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
}
