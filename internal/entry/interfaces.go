package entry

import (
	"context"
	"net/http"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/upstream"
)

// Policy is the part of an accepted configuration that a Handler reads.
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

// Admitter enforces the request rates of client accounts.
type Admitter interface {
	// Admit takes one request from the account's rate. It returns a RateError, a
	// *problem.Problem or the context's error if the request must be refused. For
	// any other error the handler responds with problem.TypeNotReady.
	Admit(ctx context.Context, account string) error
}

// RateError is an admission error that says after which time a retry is useful.
type RateError interface {
	error
	After() time.Duration
}

// Permit allows one attempt to send a request to its target. Done must be called
// when the attempt has finished.
type Permit interface {
	Target() upstream.Target
	Transport() http.RoundTripper
	Done(upstream.Outcome)
}

// Dispatcher chooses targets for requests.
type Dispatcher interface {
	// Acquire waits for free capacity at a target. It returns a
	// *upstream.RefusedError if there is none in time.
	Acquire(ctx context.Context, work upstream.Work) (Permit, error)
}

// DispatcherFunc adapts a function to Dispatcher.
type DispatcherFunc func(ctx context.Context, work upstream.Work) (Permit, error)

// Acquire implements Dispatcher.
func (f DispatcherFunc) Acquire(ctx context.Context, work upstream.Work) (Permit, error) {
	return f(ctx, work)
}

// UpstreamDispatcher adapts an *upstream.Dispatcher to Dispatcher.
func UpstreamDispatcher(d *upstream.Dispatcher) Dispatcher {
	return DispatcherFunc(func(ctx context.Context, work upstream.Work) (Permit, error) {
		permit, err := d.Acquire(ctx, work)
		if err != nil {
			return nil, err
		}
		return permit, nil
	})
}

// SnapshotPolicy adapts a function that returns the configuration in force to
// Options.Policy.
func SnapshotPolicy(current func() *configuration.Snapshot) func() Policy {
	return func() Policy {
		if snapshot := current(); snapshot != nil {
			return snapshot
		}
		return nil
	}
}
