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

// KindHoldOver asks a host of the domain whether it knows of a leader.
const KindHoldOver fleet.Kind = "allotment.hold-over"

const (
	// holdOverTerm is the term of shares without a leader. It is shorter than the
	// time that a new leader waits, so that each host learns of the leader before.
	holdOverTerm = 10 * time.Second
	// holdOverBefore is the rest of a term at which a host asks the others.
	holdOverBefore = 8 * time.Second
	// leaderSilence is the time without a renewal after which a host agrees that
	// the leader is silent.
	leaderSilence   = 3 * time.Second
	holdOverTimeout = 400 * time.Millisecond
)

// HoldOverRequest names the newest epoch that the sender knows.
type HoldOverRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// HoldOverResponse says whether the host knows of no leader that acts.
type HoldOverResponse struct {
	Agreed bool `cbor:"1,keyasint,omitempty"`
}

// holdOver drops the shares whose term is over, or extends the term if all hosts
// of the domain agree that there is no leader.
func (h *Holder) holdOver(ctx context.Context) {
	asked := h.options.Now()
	h.mu.Lock()
	left := h.shares.Until().Sub(asked)
	epoch, leader := h.shares.Epoch(), h.leader
	h.mu.Unlock()
	due := h.options.Registry != nil && left > 0 && left < holdOverBefore && epoch != 0
	if !due || !h.allAgree(ctx, leader, epoch) {
		h.expire()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	if h.shares.Epoch() != epoch {
		return
	}
	h.change(now, h.shares.Expire(now))
	h.change(now, h.shares.HoldOver(now, asked, holdOverTerm, allotment.DefaultFloorFraction))
	h.extend(now)
	h.stats.heldOver.Inc(1)
	level.Debug(h.options.Logger).Log("msg", "shares held over without a leader", "epoch", epoch)
}

// allAgree asks the hosts of the domain that may be leader. The silent leader
// itself, hosts that leave and hosts that are gone are not asked.
func (h *Holder) allAgree(ctx context.Context, leader host.ID, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, holdOverTimeout)
	defer cancel()
	var asked []host.Identity
	for _, m := range h.options.View.Members() {
		absent := m.State == host.StateGone || m.State == host.StateLeaving || m.Identity.ID == leader
		if m.Identity.FailureDomain == h.options.Self.FailureDomain && !absent {
			asked = append(asked, m.Identity)
		}
	}
	agreed := make([]bool, len(asked))
	var group sync.WaitGroup
	for i, to := range asked {
		group.Go(func() {
			var response HoldOverResponse
			err := h.options.Caller.Call(ctx, to.Fleet, KindHoldOver, HoldOverRequest{Epoch: epoch}, &response)
			agreed[i] = err == nil && response.Agreed
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

// handleHoldOver agrees unless this host leads, knows a newer epoch, or hears the
// leader.
func (h *Holder) handleHoldOver(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
	var request HoldOverRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	leader, epoch, ok := h.options.Leadership.Current()
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := h.options.Now().Sub(h.at) > leaderSilence
	leads := ok && leader.ID == h.options.Self.ID
	older := epoch <= request.Epoch && h.shares.Epoch() <= request.Epoch
	return HoldOverResponse{Agreed: silent && !leads && older}, nil
}
