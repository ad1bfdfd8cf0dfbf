package clientaccount

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// KeyWithdrawnError is the cancellation cause of a request's context after the key
// of the request was withdrawn.
type KeyWithdrawnError struct{ Account string }

// Error implements error.
func (e *KeyWithdrawnError) Error() string {
	return fmt.Sprintf("the key of client account %q was withdrawn", e.Account)
}

const shardCount = 64

// ActiveRequests is the set of requests that are running or waiting, with their keys.
// It is safe for concurrent use.
type ActiveRequests struct {
	shards [shardCount]shard
}

// shard holds the requests whose key digests belong to it.
type shard struct {
	mu       sync.Mutex // guards requests; never held across I/O
	requests map[*Request]struct{}
}

// Request is one active request. It is safe for concurrent use.
type Request struct {
	digest  Digest
	account string
	cancel  context.CancelCauseFunc
	shard   *shard

	withdrawnAt time.Time // when the request was cancelled because of its key, zero before; guarded by the shard's mu
}

// NewActiveRequests returns an empty set.
func NewActiveRequests() *ActiveRequests {
	a := &ActiveRequests{}
	for i := range a.shards {
		a.shards[i].requests = map[*Request]struct{}{}
	}
	return a
}

// Begin adds a request. Withdraw cancels the returned context with the cause
// *KeyWithdrawnError if the key was withdrawn. The caller must look up the key again
// after Begin, because Withdraw misses a request that looked up its key before the
// withdrawal and is added after it. The caller must call End.
func (a *ActiveRequests) Begin(ctx context.Context, digest Digest, account string) (context.Context, *Request) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &Request{digest: digest, account: account, cancel: cancel, shard: &a.shards[digest[0]%shardCount]}
	r.shard.mu.Lock()
	r.shard.requests[r] = struct{}{}
	r.shard.mu.Unlock()
	return ctx, r
}

// End removes the request and cancels its context.
func (r *Request) End() {
	r.shard.mu.Lock()
	delete(r.shard.requests, r)
	r.shard.mu.Unlock()
	r.cancel(nil)
}

// Withdraw cancels all requests whose key no longer belongs to their client account
// according to owner, and returns their number.
func (a *ActiveRequests) Withdraw(owner func(Digest) (account string, ok bool)) int {
	cancelled := 0
	for i := range a.shards {
		for _, r := range a.shards[i].snapshot() {
			if account, ok := owner(r.digest); ok && account == r.account {
				continue
			}
			r.withdraw()
			cancelled++
		}
	}
	return cancelled
}

// withdraw notes the time of the first withdrawal and cancels the request's context.
func (r *Request) withdraw() {
	r.shard.mu.Lock()
	if r.withdrawnAt.IsZero() {
		r.withdrawnAt = time.Now()
	}
	r.shard.mu.Unlock()
	r.cancel(&KeyWithdrawnError{Account: r.account})
}

// Overdue returns the number of requests that are still active although Withdraw
// cancelled them more than maxDelay before now.
func (a *ActiveRequests) Overdue(now time.Time, maxDelay time.Duration) int {
	overdue := 0
	for i := range a.shards {
		for _, r := range a.shards[i].snapshot() {
			if r.overdue(now, maxDelay) {
				overdue++
			}
		}
	}
	return overdue
}

func (r *Request) overdue(now time.Time, maxDelay time.Duration) bool {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if _, active := r.shard.requests[r]; !active {
		return false
	}
	return !r.withdrawnAt.IsZero() && now.Sub(r.withdrawnAt) > maxDelay
}

// Count returns the number of active requests.
func (a *ActiveRequests) Count() int {
	count := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		count += len(s.requests)
		s.mu.Unlock()
	}
	return count
}

// snapshot returns the requests of the shard.
func (s *shard) snapshot() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := make([]*Request, 0, len(s.requests))
	for r := range s.requests {
		requests = append(requests, r)
	}
	return requests
}
