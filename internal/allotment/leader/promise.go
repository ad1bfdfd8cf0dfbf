package leader

import (
	"context"
	"sync"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// KindPromise asks the leader of another failure domain to promise not to end the
// extra shares of the sender's domain for the duration of a domain lease.
const KindPromise fleet.Kind = "allotment.promise"

const (
	promiseTimeout  = 300 * time.Millisecond
	maxHostsAsked   = 3 // number of hosts of a domain that are asked for its leader
	promiseInterval = 3 * time.Second
)

// PromiseRequest is the message of KindPromise. Generation is that of the sender's
// domain record.
type PromiseRequest struct {
	Epoch      uint64 `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
}

// PromiseReply carries the promise, or the leader that can give it.
type PromiseReply struct {
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
	if !leading || l.term == nil || l.term.epoch != epoch {
		leader, _, _ := l.options.Leadership.Current()
		return PromiseReply{Leader: leader}, nil
	}
	promised := l.term.observer.Promise(l.options.Now(), from.FailureDomain, request.Generation)
	return PromiseReply{Promised: promised}, nil
}

// requestPromises extends the lease of the extra shares while the store is unavailable,
// if the leaders of all peer domains promise not to end them.
func (s *storeTask) requestPromises(ctx context.Context) {
	l := s.leader
	l.mu.Lock()
	asked := l.options.Now()
	due := s.term.lease.Owned() && !asked.Before(s.nextPromises)
	request := PromiseRequest{Epoch: s.term.epoch, Generation: s.term.lease.Generation()}
	peers := s.term.lease.Peers()
	l.mu.Unlock()
	if !due {
		return
	}
	s.nextPromises = asked.Add(promiseInterval)
	if !l.allPeersPromise(ctx, peers, request) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.term.lease.Generation() == request.Generation {
		s.term.lease.ExtendByPromise(asked, l.options.Timing.DomainLease)
		l.stats.promised.Inc(1)
	}
}

// allPeersPromise asks the leaders of all peers concurrently and reports whether all
// have promised.
func (l *Leader) allPeersPromise(ctx context.Context, peers []string, request PromiseRequest) bool {
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

// domainPromises reports whether the leader of a domain promises. It asks up to
// maxHostsAsked hosts of the domain in turn, and the leader that they name.
func (l *Leader) domainPromises(ctx context.Context, domain string, request PromiseRequest) bool {
	asked := 0
	for _, m := range l.options.View.Members() {
		if m.Identity.FailureDomain != domain || m.State == host.StateGone || asked == maxHostsAsked {
			continue
		}
		asked++
		reply, ok := l.requestPromise(ctx, m.Identity, request)
		if ok && !reply.Promised && reply.Leader.ID != "" {
			reply, ok = l.requestPromise(ctx, reply.Leader, request)
		}
		if ok && reply.Promised {
			return true
		}
	}
	return false
}

func (l *Leader) requestPromise(ctx context.Context, target host.Identity, request PromiseRequest) (PromiseReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var reply PromiseReply
	err := l.options.Caller.Call(ctx, target.Fleet, KindPromise, request, &reply)
	return reply, err == nil
}
