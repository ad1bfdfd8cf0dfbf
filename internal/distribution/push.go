package distribution

import (
	"context"
	"slices"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

// Limits of a leader's pushes.
const (
	maxPushesInFlight = 16
	minPushBackoff    = 250 * time.Millisecond
	maxPushBackoff    = 5 * time.Second
)

// peerReport is what a host of this domain holds, or a failed push to it.
type peerReport struct {
	peer     host.Identity
	revision configuration.Revision
	versions []Version
	failed   bool // the push failed
	pushed   bool // the report is the result of a push
}

// pushTarget is the leader's state of one host of its domain.
type pushTarget struct {
	identity host.Identity
	reported bool // the host has reported what it holds
	revision configuration.Revision
	versions []Version
	inFlight bool
	failures int
	retryAt  time.Time // time of the next push after a failure
}

// pusher tracks which hosts of the domain need a push. It is not safe for concurrent
// use.
type pusher struct {
	targets  map[host.ID]*pushTarget
	inFlight int
}

func newPusher() *pusher { return &pusher{targets: map[host.ID]*pushTarget{}} }

// updateTargets sets the targets to the live and suspect members of the domain. A new
// incarnation is taken to hold nothing.
func (p *pusher) updateTargets(self host.Identity, members []host.Member) {
	seen := make(map[host.ID]bool, len(members))
	for _, member := range members {
		id := member.Identity
		if id.FailureDomain != self.FailureDomain || !requiredForConfirmation(member.State) {
			continue
		}
		seen[id.ID] = true
		if t := p.targets[id.ID]; t == nil || t.identity.Incarnation < id.Incarnation {
			p.targets[id.ID] = &pushTarget{identity: id}
		}
	}
	for id := range p.targets {
		if !seen[id] {
			delete(p.targets, id)
		}
	}
}

// requiredForConfirmation reports whether a revision is confirmed only when a host in
// this state has it in force.
func requiredForConfirmation(state host.State) bool {
	return state == host.StateLive || state == host.StateSuspect
}

// recordReport records a report. Reports of other incarnations than the target's only
// release their in-flight slot.
func (p *pusher) recordReport(r peerReport, now time.Time) {
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
		t.retryAt = now.Add(min(minPushBackoff<<min(t.failures, 10), maxPushBackoff))
		t.failures++
		return
	}
	t.reported = true
	t.failures = 0
	t.retryAt = time.Time{}
	t.revision = max(t.revision, r.revision)
	t.versions = r.versions
}

// nextPushes returns the hosts that need a push now and marks them as in flight.
func (p *pusher) nextPushes(revision configuration.Revision, versions []Version, now time.Time) []*pushTarget {
	var due []*pushTarget
	for _, t := range p.targets {
		if p.inFlight >= maxPushesInFlight {
			break
		}
		upToDate := t.reported && t.revision >= revision && covers(t.versions, versions)
		if upToDate || t.inFlight || now.Before(t.retryAt) {
			continue
		}
		t.inFlight = true
		p.inFlight++
		due = append(due, t)
	}
	return due
}

// covers reports whether held contains each wanted document in the same or a newer
// version. Both lists are sorted by key.
func covers(held, wanted []Version) bool {
	for _, version := range wanted {
		i, found := slices.BinarySearchFunc(held, version, compareKeys)
		if !found || held[i].Revision.Before(version.Revision) {
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

// confirmedRevision returns the lowest revision in force in the domain, and the hosts
// with a lower revision than the leader's, sorted.
func (p *pusher) confirmedRevision(leaderRevision configuration.Revision) (configuration.Revision, []host.ID) {
	lowest := leaderRevision
	var lagging []host.ID
	for id, t := range p.targets {
		if t.revision < leaderRevision {
			lowest = min(lowest, t.revision)
			lagging = append(lagging, id)
		}
	}
	slices.Sort(lagging)
	return lowest, lagging
}

// runPush pushes changes to the hosts of the domain and schedules confirmations while
// this host leads it, until ctx ends.
func (d *Distributor) runPush(ctx context.Context) error {
	subscription := d.config.InForce.Subscribe()
	defer subscription.Close()
	ticker := time.NewTicker(d.config.PushPeriod)
	defer ticker.Stop()
	results := make(chan peerReport, maxPushesInFlight)
	p := newPusher()
	scheduler := confirmationScheduler{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed():
		case <-ticker.C:
		case r := <-results:
			p.recordReport(r, time.Now())
		}
		d.drainReports(p)
		epoch, leading := d.config.Leadership.Leading()
		if !leading {
			p.targets = map[host.ID]*pushTarget{}
			continue
		}
		p.updateTargets(d.config.Self, d.config.View.Members())
		now := time.Now()
		revision, versions := d.config.InForce.Revision(), d.state.versions()
		for _, t := range p.nextPushes(revision, versions, now) {
			d.push(ctx, *t, results)
		}
		if c, writeNow := scheduler.next(d.confirmation(p, revision, epoch), revision, now); writeNow {
			d.confirmations.TryPush(c)
		}
	}
}

func (d *Distributor) drainReports(p *pusher) {
	for {
		r, ok := d.peerReports.TryPop()
		if !ok {
			return
		}
		p.recordReport(r, time.Now())
	}
}

// push sends one offer in the background and sends the result to results. If t has
// not reported what it holds, the offer is empty, and its reply is the report. At
// most maxPushesInFlight pushes run, so that results never blocks.
func (d *Distributor) push(ctx context.Context, t pushTarget, results chan<- peerReport) {
	sent := time.Now()
	offer := Offer{ContactAge: d.contact.age(sent)}
	if t.reported {
		offer = d.offerFor(t.revision, t.versions, sent)
	}
	d.counters.pushes.Inc(1)
	go func() {
		var reply OfferReply
		err := d.call(ctx, t.identity.Fleet, KindOffer, offer, &reply)
		if err != nil {
			d.counters.pushFailures.Inc(1)
		}
		results <- peerReport{
			peer:     t.identity,
			revision: reply.Revision,
			versions: reply.Versions,
			failed:   err != nil,
			pushed:   true,
		}
	}()
}
