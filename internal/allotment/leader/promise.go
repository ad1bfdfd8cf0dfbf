package leader

import (
	"context"
	"sync"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// KindPromise asks the leader of another failure domain not to end the extra
// shares of the sender's domain for a domain term.
const KindPromise fleet.Kind = "allotment.promise"

const (
	promiseTimeout = 300 * time.Millisecond
	promiseAsked   = 3 // hosts of a domain that are asked for its leader
	promiseEvery   = 3 * time.Second
)

// PromiseRequest names the generation whose extra shares are to last.
type PromiseRequest struct {
	Epoch      uint64 `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
}

// PromiseResponse is the promise, or the leader that can give it.
type PromiseResponse struct {
	Promised bool          `cbor:"1,keyasint,omitempty"`
	Leader   host.Identity `cbor:"2,keyasint,omitempty"`
}

func (l *Leader) handlePromise(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request PromiseRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, leading := l.options.Leadership.Leading()
	if !leading || l.reign == nil || l.reign.epoch != epoch {
		leader, _, _ := l.options.Leadership.Current()
		return PromiseResponse{Leader: leader}, nil
	}
	promised := l.reign.observer.Promise(l.options.Now(), from.FailureDomain, request.Generation)
	return PromiseResponse{Promised: promised}, nil
}

// unanimity extends the right to the extra shares while the store is away, if the
// leaders of all other domains promise not to end them.
func (k *keeper) unanimity(ctx context.Context) {
	l := k.leader
	l.mu.Lock()
	asked := l.options.Now()
	due := k.reign.term.Owned() && !asked.Before(k.askAt)
	request := PromiseRequest{Epoch: k.reign.epoch, Generation: k.reign.term.Generation()}
	peers := k.reign.term.Peers()
	l.mu.Unlock()
	if !due {
		return
	}
	k.askAt = asked.Add(promiseEvery)
	if !l.allPromise(ctx, peers, request) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.reign.term.Generation() == request.Generation {
		k.reign.term.ExtendByPromise(asked, l.options.Timing.DomainTerm)
		l.stats.promised.Inc(1)
	}
}

// allPromise asks the leaders of all peers at the same time.
func (l *Leader) allPromise(ctx context.Context, peers []string, request PromiseRequest) bool {
	results := make([]bool, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() { results[i] = l.domainPromises(ctx, peer, request) })
	}
	group.Wait()
	for _, ok := range results {
		if !ok {
			return false
		}
	}
	return true
}

// domainPromises asks some hosts of a domain until one knows the leader, and the
// leader for its promise.
func (l *Leader) domainPromises(ctx context.Context, domain string, request PromiseRequest) bool {
	asked := 0
	for _, m := range l.options.View.Members() {
		if m.Identity.FailureDomain != domain || m.State == host.StateGone || asked == promiseAsked {
			continue
		}
		asked++
		response, ok := l.askPromise(ctx, m.Identity, request)
		if ok && !response.Promised && response.Leader.ID != "" {
			response, ok = l.askPromise(ctx, response.Leader, request)
		}
		if ok && response.Promised {
			return true
		}
	}
	return false
}

func (l *Leader) askPromise(ctx context.Context, to host.Identity, request PromiseRequest) (PromiseResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var response PromiseResponse
	err := l.options.Caller.Call(ctx, to.Fleet, KindPromise, request, &response)
	return response, err == nil
}
