package distribution

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/host"
)

// firstSyncPeriod is the time between questions before the first configuration.
const firstSyncPeriod = 100 * time.Millisecond

// runSync asks one peer after the other, in turn of this and of another failure
// domain.
func (d *Distributor) runSync(ctx context.Context) error {
	for abroad := false; ; abroad = !abroad {
		if peer, ok := d.randomPeer(abroad); ok {
			d.ask(ctx, peer)
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

// ask requests from peer what this host lacks.
func (d *Distributor) ask(ctx context.Context, peer host.Identity) {
	request := SyncRequest{Revision: d.config.InForce.Revision(), Versions: d.state.versions()}
	sent := time.Now()
	var offer Offer
	if err := d.call(ctx, peer.Fleet, KindSync, request, &offer); err != nil {
		return // silent peers are the membership's matter; another peer is asked next
	}
	d.exchanged(peer, sent, offer.Contact)
	d.state.put(offer.Documents)
	if len(offer.Manifest) == 0 {
		return
	}
	if err := d.propose(ctx, offer.Manifest, source{peer: peer}); err != nil && ctx.Err() == nil {
		_ = level.Warn(d.config.Logger).Log("msg", "manifest refused", "from", peer.ID, "err", err)
	}
}

// randomPeer chooses a peer inside or outside this failure domain.
func (d *Distributor) randomPeer(abroad bool) (host.Identity, bool) {
	var chosen host.Identity
	count := 0
	for _, member := range d.config.View.Members() {
		outside := member.Identity.FailureDomain != d.config.Self.FailureDomain
		if member.State == host.StateGone || outside != abroad {
			continue
		}
		count++
		if d.random.intN(count) == 0 {
			chosen = member.Identity
		}
	}
	return chosen, count > 0
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
