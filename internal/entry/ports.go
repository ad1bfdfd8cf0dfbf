package entry

import (
	"context"
	"net/http"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/upstream"
)

// Policy is what the front door reads from one accepted configuration.
type Policy interface {
	// KeyOwner returns the client account that owns the key with this digest.
	KeyOwner(digest [32]byte) (account, keyID string, ok bool)
	// Account returns a client account, nil if it does not exist.
	Account(name string) *configuration.ClientAccount
	// Service returns a service, nil if it does not exist.
	Service(name string) *configuration.Service
	// Route returns the route for a path below /SERVICE, nil if there is none.
	Route(service, path string) *configuration.Route
}

// Admitter spends one request of a client account's rate.
type Admitter interface {
	// Admit returns a RateError, a *problem.Problem or the context's error if the
	// request may not go on. Other errors are answered as not ready.
	Admit(ctx context.Context, account string) error
}

// RateError is an admission failure that says when to come back.
type RateError interface {
	error
	After() time.Duration
}

// Permit is the right to send one request to its target.
type Permit interface {
	Target() upstream.Target
	Transport() http.RoundTripper
	Done(upstream.Outcome)
}

// Dispatcher finds a place to run work.
type Dispatcher interface {
	// Acquire returns a *upstream.RefusedError if there is no place in time.
	Acquire(ctx context.Context, work upstream.Work) (Permit, error)
}

// DispatcherFunc adapts a function to Dispatcher.
type DispatcherFunc func(ctx context.Context, work upstream.Work) (Permit, error)

// Acquire implements Dispatcher.
func (f DispatcherFunc) Acquire(ctx context.Context, work upstream.Work) (Permit, error) {
	return f(ctx, work)
}

// UpstreamDispatcher adapts the dispatcher of package upstream.
func UpstreamDispatcher(d *upstream.Dispatcher) Dispatcher {
	return DispatcherFunc(func(ctx context.Context, work upstream.Work) (Permit, error) {
		permit, err := d.Acquire(ctx, work)
		if err != nil {
			return nil, err
		}
		return permit, nil
	})
}

// SnapshotPolicy adapts the configuration in force to Options.Policy.
func SnapshotPolicy(current func() *configuration.Snapshot) func() Policy {
	return func() Policy {
		if snapshot := current(); snapshot != nil {
			return snapshot
		}
		return nil
	}
}
