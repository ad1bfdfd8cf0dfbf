package distribution

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"peridotrail/internal/host"
)

// firstSyncPeriod is the time between questions before the first configuration.
const firstSyncPeriod = 100 * time.Millisecond

// runSync asks one peer after the other, in turn of this and of another failure
// domain. It asks the few neighbours on each side, to which connections are open,
// and any peer after a neighbour did not answer or while there is no
// configuration.
func (d *Distributor) runSync(ctx context.Context) error {
	answered := map[bool]bool{false: true, true: true}
	for abroad := false; ; abroad = !abroad {
		peers := d.peers(abroad)
		if answered[abroad] && d.config.InForce.Current() != nil {
			peers = neighbours(d.config.Self.ID, peers)
		}
		if len(peers) > 0 {
			answered[abroad] = d.ask(ctx, peers[d.random.intN(len(peers))])
		}
		period := d.config.SyncPeriod
		if d.config.InForce.Current() == nil {
			period = firstSyncPeriod
		}
		if !pause(ctx, d.random.jitter(period)) {
			return nil
		}
	}
}

// runHints asks peers that have advertised a greater revision.
func (d *Distributor) runHints(ctx context.Context) error {
	for {
		peer, err := d.hints.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // ctx has ended
		}
		d.ask(ctx, peer)
	}
}

// ask requests from peer what this host lacks and reports whether it answered.
func (d *Distributor) ask(ctx context.Context, peer host.Identity) bool {
	request := SyncRequest{Revision: d.config.InForce.Revision(), Versions: d.state.versions()}
	sent := time.Now()
	var offer Offer
	if err := d.call(ctx, peer.Fleet, KindSync, request, &offer); err != nil {
		return false // silent peers are the membership's matter; another peer is asked next
	}
	d.exchanged(peer, sent, offer.Contact)
	d.state.put(offer.Documents)
	if len(offer.Manifest) == 0 {
		return true
	}
	if err := d.propose(ctx, offer.Manifest, source{peer: peer}); err != nil && ctx.Err() == nil {
		_ = level.Warn(d.config.Logger).Log("msg", "manifest refused", "from", peer.ID, "err", err)
	}
	return true
}

// peers returns the peers inside or outside this failure domain.
func (d *Distributor) peers(abroad bool) []host.Identity {
	var peers []host.Identity
	for _, member := range d.config.View.Members() {
		outside := member.Identity.FailureDomain != d.config.Self.FailureDomain
		if member.State != host.StateGone && outside == abroad {
			peers = append(peers, member.Identity)
		}
	}
	return peers
}

// neighbourCount is the number of peers that a host asks regularly on each side.
const neighbourCount = 3

// neighbours returns the peers with the greatest hash together with self. They
// stay the same while the fleet does, so that a host keeps few connections.
func neighbours(self host.ID, peers []host.Identity) []host.Identity {
	score := func(peer host.Identity) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(peer.ID)) }
	slices.SortFunc(peers, func(a, b host.Identity) int { return cmp.Compare(score(b), score(a)) })
	return peers[:min(neighbourCount, len(peers))]
}

// pause reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
