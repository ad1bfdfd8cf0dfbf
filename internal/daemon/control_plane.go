package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"peridotrail/internal/admission"
	"peridotrail/internal/allotment/holder"
	"peridotrail/internal/allotment/leader"
	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/host"
	"peridotrail/internal/leadership"
	"peridotrail/internal/membership"
	"peridotrail/internal/servicelevel"
	"peridotrail/internal/settings"
	"peridotrail/internal/task"
	"peridotrail/internal/upstream"
)

// leaveStepTimeout limits each step in which a host leaves the fleet.
const leaveStepTimeout = 2 * time.Second

// controlPlane coordinates a host with the other hosts and the store: membership,
// leadership, the distribution of the configuration, and the shares of limits.
type controlPlane struct {
	host            *Host
	members         *membership.Service
	election        *leadership.Service
	leadership      domainLeadership
	distributor     *distribution.Distributor
	admitter        *admission.Admitter
	allotmentHolder *holder.Holder
	allotmentLeader *leader.Leader
	burnTracker     *servicelevel.Tracker
	dispatcher      *upstream.Dispatcher
	transports      *transports
	leaving         atomic.Bool
}

func newControlPlane(h *Host) *controlPlane {
	c := &controlPlane{host: h, transports: newTransports(h.transport)}
	c.wireMembership()
	c.wireDistribution()
	c.wireAllotment()
	c.burnTracker = servicelevel.New(servicelevel.Config{
		Self: h.self, Store: h.options.Store, Caller: h.transport, Registry: h.transport,
		View: c.members, Leadership: c.leadership, InForce: h.inForce, Logger: h.logger, Metrics: h.options.Metrics,
	})
	c.members.AddProvider(c.fillDigest)
	c.members.OnDigest(c.handleDigest)
	return c
}

func (c *controlPlane) wireMembership() {
	h := c.host
	c.members = membership.New(membership.Options{
		Self: h.self, Caller: h.transport, Seeds: h.options.Settings.Fleet.Peers, Store: h.options.Store,
		Leadership: func() membership.Leadership { return c.election.Leadership() },
		Logger:     h.logger, Metrics: h.options.Metrics,
	})
	c.election = leadership.New(leadership.Options{
		Self: h.self, Store: h.options.Store, View: c.members.View, Caller: h.transport,
		Logger: h.logger, Metrics: h.options.Metrics,
		BeforeHandOver: func(ctx context.Context, led leadership.Status, successor host.Identity) {
			h.dataPlane.idempotency.handOverCallerKeys(ctx, led, successor)
		},
	})
	c.leadership = domainLeadership{election: c.election}
	c.members.Register(h.transport)
	c.election.Register(h.transport)
}

func (c *controlPlane) wireDistribution() {
	h := c.host
	stale := h.options.Settings.StaleKey
	c.distributor = distribution.New(distribution.Config{
		Self: h.self, Store: h.options.Store, Caller: h.transport, Registry: h.transport,
		View: c.members, Leadership: c.leadership, InForce: h.inForce, Logger: h.logger, Metrics: h.options.Metrics,
		StaleKeys: distribution.StaleKeys{Refuse: stale.Policy == settings.StaleKeyRefuse, After: stale.After.Std()},
	})
}

func (c *controlPlane) wireAllotment() {
	h := c.host
	c.admitter = admission.New(admission.Options{
		View: c.members, Caller: h.transport, Registry: h.transport, Leadership: c.leadership, Metrics: h.options.Metrics,
	})
	c.allotmentLeader = leader.New(leader.Options{
		Self: h.self, Store: h.options.Store, View: c.members, Caller: h.transport, Registry: h.transport,
		Leadership: c.leadership, Snapshot: h.inForce.Current, Logger: h.logger, Metrics: h.options.Metrics,
	})
	c.admitter.SetLenders(c.allotmentLeader.Lenders)
	c.allotmentHolder = holder.New(holder.Options{
		Self: h.self, Caller: h.transport, Leadership: c.leadership, LocalLeader: c.allotmentLeader,
		Accounts: c.admitter, Upstreams: c.upstreamUsage, View: c.members, Registry: h.transport, Logger: h.logger, Metrics: h.options.Metrics,
	})
}

// setDispatcher sets the dispatcher, which is created later because it needs the
// control plane.
func (c *controlPlane) setDispatcher(d *upstream.Dispatcher) { c.dispatcher = d }

func (c *controlPlane) run(group *task.Group) {
	group.Go("membership", c.members.Run)
	group.Go("leadership", c.election.Run)
	group.Go("allotment-leader", c.allotmentLeader.Run)
	group.Go("allotment-holder", c.allotmentHolder.Run)
	group.Go("admission", c.admitter.Run)
	group.GoUnwatched("distribution", c.distributor.Run)
	group.GoUnwatched("burn", c.burnTracker.Run)
	group.GoUnwatched("accounts", c.configureAccounts)
}

// configureAccounts passes the client accounts of each new configuration to the
// admitter, until ctx ends.
func (c *controlPlane) configureAccounts(ctx context.Context) error {
	changes := c.host.inForce.Subscribe()
	defer changes.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes.Changed():
		}
		bursts := map[string]float64{}
		for _, account := range c.host.inForce.Current().ClientAccounts {
			bursts[account.Name] = float64(account.Burst)
		}
		c.admitter.Configure(bursts)
	}
}

// upstreamUsage returns this host's use of the failure domain's upstreams, from which
// their slots are divided among the hosts.
func (c *controlPlane) upstreamUsage() []holder.UpstreamUsage {
	loads := c.dispatcher.Loads()
	usage := make([]holder.UpstreamUsage, 0, len(loads))
	for _, load := range loads {
		usage = append(usage, holder.UpstreamUsage{
			Upstream: load.Upstream, InUse: load.InUse, Wanted: float64(load.Wanted),
			Connections: c.transports.openConnections(load.Upstream),
		})
	}
	return usage
}

// fillDigest sets the fields of the digest that the heartbeats of this host carry.
func (c *controlPlane) fillDigest(d *membership.Digest) {
	d.ConfigurationRevision = uint64(c.host.inForce.Revision())
	for service, free := range c.dispatcher.FreeSlots() {
		d.Services = append(d.Services, membership.ServiceLoad{Service: service, FreeSlots: free})
	}
}

// handleDigest passes the digest of another host's heartbeat to the components that
// use it.
func (c *controlPlane) handleDigest(from host.Identity, digest membership.Digest) {
	c.election.OnDigest(from, digest)
	c.distributor.ObserveRevision(from, configuration.Revision(digest.ConfigurationRevision))
}

// announceLeaving announces to the other hosts that this one is leaving.
func (c *controlPlane) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveStepTimeout)
	defer cancel()
	c.leaving.Store(true)
	c.members.Leave(ctx)
}

// handOverSharesAndLeadership returns borrowed tokens and the shares of limits, then
// hands over the leadership.
func (c *controlPlane) handOverSharesAndLeadership(ctx context.Context) {
	for _, step := range []func(context.Context){
		c.admitter.ReturnLoans, c.allotmentHolder.Leave, c.allotmentLeader.Leave, c.election.HandOver,
	} {
		stepCtx, cancel := context.WithTimeout(ctx, leaveStepTimeout)
		step(stepCtx)
		cancel()
	}
}
