package holder

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/allotment"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// KindHoldOver asks a host of the domain to agree that the domain has no leader.
const KindHoldOver fleet.Kind = "allotment.hold-over"

const (
	// holdOverLease is the lease of shares without a leader. It is shorter than the
	// time for which a new leader waits, so that each host learns of the leader before
	// the end of the wait.
	holdOverLease = 10 * time.Second
	// holdOverThreshold is the remaining lease below which a host asks the others.
	holdOverThreshold = 8 * time.Second
	// minLeaderSilence is the time without a renewal after which a host agrees that
	// there is no leader.
	minLeaderSilence = 3 * time.Second
	holdOverTimeout  = 400 * time.Millisecond
)

// HoldOverRequest carries the newest leadership epoch that the sender knows.
type HoldOverRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// HoldOverReply reports whether the host agrees that there is no active leader.
type HoldOverReply struct {
	Agreed bool `cbor:"1,keyasint,omitempty"`
}

// holdOver extends the lease if it ends soon and all hosts of the domain agree that
// there is no leader. Otherwise it drops the shares if their lease has expired.
func (h *Holder) holdOver(ctx context.Context) {
	asked := h.options.Now()
	h.mu.Lock()
	remaining := h.shares.Until().Sub(asked)
	epoch, leader := h.shares.Epoch(), h.lastLeader
	h.mu.Unlock()
	due := h.options.Registry != nil && remaining > 0 && remaining < holdOverThreshold && epoch != 0
	if !due || !h.allHostsAgree(ctx, leader, epoch) {
		h.dropExpired()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	if h.shares.Epoch() != epoch {
		return
	}
	h.applyChanges(now, h.shares.Expire(now))
	h.applyChanges(now, h.shares.HoldOver(now, asked, holdOverLease, allotment.DefaultFloorFraction))
	h.publishLease(now)
	h.stats.heldOver.Inc(1)
	level.Debug(h.options.Logger).Log("msg", "extended the lease of shares without a leader", "epoch", epoch)
}

// allHostsAgree asks all hosts of the domain that could be leader. It does not ask the
// silent leader itself and hosts that are leaving or gone.
func (h *Holder) allHostsAgree(ctx context.Context, leader host.ID, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, holdOverTimeout)
	defer cancel()
	var asked []host.Identity
	for _, m := range h.options.View.Members() {
		excluded := m.State == host.StateGone || m.State == host.StateLeaving || m.Identity.ID == leader
		if m.Identity.FailureDomain == h.options.Self.FailureDomain && !excluded {
			asked = append(asked, m.Identity)
		}
	}
	agreed := make([]bool, len(asked))
	var group sync.WaitGroup
	for i, target := range asked {
		group.Go(func() {
			var reply HoldOverReply
			err := h.options.Caller.Call(ctx, target.Fleet, KindHoldOver, HoldOverRequest{Epoch: epoch}, &reply)
			agreed[i] = err == nil && reply.Agreed
		})
	}
	group.Wait()
	for _, ok := range agreed {
		if !ok {
			return false
		}
	}
	return true
}

// handleHoldOver agrees unless this host leads the domain, knows a newer epoch, or had
// its shares renewed within minLeaderSilence.
func (h *Holder) handleHoldOver(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
	var request HoldOverRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	leader, epoch, ok := h.options.Leadership.Current()
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := h.options.Now().Sub(h.renewedAt) > minLeaderSilence
	leads := ok && leader.ID == h.options.Self.ID
	notNewer := epoch <= request.Epoch && h.shares.Epoch() <= request.Epoch
	return HoldOverReply{Agreed: silent && !leads && notNewer}, nil
}
