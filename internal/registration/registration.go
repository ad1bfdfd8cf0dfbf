// Package registration keeps the entry of one host alive in the store.
package registration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
)

// Prefix begins the keys of hosts in the store.
const Prefix = "hosts/"

// Options configures Run.
type Options struct {
	Store    kvstore.Registrar
	Host     catalog.Host
	Logger   log.Logger
	TTL      time.Duration // of the lease
	Interval time.Duration // between renewals
}

// callTimeout bounds one call, shorter than the TTL leaves between renewals.
const callTimeout = 1 * time.Second

// retryPart is the part of the interval after which a failed call is repeated.
const retryPart = 3

// Run registers the host and renews its lease until ctx ends, then withdraws it.
func Run(ctx context.Context, o Options) {
	var lease kvstore.LeaseID
	for ctx.Err() == nil {
		next, err := o.keep(ctx, lease)
		if err != nil && ctx.Err() == nil {
			_ = level.Warn(o.Logger).Log("event", "registration not renewed", "lease", lease, "err", err)
		}
		lease = next
		pause := o.Interval
		if err != nil {
			pause /= retryPart
		}
		timer := time.NewTimer(pause - pause/10 + rand.N(pause/5))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	if lease != 0 {
		o.withdraw(lease)
	}
}

// keep renews the lease, or makes a new one. It returns the lease to renew next.
func (o Options) keep(ctx context.Context, lease kvstore.LeaseID) (kvstore.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		err := o.Store.Renew(ctx, lease)
		if !kvstore.IsKind(err, kvstore.KindLeaseExpired) {
			return lease, err
		}
	}
	lease, err := o.Store.Grant(ctx, o.TTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(o.Host)
	if err != nil {
		return 0, err
	}
	if err := o.Store.Put(ctx, key(o.Host.Name, lease), value, lease); err != nil {
		return 0, err
	}
	_ = level.Info(o.Logger).Log("event", "host registered", "host", o.Host.Name, "lease", lease)
	return lease, nil
}

// key is the host's key under one lease. A write whose answer was lost may take
// effect late; under a key of its own it can't replace a newer entry and take it
// along when its lease ends.
func key(name string, lease kvstore.LeaseID) string {
	return Prefix + name + "/" + strconv.FormatUint(uint64(lease), 10)
}

func (o Options) withdraw(lease kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := o.Store.Revoke(ctx, lease); err != nil {
		_ = level.Warn(o.Logger).Log("event", "registration not withdrawn", "lease", lease, "err", err)
		return
	}
	_ = level.Info(o.Logger).Log("event", "host withdrawn", "host", o.Host.Name)
}
