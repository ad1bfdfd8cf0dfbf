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

// initialSyncPeriod is the time between sync requests before the first configuration.
const initialSyncPeriod = 100 * time.Millisecond

// runSync syncs with one peer at a time until ctx ends, alternating between peers of
// its own and of other failure domains. It chooses among the rendezvous peers, to
// which connections are usually open. After a failed sync, and while there is no
// configuration in force, it chooses among all peers.
func (d *Distributor) runSync(ctx context.Context) error {
	lastReplied := map[bool]bool{false: true, true: true}
	for remote := false; ; remote = !remote {
		peers := d.peers(remote)
		if lastReplied[remote] && d.config.InForce.Current() != nil {
			peers = rendezvousPeers(d.config.Self.ID, peers)
		}
		if len(peers) > 0 {
			lastReplied[remote] = d.syncWith(ctx, peers[d.random.intN(len(peers))])
		}
		period := d.config.SyncPeriod
		if d.config.InForce.Current() == nil {
			period = initialSyncPeriod
		}
		if !sleep(ctx, d.random.jitter(period)) {
			return nil
		}
	}
}

// syncWithPeersAhead syncs with peers that have advertised a greater revision, until
// ctx ends.
func (d *Distributor) syncWithPeersAhead(ctx context.Context) error {
	for {
		peer, err := d.peersAhead.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // ctx has ended
		}
		d.syncWith(ctx, peer)
	}
}

// syncWith requests from peer what this host lacks and reports whether it replied.
func (d *Distributor) syncWith(ctx context.Context, peer host.Identity) bool {
	request := SyncRequest{Revision: d.config.InForce.Revision(), Versions: d.state.versions()}
	sent := time.Now()
	var offer Offer
	if err := d.call(ctx, peer.Fleet, KindSync, request, &offer); err != nil {
		return false // membership detects failed peers; the next sync goes to another peer
	}
	d.recordExchange(peer, sent, offer.ContactAge)
	d.state.merge(offer.Documents)
	if len(offer.Manifest) == 0 {
		return true
	}
	if err := d.propose(ctx, offer.Manifest, source{peer: peer}); err != nil && ctx.Err() == nil {
		_ = level.Warn(d.config.Logger).Log("msg", "manifest refused", "from", peer.ID, "err", err)
	}
	return true
}

// peers returns the peers that are not gone, either of other failure domains (remote)
// or of this one.
func (d *Distributor) peers(remote bool) []host.Identity {
	var peers []host.Identity
	for _, member := range d.config.View.Members() {
		outside := member.Identity.FailureDomain != d.config.Self.FailureDomain
		if member.State != host.StateGone && outside == remote {
			peers = append(peers, member.Identity)
		}
	}
	return peers
}

// rendezvousPeerCount is the number of peers that a host regularly syncs with in its
// own failure domain, and also in the others.
const rendezvousPeerCount = 3

// rendezvousPeers chooses peers by rendezvous hashing: those with the greatest hash
// of self and the peer. The choice changes only with the fleet, so that a host keeps
// few connections. It sorts peers.
func rendezvousPeers(self host.ID, peers []host.Identity) []host.Identity {
	score := func(peer host.Identity) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(peer.ID)) }
	slices.SortFunc(peers, func(a, b host.Identity) int { return cmp.Compare(score(b), score(a)) })
	return peers[:min(rendezvousPeerCount, len(peers))]
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
