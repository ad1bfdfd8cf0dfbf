package distribution

import (
	"context"
	"slices"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

// Bounds of a leader's push.
const (
	maxPushesInFlight = 16
	firstPushPause    = 250 * time.Millisecond
	maxPushPause      = 5 * time.Second
)

// report says what a host of this domain holds.
type report struct {
	peer     host.Identity
	revision configuration.Revision
	versions []Version
	failed   bool // the push was not answered
	pushed   bool // the report answers a push
}

// target is what the leader knows about one host of its domain.
type target struct {
	identity host.Identity
	known    bool // the host has said what it holds
	revision configuration.Revision
	versions []Version
	inFlight bool
	failures int
	notNow   time.Time // no push before this time
}

// pusher brings the hosts of one domain up to date. It is owned by one duty.
type pusher struct {
	targets  map[host.ID]*target
	inFlight int
}

func newPusher() *pusher { return &pusher{targets: map[host.ID]*target{}} }

// observe takes in the members of the domain. A new incarnation holds nothing.
func (p *pusher) observe(self host.Identity, members []host.Member) {
	seen := make(map[host.ID]bool, len(members))
	for _, member := range members {
		id := member.Identity
		if id.FailureDomain != self.FailureDomain || !isConfirming(member.State) {
			continue
		}
		seen[id.ID] = true
		if t := p.targets[id.ID]; t == nil || t.identity.Incarnation < id.Incarnation {
			p.targets[id.ID] = &target{identity: id}
		}
	}
	for id := range p.targets {
		if !seen[id] {
			delete(p.targets, id)
		}
	}
}

// isConfirming reports whether a host in this state counts for a confirmation.
func isConfirming(state host.State) bool {
	return state == host.StateLive || state == host.StateSuspect
}

// report takes in what a host holds. Reports of other incarnations are ignored.
func (p *pusher) report(r report, now time.Time) {
	if r.pushed {
		p.inFlight--
	}
	t := p.targets[r.peer.ID]
	if t == nil || t.identity.Incarnation != r.peer.Incarnation {
		return
	}
	if r.pushed {
		t.inFlight = false
	}
	if r.failed {
		t.notNow = now.Add(min(firstPushPause<<min(t.failures, 10), maxPushPause))
		t.failures++
		return
	}
	t.known = true
	t.failures = 0
	t.notNow = time.Time{}
	t.revision = max(t.revision, r.revision)
	t.versions = r.versions
}

// due chooses the hosts that are to be pushed to now and marks them.
func (p *pusher) due(revision configuration.Revision, versions []Version, now time.Time) []*target {
	var due []*target
	for _, t := range p.targets {
		if p.inFlight >= maxPushesInFlight {
			break
		}
		upToDate := t.known && t.revision >= revision && covers(t.versions, versions)
		if upToDate || t.inFlight || now.Before(t.notNow) {
			continue
		}
		t.inFlight = true
		p.inFlight++
		due = append(due, t)
	}
	return due
}

// covers reports whether every wanted document is held in that version or a
// newer one. Both lists are sorted by key.
func covers(held, wanted []Version) bool {
	for _, version := range wanted {
		i, found := slices.BinarySearchFunc(held, version, compareKeys)
		if !found || held[i].Revision < version.Revision {
			return false
		}
	}
	return true
}

func compareKeys(a, b Version) int {
	switch {
	case a.Key < b.Key:
		return -1
	case a.Key > b.Key:
		return 1
	default:
		return 0
	}
}

// confirmed returns the revision that every host of the domain has in force,
// and the hosts that are behind the leader.
func (p *pusher) confirmed(leader configuration.Revision) (configuration.Revision, []host.ID) {
	lowest := leader
	var lagging []host.ID
	for id, t := range p.targets {
		if t.revision < leader {
			lowest = min(lowest, t.revision)
			lagging = append(lagging, id)
		}
	}
	slices.Sort(lagging)
	return lowest, lagging
}

// runPush pushes to the hosts of the domain while this host leads it.
func (d *Distributor) runPush(ctx context.Context) error {
	subscription := d.config.InForce.Subscribe()
	defer subscription.Close()
	ticker := time.NewTicker(d.config.PushPeriod)
	defer ticker.Stop()
	results := make(chan report, maxPushesInFlight)
	p := newPusher()
	announcer := announcer{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed():
		case <-ticker.C:
		case r := <-results:
			p.report(r, time.Now())
		}
		d.drainReports(p)
		epoch, leading := d.config.Leadership.Leading()
		if !leading {
			p.targets = map[host.ID]*target{}
			continue
		}
		p.observe(d.config.Self, d.config.View.Members())
		now := time.Now()
		revision, versions := d.config.InForce.Revision(), d.state.versions()
		for _, t := range p.due(revision, versions, now) {
			d.push(ctx, *t, results)
		}
		if c, due := announcer.next(d.confirmation(p, revision, epoch), revision, now); due {
			d.confirmations.TryPush(c)
		}
	}
}

func (d *Distributor) drainReports(p *pusher) {
	for {
		r, ok := d.reports.TryPop()
		if !ok {
			return
		}
		p.report(r, time.Now())
	}
}

// push sends one offer. A host that has not said what it holds is asked first.
// At most maxPushesInFlight pushes run, so that results never blocks.
func (d *Distributor) push(ctx context.Context, t target, results chan<- report) {
	sent := time.Now()
	offer := Offer{Contact: d.contact.age(sent)}
	if t.known {
		offer = d.offerFor(t.revision, t.versions, sent)
	}
	d.counters.pushes.Inc(1)
	go func() {
		var reply OfferReply
		err := d.call(ctx, t.identity.Fleet, KindOffer, offer, &reply)
		if err != nil {
			d.counters.pushFailures.Inc(1)
		}
		results <- report{
			peer:     t.identity,
			revision: reply.Revision,
			versions: reply.Versions,
			failed:   err != nil,
			pushed:   true,
		}
	}()
}
