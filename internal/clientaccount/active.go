package clientaccount

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// KeyWithdrawnError is the cause with which the context of a request ends when
// its key is withdrawn.
type KeyWithdrawnError struct{ Account string }

// Error implements error.
func (e *KeyWithdrawnError) Error() string {
	return fmt.Sprintf("the key of client account %q was withdrawn", e.Account)
}

const shardCount = 64

// Active holds the requests that run or wait under a key. It is safe for
// concurrent use.
type Active struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex // guards requests; never held across I/O
	requests map[*Request]struct{}
}

// Request is one active request of a key.
type Request struct {
	digest  Digest
	account string
	cancel  context.CancelCauseFunc
	shard   *shard

	withdrawn time.Time // when the key was withdrawn, zero before; guarded by the shard's mu
}

// NewActive returns an empty set.
func NewActive() *Active {
	a := &Active{}
	for i := range a.shards {
		a.shards[i].requests = map[*Request]struct{}{}
	}
	return a
}

// Begin adds a request. The returned context ends with a *KeyWithdrawnError when
// Withdraw drops the key. The caller looks the key up again after Begin, so that
// a withdrawal between its first look-up and Begin is not missed.
func (a *Active) Begin(ctx context.Context, digest Digest, account string) (context.Context, *Request) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &Request{digest: digest, account: account, cancel: cancel, shard: &a.shards[digest[0]%shardCount]}
	r.shard.mu.Lock()
	r.shard.requests[r] = struct{}{}
	r.shard.mu.Unlock()
	return ctx, r
}

// End removes the request and releases its context.
func (r *Request) End() {
	r.shard.mu.Lock()
	delete(r.shard.requests, r)
	r.shard.mu.Unlock()
	r.cancel(nil)
}

// Withdraw ends all requests whose key no longer belongs to their client
// account, as decided by owner, and returns how many there were.
func (a *Active) Withdraw(owner func(Digest) (account string, ok bool)) int {
	ended := 0
	for i := range a.shards {
		for _, r := range a.shards[i].snapshot() {
			if account, ok := owner(r.digest); ok && account == r.account {
				continue
			}
			r.withdraw()
			ended++
		}
	}
	return ended
}

func (r *Request) withdraw() {
	r.shard.mu.Lock()
	if r.withdrawn.IsZero() {
		r.withdrawn = time.Now()
	}
	r.shard.mu.Unlock()
	r.cancel(&KeyWithdrawnError{Account: r.account})
}

// Overdue returns the number of requests that are still active although their
// key was withdrawn more than limit before now.
func (a *Active) Overdue(now time.Time, limit time.Duration) int {
	overdue := 0
	for i := range a.shards {
		for _, r := range a.shards[i].snapshot() {
			if r.overdue(now, limit) {
				overdue++
			}
		}
	}
	return overdue
}

func (r *Request) overdue(now time.Time, limit time.Duration) bool {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if _, active := r.shard.requests[r]; !active {
		return false
	}
	return !r.withdrawn.IsZero() && now.Sub(r.withdrawn) > limit
}

// Count returns the number of active requests.
func (a *Active) Count() int {
	count := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		count += len(s.requests)
		s.mu.Unlock()
	}
	return count
}

func (s *shard) snapshot() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := make([]*Request, 0, len(s.requests))
	for r := range s.requests {
		requests = append(requests, r)
	}
	return requests
}
