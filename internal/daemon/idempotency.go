package daemon

import (
	"context"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
)

// idempotencyKeys holds the keepers and the client of idempotency keys.
type idempotencyKeys struct {
	controlPlane *controlPlane
	callerKeys   *idempotency.CallerKeyKeeper
	service      *idempotency.Service
	client       *idempotency.Client
}

func newIdempotencyKeys(c *controlPlane) *idempotencyKeys {
	self := c.host.self
	k := &idempotencyKeys{controlPlane: c}
	k.callerKeys = idempotency.NewCallerKeyKeeper(self, time.Now, c.leadership, k.failureDomains)
	k.service = &idempotency.Service{Keeper: idempotency.NewKeeper(self, time.Now), CallerKeys: k.callerKeys}
	k.service.Register(c.host.transport)
	k.client = &idempotency.Client{
		Self: self, Local: k.service, Calls: c.host.transport,
		FindHost: k.findHost, Leader: k.findDomainLeader, Domains: k.failureDomains,
	}
	return k
}

func (k *idempotencyKeys) run(ctx context.Context) error {
	k.callerKeys.Run(ctx)
	return nil
}

// findHost returns the identity of the process of a host, as of its last heartbeat.
func (k *idempotencyKeys) findHost(id host.ID) (host.Identity, bool) {
	if id == k.controlPlane.host.self.ID {
		return k.controlPlane.host.self, true
	}
	for _, member := range k.controlPlane.members.Members() {
		if member.Identity.ID == id && member.State != host.StateGone {
			return member.Identity, true
		}
	}
	return host.Identity{}, false
}

// findDomainLeader returns the last known leader of a failure domain.
func (k *idempotencyKeys) findDomainLeader(domain string) (host.Identity, bool) {
	if domain == k.controlPlane.host.self.FailureDomain {
		leader, _, ok := k.controlPlane.leadership.Current()
		return leader, ok
	}
	for _, d := range k.controlPlane.members.View().Domains {
		if d.Domain == domain && d.Leader != "" {
			return k.findHost(d.Leader)
		}
	}
	return host.Identity{}, false
}

// failureDomains returns the configured failure domains, or the zero value before the
// first configuration.
func (k *idempotencyKeys) failureDomains() idempotency.Domains {
	snapshot := k.controlPlane.host.inForce.Current()
	if snapshot == nil {
		return idempotency.Domains{}
	}
	domains := idempotency.Domains{
		Revision: snapshot.Revision,
		Fresh:    k.controlPlane.distributor.ContactAge(time.Now()) < idempotency.MaxStaleness,
	}
	for _, domain := range snapshot.FailureDomains {
		domains.Names = append(domains.Names, domain.Name)
	}
	return domains
}
