// Package registration keeps the entry of a host in the store under a lease.
package registration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
)

// Prefix is the prefix of the keys of hosts in the store.
const Prefix = "hosts/"

// Options configures Run.
type Options struct {
	Store    kvstore.Registrar
	Host     catalog.Host
	Logger   log.Logger
	TTL      time.Duration // of the lease, longer than Interval
	Interval time.Duration // between renewals; varied by up to 10 %
	// Complete adds to the entry what is known when the host registers under a lease. nil: not
	// called.
	Complete func(host *catalog.Host, lease kvstore.LeaseID)
	// OnLease is called when the host is registered and after each renewal, with the
	// lease and the instant until which it is certain to exist, and with zeros before
	// the lease is revoked. nil: not called.
	OnLease func(lease kvstore.LeaseID, validUntil boottime.Instant)
}

// callTimeout limits one registration or renewal. It is short enough for another
// one before the lease expires.
const callTimeout = 1 * time.Second

// retryDivisor divides Interval for the delay before a failed registration or
// renewal is retried.
const retryDivisor = 3

// Run registers the host and renews its lease until ctx ends, then revokes the lease,
// which removes the entry. Failures are logged and retried.
func Run(ctx context.Context, o Options) {
	var lease kvstore.LeaseID
	for ctx.Err() == nil {
		renewed, err := o.renewOrRegister(ctx, lease)
		if err != nil && ctx.Err() == nil {
			_ = level.Warn(o.Logger).Log("event", "registration not renewed", "lease", lease, "err", err)
		}
		lease = renewed
		pause := o.Interval
		if err != nil {
			pause /= retryDivisor
		}
		timer := time.NewTimer(pause - pause/10 + rand.N(pause/5))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	if !lease.IsZero() {
		o.reportLease(kvstore.LeaseID{}, 0)
		o.withdraw(lease)
	}
}

// renewOrRegister renews the lease. If there is none or it has expired, it registers
// the host under a new lease. It returns the lease to renew next, zero if there is
// none.
func (o Options) renewOrRegister(ctx context.Context, lease kvstore.LeaseID) (kvstore.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !lease.IsZero() {
		sent := boottime.Now()
		err := o.Store.Renew(ctx, lease)
		if err == nil {
			o.reportLease(lease, sent)
		}
		if !kvstore.IsKind(err, kvstore.KindLeaseExpired) {
			return lease, err
		}
	}
	sent := boottime.Now()
	lease, err := o.Store.Grant(ctx, o.TTL)
	if err != nil {
		return kvstore.LeaseID{}, err
	}
	if o.Complete != nil {
		o.Complete(&o.Host, lease)
	}
	value, err := json.Marshal(o.Host)
	if err != nil {
		return kvstore.LeaseID{}, err
	}
	if err := o.Store.Put(ctx, hostKey(o.Host.Name, lease), value, lease); err != nil {
		return kvstore.LeaseID{}, err
	}
	o.reportLease(lease, sent)
	_ = level.Info(o.Logger).Log("event", "host registered", "host", o.Host.Name, "lease", lease)
	return lease, nil
}

// reportLease calls OnLease for a lease that was granted or renewed by a call sent at
// the given instant, zero if there is no lease. The store counts the TTL from the
// arrival of the call, so the lease exists at least for the TTL after its sending.
func (o Options) reportLease(lease kvstore.LeaseID, sent boottime.Instant) {
	if o.OnLease == nil {
		return
	}
	if lease.IsZero() {
		o.OnLease(lease, 0)
		return
	}
	o.OnLease(lease, sent.Add(o.TTL))
}

// hostKey returns the key of the host's entry under a lease. Each lease has a key of
// its own because a write whose response was lost may take effect late: with a common
// key it could replace the newer entry, which would then disappear when the old
// lease ends.
func hostKey(name string, lease kvstore.LeaseID) string {
	return Prefix + name + "/" + lease.String()
}

// withdraw revokes the lease. If that fails, the entry stays until the lease expires.
func (o Options) withdraw(lease kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := o.Store.Revoke(ctx, lease); err != nil {
		_ = level.Warn(o.Logger).Log("event", "registration not withdrawn", "lease", lease, "err", err)
		return
	}
	_ = level.Info(o.Logger).Log("event", "host withdrawn", "host", o.Host.Name)
}
