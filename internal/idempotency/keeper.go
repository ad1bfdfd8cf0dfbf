package idempotency

import (
	"context"
	"crypto/rand"
	"hash/maphash"
	"sync"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

const (
	shardCount       = 16
	shardRecords     = 12_000  // records of one shard
	shardAnswerBytes = 2 << 20 // bytes of stored answers of one shard
	secretBytes      = 32
)

// Clock returns the time. It must carry a monotonic reading in production.
type Clock func() time.Time

// Keeper issues keys and keeps their records for the life of its process. It is
// safe for concurrent use.
type Keeper struct {
	self    host.Identity
	now     Clock
	started time.Time
	secret  [secretBytes]byte
	seed    maphash.Seed
	shards  [shardCount]keeperShard
}

type keeperShard struct {
	mu      sync.Mutex // guards records; never held across I/O
	records *records
}

// NewKeeper returns the keeper of the process self. Its secret and its records
// end with the process.
func NewKeeper(self host.Identity, now Clock) *Keeper {
	k := &Keeper{self: self, now: now, started: now(), seed: maphash.MakeSeed()}
	rand.Read(k.secret[:]) // never fails
	for i := range k.shards {
		k.shards[i].records = newRecords(shardRecords, shardAnswerBytes)
	}
	return k
}

// Issue returns a new key for a client account.
func (k *Keeper) Issue(account string) string {
	issued := k.now().Sub(k.started)
	return newIssuedKey(k.self, issued, k.secret[:], account).String()
}

// Begin decides whether an attempt may run. A key of another process is unknown.
func (k *Keeper) Begin(b *Begin) Decision {
	key, ok := parseIssued(b.Key)
	if !ok {
		return Decision{Verdict: VerdictInvalid}
	}
	if key.keeper != k.self.ID || key.incarnation != k.self.Incarnation {
		return Decision{Verdict: VerdictUnknown}
	}
	if !key.authentic(k.secret[:], b.Account) {
		return Decision{Verdict: VerdictInvalid}
	}
	s := k.shard(b.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := k.now()
	expires := k.started.Add(key.issued + KeyValidity)
	return s.records.begin(now, b, expires, now.Before(expires))
}

// Finish records the end of an attempt.
func (k *Keeper) Finish(f *Finish) Finished {
	s := k.shard(f.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.finish(k.now(), f)
}

// Count returns the number of records.
func (k *Keeper) Count() int {
	count := 0
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		count += len(s.records.byID)
		s.mu.Unlock()
	}
	return count
}

func (k *Keeper) shard(key string) *keeperShard {
	return &k.shards[maphash.String(k.seed, key)%shardCount]
}

// Service answers the messages of other hosts. Own may be nil.
type Service struct {
	Keeper *Keeper
	Own    *OwnKeeper
}

// Register adds the handlers to registry.
func (s *Service) Register(registry fleet.Registry) {
	registry.Handle(KindBegin, s.handleBegin)
	registry.Handle(KindFinish, s.handleFinish)
}

// Begin decides about an issued or an own key.
func (s *Service) Begin(b *Begin) Decision {
	if IsIssued(b.Key) {
		return s.Keeper.Begin(b)
	}
	if s.Own == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	return s.Own.Begin(b)
}

// Finish records the end of an attempt under an issued or an own key.
func (s *Service) Finish(f *Finish) Finished {
	if IsIssued(f.Key) {
		return s.Keeper.Finish(f)
	}
	if s.Own == nil {
		return Finished{}
	}
	return s.Own.Finish(f)
}

func (s *Service) handleBegin(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
	var b Begin
	if err := decode(&b); err != nil {
		return nil, err
	}
	return s.Begin(&b), nil
}

func (s *Service) handleFinish(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
	var f Finish
	if err := decode(&f); err != nil {
		return nil, err
	}
	return s.Finish(&f), nil
}
