package daemon

import (
	"context"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
)

// once keeps and finds the records of idempotency keys.
type once struct {
	state   *state
	own     *idempotency.CallerKeyKeeper
	service *idempotency.Service
	client  *idempotency.Client
}

func newOnce(s *state) *once {
	self := s.host.self
	o := &once{state: s}
	o.own = idempotency.NewCallerKeyKeeper(self, time.Now, s.leaders, o.domains)
	o.service = &idempotency.Service{Keeper: idempotency.NewKeeper(self, time.Now), CallerKeys: o.own}
	o.service.Register(s.host.transport)
	o.client = &idempotency.Client{
		Self: self, Local: o.service, Calls: s.host.transport,
		FindHost: o.find, Leader: o.leader, Domains: o.domains,
	}
	return o
}

func (o *once) run(ctx context.Context) error {
	o.own.Run(ctx)
	return nil
}

// find returns the process of a host that heartbeats last named.
func (o *once) find(id host.ID) (host.Identity, bool) {
	if id == o.state.host.self.ID {
		return o.state.host.self, true
	}
	for _, member := range o.state.members.Members() {
		if member.Identity.ID == id && member.State != host.StateGone {
			return member.Identity, true
		}
	}
	return host.Identity{}, false
}

// leader returns the host that leads a failure domain, as last heard.
func (o *once) leader(domain string) (host.Identity, bool) {
	if domain == o.state.host.self.FailureDomain {
		leader, _, ok := o.state.leaders.Current()
		return leader, ok
	}
	for _, d := range o.state.members.View().Domains {
		if d.Domain == domain && d.Leader != "" {
			return o.find(d.Leader)
		}
	}
	return host.Identity{}, false
}

// domains returns the configured failure domains.
func (o *once) domains() idempotency.Domains {
	snapshot := o.state.host.inForce.Current()
	if snapshot == nil {
		return idempotency.Domains{}
	}
	known := idempotency.Domains{
		Revision: snapshot.Revision,
		Fresh:    o.state.distributor.ContactAge(time.Now()) < idempotency.MaxStaleness,
	}
	for _, domain := range snapshot.FailureDomains {
		known.Names = append(known.Names, domain.Name)
	}
	return known
}
