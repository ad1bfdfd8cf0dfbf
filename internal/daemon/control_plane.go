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

const announceTimeout = 2 * time.Second

// state is the side of a host towards the other hosts and the store: who is
// live, who leads, what is in force, and the shares of limits.
type state struct {
	host        *Host
	members     *membership.Service
	election    *leadership.Service
	leaders     leaders
	distributor *distribution.Distributor
	admitter    *admission.Admitter
	capacity    *holder.Holder
	allotment   *leader.Leader
	burn        *servicelevel.Tracker
	dispatcher  *upstream.Dispatcher
	transports  *transports
	leaving     atomic.Bool
}

func newState(h *Host) *state {
	s := &state{host: h, transports: newTransports(h.transport)}
	s.wireMembership()
	s.wireDistribution()
	s.wireAllotment()
	s.burn = servicelevel.New(servicelevel.Config{
		Self: h.self, Store: h.options.Store, Caller: h.transport, Registry: h.transport,
		View: s.members, Leadership: s.leaders, InForce: h.inForce, Logger: h.logger, Metrics: h.options.Metrics,
	})
	s.members.AddProvider(s.digest)
	s.members.OnDigest(s.heard)
	return s
}

func (s *state) wireMembership() {
	h := s.host
	s.members = membership.New(membership.Options{
		Self: h.self, Caller: h.transport, Seeds: h.options.Settings.Fleet.Peers, Store: h.options.Store,
		Leadership: func() membership.Leadership { return s.election.Leadership() },
		Logger:     h.logger, Metrics: h.options.Metrics,
	})
	s.election = leadership.New(leadership.Options{
		Self: h.self, Store: h.options.Store, View: s.members.View, Caller: h.transport,
		Logger: h.logger, Metrics: h.options.Metrics,
		BeforeHandOver: func(ctx context.Context, led leadership.Status, successor host.Identity) {
			h.front.once.handOverOwn(ctx, led, successor)
		},
	})
	s.leaders = leaders{election: s.election}
	s.members.Register(h.transport)
	s.election.Register(h.transport)
}

func (s *state) wireDistribution() {
	h := s.host
	stale := h.options.Settings.StaleKey
	s.distributor = distribution.New(distribution.Config{
		Self: h.self, Store: h.options.Store, Caller: h.transport, Registry: h.transport,
		View: s.members, Leadership: s.leaders, InForce: h.inForce, Logger: h.logger, Metrics: h.options.Metrics,
		StaleKeys: distribution.StaleKeys{Refuse: stale.Policy == settings.StaleKeyRefuse, After: stale.After.Std()},
	})
}

func (s *state) wireAllotment() {
	h := s.host
	s.admitter = admission.New(admission.Options{
		View: s.members, Caller: h.transport, Registry: h.transport, Leadership: s.leaders, Metrics: h.options.Metrics,
	})
	s.allotment = leader.New(leader.Options{
		Self: h.self, Store: h.options.Store, View: s.members, Caller: h.transport, Registry: h.transport,
		Leadership: s.leaders, Snapshot: h.inForce.Current, Logger: h.logger, Metrics: h.options.Metrics,
	})
	s.admitter.SetLenders(s.allotment.Lenders)
	s.capacity = holder.New(holder.Options{
		Self: h.self, Caller: h.transport, Leadership: s.leaders, LocalLeader: s.allotment,
		Accounts: s.admitter, Upstreams: s.loads, View: s.members, Registry: h.transport, Logger: h.logger, Metrics: h.options.Metrics,
	})
}

// attach completes the wiring with the dispatcher, which needs the state itself.
func (s *state) attach(d *upstream.Dispatcher) { s.dispatcher = d }

func (s *state) run(group *task.Group) {
	group.Go("membership", s.members.Run)
	group.Go("leadership", s.election.Run)
	group.Go("allotment-leader", s.allotment.Run)
	group.Go("allotment-holder", s.capacity.Run)
	group.Go("admission", s.admitter.Run)
	group.GoUnwatched("distribution", s.distributor.Run)
	group.GoUnwatched("burn", s.burn.Run)
	group.GoUnwatched("accounts", s.followAccounts)
}

// followAccounts makes the client accounts of each configuration known to
// admission.
func (s *state) followAccounts(ctx context.Context) error {
	changes := s.host.inForce.Subscribe()
	defer changes.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes.Changed():
		}
		bursts := map[string]float64{}
		for _, account := range s.host.inForce.Current().ClientAccounts {
			bursts[account.Name] = float64(account.Burst)
		}
		s.admitter.Configure(bursts)
	}
}

// loads reports the use of the domain's upstreams for the division of slots.
func (s *state) loads() []holder.UpstreamLoad {
	loads := s.dispatcher.Loads()
	reports := make([]holder.UpstreamLoad, 0, len(loads))
	for _, load := range loads {
		reports = append(reports, holder.UpstreamLoad{
			Upstream: load.Upstream, InUse: load.InUse, Wanted: float64(load.Wanted),
			Connections: s.transports.open(load.Upstream),
		})
	}
	return reports
}

// digest fills in what the heartbeats of this host say.
func (s *state) digest(d *membership.Digest) {
	d.ConfigurationRevision = uint64(s.host.inForce.Revision())
	for service, free := range s.dispatcher.FreeSlots() {
		d.Services = append(d.Services, membership.ServiceLoad{Service: service, FreeSlots: free})
	}
}

// heard passes on what another host's heartbeat says.
func (s *state) heard(from host.Identity, digest membership.Digest) {
	s.election.OnDigest(from, digest)
	s.distributor.Hint(from, configuration.Revision(digest.ConfigurationRevision))
}

// announce tells the other hosts that this one leaves.
func (s *state) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	s.leaving.Store(true)
	s.members.Leave(ctx)
}

// handOver gives shares and leadership back to the failure domain.
func (s *state) handOver(ctx context.Context) {
	for _, step := range []func(context.Context){
		s.admitter.ReturnLoans, s.capacity.Leave, s.allotment.Leave, s.election.HandOver,
	} {
		bounded, cancel := context.WithTimeout(ctx, announceTimeout)
		step(bounded)
		cancel()
	}
}
