package upstream

import (
	"context"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/upstream/room"
)

// KindRoom is the kind of message that asks another host for room.
const KindRoom fleet.Kind = "upstream/room"

// sweepInterval is the time between two sweeps of the queues.
const sweepInterval = 50 * time.Millisecond

// Register adds the handlers of dispatch to the transport between hosts.
func (d *Dispatcher) Register(registry fleet.Registry) {
	registry.Handle(KindRoom, d.lendRoom)
	registry.Handle(KindReports, d.receiveReports)
}

// Run asks peers for room and sweeps the queues until ctx ends and all requests
// that it sent have ended.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer d.asking.Wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			d.askPeers(ctx)
		case <-ticker.C:
			d.sweep()
			d.askPeers(ctx)
		}
	}
}

// askSoon wakes the duty. Wake-ups are coalesced.
func (d *Dispatcher) askSoon() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) sweep() {
	now := d.now()
	current := d.current()
	d.applyEgress(current.source)
	for _, l := range current.lanes {
		l.sweep(now)
	}
}

// askPeers sends the requests for room that are due.
func (d *Dispatcher) askPeers(ctx context.Context) {
	now := d.now()
	current := d.current()
	peers := d.currentPeers(now)
	for service, l := range current.lanes {
		if !l.needsRoom(now) {
			continue
		}
		found := d.candidates(current.source, peers, service, now)
		for _, a := range l.planAsks(found, now) {
			d.asking.Go(func() { d.ask(ctx, l, a) })
		}
	}
}

// ask sends one request for room. At most askNear and askFar run for each service.
func (d *Dispatcher) ask(ctx context.Context, l *lane, a ask) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := d.now()
	d.stats.roomAsked.Inc(1)
	var reply room.Reply
	err := d.options.Caller.Call(ctx, a.peer.Fleet, KindRoom, a.request, &reply)
	if err != nil {
		d.stats.roomFailed.Inc(1)
		reply = room.Reply{}
	}
	d.stats.roomSlots.Inc(int64(reply.Slots))
	l.answered(a, reply, err != nil, asked, d.now())
	if l.unbalanced(d.now()) {
		d.askSoon()
	}
}

// unbalanced reports whether work waits here or room is unused.
func (l *lane) unbalanced(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.queue.len() > 0 || l.pool.holder.Free(now) > 0
}

func (d *Dispatcher) candidates(c *configuration.Configuration, peers []Peer, service string, now time.Time) []candidate {
	draining := func(id host.Identity) bool { return hostDrained(c, id, now) }
	return candidates(d.options.Self, peers, service, draining)
}

// reach returns the round trip to the nearest peer that may have room, or zero.
func (d *Dispatcher) reach(service string) time.Duration {
	now := d.now()
	found := d.candidates(d.plan.Load().source, d.currentPeers(now), service, now)
	if len(found) == 0 {
		return 0
	}
	return found[0].defaultRoundTrip()
}

// crossRegion reports whether a host is in another region than this one.
func (d *Dispatcher) crossRegion(id host.ID) bool {
	for _, peer := range d.currentPeers(d.now()) {
		if peer.Identity.ID == id {
			return peer.Identity.Region != d.options.Self.Region
		}
	}
	return false
}

// applyEgress gives this host its share of its region's egress budget.
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
