package kvstore

import (
	"context"
	"time"
)

// Feed is the part of a store needed to replicate its entries. All methods are safe
// for concurrent use and return an *Error on failure.
type Feed interface {
	// Snapshot returns all entries whose keys begin with prefix, all of the era of at. It
	// may read them in several pages at different revisions; a watch after the revision at
	// misses no later change. It fails with KindEraEnded if the era rises meanwhile.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, at Revision, err error)
	// Watch behaves like Store.Watch. All that it returns is of the era of after. It fails
	// with KindCompacted if the store no longer keeps the changes after the given revision
	// and with KindEraEnded if the era of after has ended.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Current returns the store's revision at some time during the call. It fails with
	// KindEraEnded if a newer era was seen meanwhile.
	Current(ctx context.Context) (Revision, error)
	// Eras returns the eras that the responses to all calls have named.
	Eras() *EraTracker
}

// Committer is the part of a store needed for conditional writes of several keys. All
// methods are safe for concurrent use and return an *Error on failure.
type Committer interface {
	// Commit performs all writes if each key has the expected revision, and otherwise
	// none. It returns the revision of the last write; the others may have lower ones.
	// It fails with KindConflict if a key has another revision, with KindLeaseExpired if a
	// lease has ended, and with KindEraEnded, without a call, if a revision or a lease is of
	// an era that is known to have ended. If the era rises during the call the outcome is
	// unknown.
	Commit(ctx context.Context, writes []Write) (Revision, error)
}

// Registrar is the part of a store needed to keep entries that expire with a lease.
// All methods are safe for concurrent use and return an *Error on failure.
type Registrar interface {
	// Grant, Renew and Revoke behave like those of Store. Renew and Revoke fail with
	// KindLeaseExpired if the era of the lease has ended, even if the store has a lease with
	// the same number.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
	// Put writes one key unconditionally. It fails with KindLeaseExpired if
	// the lease has ended.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
}
