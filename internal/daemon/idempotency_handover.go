package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
	"peridotrail/internal/leadership"
)

const recordsTimeout = 3 * time.Second // for moving the records of idempotency keys

// handOver moves the records of issued keys to another host.
func (o *once) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	o.own.Observe() // a leader that was elected just now takes over what it inherited
	successor, others := o.successor()
	if successor.ID == "" {
		return // the only host: its keys end with it
	}
	if err := o.own.ForwardHandover(ctx, o.state.host.transport, successor); err != nil {
		_ = level.Warn(o.state.host.logger).Log("event", "inherited idempotency keys not passed on", "successor", successor.ID, "err", err)
	}
	if err := o.service.Keeper.HandOver(ctx, o.state.host.transport, successor, others); err != nil {
		_ = level.Warn(o.state.host.logger).Log("event", "idempotency keys not handed over", "successor", successor.ID, "err", err)
	}
}

// successor returns a live host, of this failure domain if there is one, and all
// live hosts.
func (o *once) successor() (successor host.Identity, live []host.Identity) {
	near := false
	for _, m := range o.state.members.Members() {
		if m.State != host.StateLive {
			continue
		}
		live = append(live, m.Identity)
		same := m.Identity.FailureDomain == o.state.host.self.FailureDomain
		if successor.ID == "" || same && !near {
			successor, near = m.Identity, same
		}
	}
	return successor, live
}

// handOverOwn moves the records of own keys to the next leader.
func (o *once) handOverOwn(ctx context.Context, led leadership.Status, successor host.Identity) {
	if successor.ID == "" {
		successor, _ = o.successor() // a host that has just started may lead next
	}
	if successor.FailureDomain != o.state.host.self.FailureDomain {
		return // no host of the domain is left to take the records
	}
	tenure := idempotency.LeadershipTerm{Epoch: led.Epoch, Previous: led.Previous, First: led.First}
	if err := o.own.HandOver(ctx, o.state.host.transport, tenure, successor); err != nil {
		_ = level.Warn(o.state.host.logger).Log("event", "own idempotency keys not handed over", "successor", successor.ID, "err", err)
	}
}
