package idempotency

import (
	"crypto/rand"
	"sync"
	"time"

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

// Keeper issues keys and keeps their records for the life of its process, and the
// books that stopping processes handed over to it. It is safe for concurrent use.
type Keeper struct {
	self   host.Identity
	now    Clock
	own    *book
	serial bool // sends its messages one by one

	mu      sync.Mutex // guards the fields below; never held across I/O
	adopted map[bookID]*adoption
	moved   map[bookID]moved
}

// adoption is a book that is being received, or was received.
type adoption struct {
	book *book // nil until all parts have arrived, and again when it has been handed on or is spent
	done bool  // never received again
	from time.Time
	got  map[int][]movedRecord
}

// moved is where a book went.
type moved struct {
	to host.Identity
	at time.Time
}

// NewKeeper returns the keeper of the process self. Its secret and its records
// end with the process, unless they are handed over.
func NewKeeper(self host.Identity, now Clock) *Keeper {
	var secret [secretBytes]byte
	rand.Read(secret[:]) // never fails
	return &Keeper{
		self:    self,
		now:     now,
		own:     newBook(bookID{Host: self.ID, Incarnation: self.Incarnation}, now(), secret),
		adopted: map[bookID]*adoption{},
		moved:   map[bookID]moved{},
	}
}

// Issue returns a new key for a client account.
func (k *Keeper) Issue(account string) string {
	issued := k.now().Sub(k.own.started)
	return newIssuedKey(k.self, issued, k.own.secret[:], account).String()
}

// Begin decides whether an attempt may run. A key of a book that is not here is
// unknown.
func (k *Keeper) Begin(b *Begin) Decision {
	key, ok := parseIssued(b.Key)
	if !ok {
		return Decision{Verdict: VerdictInvalid}
	}
	held := k.book(key.book())
	if held == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	return held.begin(k.now(), key, b)
}

// Finish records the end of an attempt.
func (k *Keeper) Finish(f *Finish) Finished {
	key, ok := parseIssued(f.Key)
	if !ok {
		return Finished{}
	}
	held := k.book(key.book())
	if held == nil {
		return Finished{}
	}
	return held.finish(k.now(), f)
}

// book returns the book of a process if it is here.
func (k *Keeper) book(id bookID) *book {
	if id == k.own.id {
		return k.own
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.adopted[id]
	if a == nil {
		return nil
	}
	if k.now().Sub(a.from) > bookLife {
		a.book, a.got = nil, nil
	}
	return a.book
}

// whereabouts returns the process that took a book over, as far as it is known
// here.
func (k *Keeper) whereabouts(id bookID) (host.Identity, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m, ok := k.moved[id]
	return m.to, ok
}

// Count returns the number of records of keys that this process issued.
func (k *Keeper) Count() int { return k.own.count() }
