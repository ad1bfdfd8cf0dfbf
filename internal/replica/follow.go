package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Source tells the changes that another replica knows. Failures are *kvstore.Error.
type Source interface {
	Changes(ctx context.Context, peer Peer, after kvstore.Revision, wait time.Duration) (Changes, error)
}

const (
	// staleAfter is the part of Delay at which the proof of a followed host is too
	// old. What remains is for the next question to time out and for one call to
	// the store.
	staleAfter = 0.6
	// followedProof is the part of Delay after which a followed host seeks a new
	// proof, early enough for its followers.
	followedProof = 0.45
	// askWait is the part of Delay that a question waits for a change; its answer
	// may take as long again.
	askWait = 0.1
)

// StaleError reports a followed host whose proof is too old.
type StaleError struct {
	Age time.Duration // of the proof
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the last proof of the picture is %v old", e.Age.Round(time.Millisecond))
}

// SetPeers sets the other hosts of the failure domain. One of them may be followed
// in place of the store.
func (r *Replica) SetPeers(self string, peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.set(self, peers)
}

// leader returns the host to follow now.
func (r *Replica) leader() (Peer, bool) {
	if r.options.Source == nil {
		return Peer{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.leader(r.options.Clock())
}

// stepBehind takes the next changes from another host. It fails if that host does
// not answer in time or is not current itself; the host is then passed over.
func (r *Replica) stepBehind(ctx context.Context, peer Peer) error {
	changes, sent, err := r.ask(ctx, peer)
	if err != nil {
		r.unfollow(peer, err)
		return err
	}
	r.regained()
	if peer.Name != r.following {
		r.following, r.seenOutages = peer.Name, changes.Outages
		_ = level.Info(r.options.Logger).Log("event", "following host", "peer", peer.Name, "applied", r.applied.Load(), "at", changes.At, "proof_age", changes.ProofAge)
	}
	if changes.Outages != r.seenOutages {
		r.seenOutages = changes.Outages
		r.options.Handler.StoreRegained() // entries may have lapsed meanwhile
	}
	r.take(changes.Entries, changes.At)
	r.noteProof(sent.Add(-changes.ProofAge))
	return nil
}

// ask puts one question and checks how current its answer is. The proof was made
// ProofAge before the answer, which is later than the sending of the question.
func (r *Replica) ask(ctx context.Context, peer Peer) (Changes, boottime.Instant, error) {
	wait := part(r.options.Delay, askWait)
	ctx, cancel := context.WithTimeout(ctx, 2*wait)
	defer cancel()
	sent := r.options.Clock()
	changes, err := r.options.Source.Changes(ctx, peer, kvstore.Revision(r.applied.Load()), wait)
	if err != nil {
		return Changes{}, 0, err
	}
	if age := r.options.Clock().Sub(sent.Add(-changes.ProofAge)); age > part(r.options.Delay, staleAfter) {
		return Changes{}, 0, &StaleError{Age: age}
	}
	return changes, sent, nil
}

// unfollow passes a host over and goes back to the store.
func (r *Replica) unfollow(peer Peer, err error) {
	r.mu.Lock()
	r.roster.avoid(peer.Name, r.options.Clock())
	r.mu.Unlock()
	r.following = ""
	_ = level.Warn(r.options.Logger).Log("event", "host not followed", "peer", peer.Name, "applied", r.applied.Load(), "proof_age", r.options.Clock().Sub(r.Proof()), "err", err)
}

func part(of time.Duration, share float64) time.Duration { return time.Duration(float64(of) * share) }
