package upstream

import (
	"context"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/upstream/room"
)

// KindRoom is the kind of message that asks another host for a room grant.
const KindRoom fleet.Kind = "upstream/room"

// sweepInterval is the time between two sweeps of the queues.
const sweepInterval = 50 * time.Millisecond

// Register adds the Dispatcher's message handlers to the transport between hosts.
func (d *Dispatcher) Register(registry fleet.Registry) {
	registry.Handle(KindRoom, d.handleRoomRequest)
	registry.Handle(KindReports, d.receiveProbeResults)
}

// Run requests room grants from peers and sweeps the queues until ctx ends. It
// returns when all requests that it sent have ended.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer d.roomRequests.Wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			d.requestRoom(ctx)
		case <-ticker.C:
			d.sweep()
			d.requestRoom(ctx)
		}
	}
}

// wakeTask makes Run request room grants without waiting for the next sweep.
// Several calls may cause a single wake-up.
func (d *Dispatcher) wakeTask() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) sweep() {
	now := d.now()
	current := d.current()
	d.applyEgress(current.source)
	for _, s := range current.services {
		s.sweep(now)
	}
}

// requestRoom sends the requests for room grants that are due.
func (d *Dispatcher) requestRoom(ctx context.Context) {
	now := d.now()
	current := d.current()
	peers := d.currentPeers(now)
	for service, s := range current.services {
		if !s.needsRoom(now) {
			continue
		}
		found := d.candidates(current.source, peers, service, now)
		for _, request := range s.planRoomRequests(found, now) {
			d.roomRequests.Go(func() { d.sendRoomRequest(ctx, s, request) })
		}
	}
}

// sendRoomRequest sends one request and records the reply. roomPlanner limits how
// many are pending for each service.
func (d *Dispatcher) sendRoomRequest(ctx context.Context, s *serviceDispatcher, request roomRequest) {
	ctx, cancel := context.WithTimeout(ctx, roomRequestTimeout)
	defer cancel()
	sent := d.now()
	d.stats.roomRequests.Inc(1)
	var reply room.Reply
	err := d.options.Caller.Call(ctx, request.peer.Fleet, KindRoom, request.message, &reply)
	if err != nil {
		d.stats.roomFailures.Inc(1)
		reply = room.Reply{}
	}
	d.stats.roomSlotsGranted.Inc(int64(reply.Slots))
	s.recordReply(request, reply, err != nil, sent, d.now())
	if s.queuedOrUnused(d.now()) {
		d.wakeTask()
	}
}

// queuedOrUnused reports whether requests are queued here or granted slots are
// unused.
func (s *serviceDispatcher) queuedOrUnused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.queue.len() > 0 || s.pool.heldGrants.Free(now) > 0
}

func (d *Dispatcher) candidates(c *configuration.Configuration, peers []Peer, service string, now time.Time) []candidate {
	draining := func(id host.Identity) bool { return hostDrained(c, id, now) }
	return candidates(d.options.Self, peers, service, draining)
}

// nearestRoundTrip returns the default round trip to the nearest peer that may give a
// room grant, or zero if there is none.
func (d *Dispatcher) nearestRoundTrip(service string) time.Duration {
	now := d.now()
	found := d.candidates(d.view.Load().source, d.currentPeers(now), service, now)
	if len(found) == 0 {
		return 0
	}
	return found[0].defaultRoundTrip()
}

// crossRegion reports whether a known host is in another region.
func (d *Dispatcher) crossRegion(id host.ID) bool {
	for _, peer := range d.currentPeers(d.now()) {
		if peer.Identity.ID == id {
			return peer.Identity.Region != d.options.Self.Region
		}
	}
	return false
}

// applyEgress sets this host's egress rate to an equal share of its region's.
func (d *Dispatcher) applyEgress(c *configuration.Configuration) {
	if c == nil {
		return
	}
	hosts := 1
	for _, peer := range d.currentPeers(d.now()) {
		if peer.Identity.Region == d.options.Self.Region && peer.State != host.StateGone {
			hosts++
		}
	}
	for _, region := range c.Regions {
		if region.Name == d.options.Self.Region {
			d.egress.setRate(float64(region.EgressBytesPerSecond)/float64(hosts), d.now())
		}
	}
}
