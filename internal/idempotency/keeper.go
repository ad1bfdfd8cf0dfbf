package idempotency

import (
	"crypto/rand"
	"sync"
	"time"

	"peridotrail/internal/host"
)

const (
	shardCount            = 16
	maxShardRecords       = 12_000  // per shard
	maxShardResponseBytes = 2 << 20 // total size of the stored responses of one shard
	secretBytes           = 32
)

// Clock returns the current time. In production the time must include a monotonic
// clock reading.
type Clock func() time.Time

// Keeper issues keys and keeps their records for the life of its process. It also
// keeps the records that stopping processes handed over to it. It is safe for
// concurrent use.
type Keeper struct {
	self             host.Identity
	now              Clock
	issued           *issuerRecords
	announceSerially bool // announces relocations one by one, for tests

	mu        sync.Mutex // guards the fields below; never held across I/O
	takeovers map[issuerID]*takeover
	holders   map[issuerID]holder
}

// takeover is the state of one issuer's records that are being received, or were
// received.
type takeover struct {
	records   *issuerRecords // nil until all batches have arrived, and again after the records were handed over or have all expired
	completed bool           // all batches have arrived; later ones are ignored
	since     time.Time      // when the first batch arrived, or when completed was set
	batches   map[int][]handoverRecord
}

// holder is the process that took over an issuer's records.
type holder struct {
	process   host.Identity
	learnedAt time.Time
}

// NewKeeper returns the keeper of the process self. Its secret and its records are
// lost when the process ends, unless HandOver moves them to another process.
func NewKeeper(self host.Identity, now Clock) *Keeper {
	var secret [secretBytes]byte
	rand.Read(secret[:]) // never fails
	return &Keeper{
		self:      self,
		now:       now,
		issued:    newIssuerRecords(issuerID{Host: self.ID, Incarnation: self.Incarnation}, now(), secret),
		takeovers: map[issuerID]*takeover{},
		holders:   map[issuerID]holder{},
	}
}

// Issue returns a new key for a client account.
func (k *Keeper) Issue(account string) string {
	issuedAt := k.now().Sub(k.issued.issuerStarted)
	return newIssuedKey(k.self, issuedAt, k.issued.secret[:], account).String()
}

// Begin decides whether an attempt may run. It returns VerdictUnknown if the
// records of the key's issuer are not on this host.
func (k *Keeper) Begin(b *Begin) Decision {
	key, ok := parseIssuedKey(b.Key)
	if !ok {
		return Decision{Verdict: VerdictInvalid}
	}
	records := k.recordsOf(key.issuer())
	if records == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	return records.begin(k.now(), key, b)
}

// Finish records how an attempt ended.
func (k *Keeper) Finish(f *Finish) Finished {
	key, ok := parseIssuedKey(f.Key)
	if !ok {
		return Finished{}
	}
	records := k.recordsOf(key.issuer())
	if records == nil {
		return Finished{}
	}
	return records.finish(k.now(), f)
}

// recordsOf returns the records of an issuer, nil if they are not on this host.
func (k *Keeper) recordsOf(issuer issuerID) *issuerRecords {
	if issuer == k.issued.issuer {
		return k.issued
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.takeovers[issuer]
	if t == nil {
		return nil
	}
	if k.now().Sub(t.since) > handoverRetention {
		t.records, t.batches = nil, nil
	}
	return t.records
}

// holderOf returns the process that took over an issuer's records, and false if
// this host knows of none.
func (k *Keeper) holderOf(issuer issuerID) (host.Identity, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.holders[issuer]
	return h.process, ok
}

// Count returns the number of records of keys that this process issued.
func (k *Keeper) Count() int { return k.issued.count() }
