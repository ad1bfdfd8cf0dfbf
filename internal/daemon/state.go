package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/duty"
	"peridotrail/internal/host"
	"peridotrail/internal/membership"
	"peridotrail/internal/upstream"
)

// state is the side of a host towards the other hosts and the store: who is
// live, who leads, what is in force, and the shares of limits.
type state struct {
	host        *Host
	members     *membership.Service
	distributor *distribution.Distributor
	capacity    upstream.CapacityShare
	admitter    *thinAdmitter
	dispatcher  *upstream.Dispatcher
	leaving     atomic.Bool
}

func newState(h *Host) *state {
	s := &state{host: h}
	s.members = membership.New(membership.Options{
		Self:    h.self,
		Caller:  h.transport,
		Seeds:   h.options.Settings.Fleet.Peers,
		Store:   h.options.Store,
		Logger:  h.logger,
		Metrics: h.options.Metrics,
	})
	s.members.Register(h.transport)
	s.distributor = distribution.New(distribution.Config{
		Self:       h.self,
		Store:      h.options.Store,
		Caller:     h.transport,
		Registry:   h.transport,
		View:       s.members,
		Leadership: soloLeadership{},
		InForce:    h.inForce,
		Logger:     h.logger,
		Metrics:    h.options.Metrics,
	})
	s.capacity = thinCapacity{host: h}
	s.admitter = newThinAdmitter(h)
	s.members.AddProvider(s.digest)
	s.members.OnDigest(s.heard)
	return s
}

// attach completes the wiring with the dispatcher, which needs the state itself.
func (s *state) attach(d *upstream.Dispatcher) { s.dispatcher = d }

func (s *state) run(group *duty.Group) {
	group.Go("membership", s.members.Run)
	group.GoUnwatched("distribution", s.distributor.Run)
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
	s.distributor.Hint(from, configuration.Revision(digest.ConfigurationRevision))
}

// announce tells the other hosts that this one leaves.
func (s *state) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	s.leaving.Store(true)
	s.members.Leave(ctx)
}

const announceTimeout = 2 * time.Second

// handOver gives shares and leadership back to the failure domain.
func (s *state) handOver(context.Context) {
	_ = level.Debug(s.host.logger).Log("event", "handed over")
}
