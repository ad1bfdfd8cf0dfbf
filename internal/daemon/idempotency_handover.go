package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
	"peridotrail/internal/leadership"
)

// recordTransferTimeout limits the transfer of the records of idempotency keys.
const recordTransferTimeout = 3 * time.Second

// handOverIssuedKeys moves the records of issued keys to another host. It also forwards
// records of caller keys that this host received from a leader but never used.
func (k *idempotencyKeys) handOverIssuedKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTransferTimeout)
	defer cancel()
	k.callerKeys.Observe() // a leader that was just elected takes over the records that it inherited
	successor, others := k.findSuccessor()
	if successor.ID == "" {
		return // there is no other host, so the records are lost
	}
	if err := k.callerKeys.ForwardHandover(ctx, k.controlPlane.host.transport, successor); err != nil {
		_ = level.Warn(k.controlPlane.host.logger).Log("event", "inherited idempotency keys not passed on", "successor", successor.ID, "err", err)
	}
	if err := k.service.Keeper.HandOver(ctx, k.controlPlane.host.transport, successor, others); err != nil {
		_ = level.Warn(k.controlPlane.host.logger).Log("event", "idempotency keys not handed over", "successor", successor.ID, "err", err)
	}
}

// findSuccessor returns a live host, preferably of this failure domain, and all live
// hosts. Its ID is empty if there is no other live host.
func (k *idempotencyKeys) findSuccessor() (successor host.Identity, live []host.Identity) {
	inDomain := false
	for _, m := range k.controlPlane.members.Members() {
		if m.State != host.StateLive {
			continue
		}
		live = append(live, m.Identity)
		sameDomain := m.Identity.FailureDomain == k.controlPlane.host.self.FailureDomain
		if successor.ID == "" || sameDomain && !inDomain {
			successor, inDomain = m.Identity, sameDomain
		}
	}
	return successor, live
}

// handOverCallerKeys moves the records of caller keys of the leadership term that led
// describes to the next leader.
func (k *idempotencyKeys) handOverCallerKeys(ctx context.Context, led leadership.Status, successor host.Identity) {
	if successor.ID == "" {
		successor, _ = k.findSuccessor() // a host that has just started may become the leader
	}
	if successor.FailureDomain != k.controlPlane.host.self.FailureDomain {
		return // no host of the domain is left to take the records
	}
	term := idempotency.LeadershipTerm{Epoch: led.Epoch, Previous: led.Previous, First: led.First}
	if err := k.callerKeys.HandOver(ctx, k.controlPlane.host.transport, term, successor); err != nil {
		_ = level.Warn(k.controlPlane.host.logger).Log("event", "own idempotency keys not handed over", "successor", successor.ID, "err", err)
	}
}
