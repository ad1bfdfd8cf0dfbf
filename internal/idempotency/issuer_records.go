package idempotency

import (
	"hash/maphash"
	"sync"
	"time"

	"peridotrail/internal/host"
)

// issuerID identifies the process that issued a key.
type issuerID struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
}

// issuer returns the process that issued the key.
func (k *issuedKey) issuer() issuerID { return issuerID{Host: k.keeper, Incarnation: k.incarnation} }

// issuerRecords holds the records of all keys that one process issued. They move
// to another process in a graceful shutdown of their holder; at most one process has
// them open at any time. It is safe for concurrent use, except for add.
type issuerRecords struct {
	issuer        issuerID
	issuerStarted time.Time // when the issuing process started, by this host's clock
	secret        [secretBytes]byte
	hashSeed      maphash.Seed
	shards        [shardCount]recordShard
}

// recordShard holds the records of the keys that hash to it.
type recordShard struct {
	mu      sync.Mutex // guards the fields below; never held across I/O
	closed  bool       // the records were handed over; this process decides no longer
	records *recordTable
}

func newIssuerRecords(issuer issuerID, issuerStarted time.Time, secret [secretBytes]byte) *issuerRecords {
	r := &issuerRecords{issuer: issuer, issuerStarted: issuerStarted, secret: secret, hashSeed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].records = newRecordTable(maxShardRecords, maxShardResponseBytes)
	}
	return r
}

func (r *issuerRecords) shard(key string) *recordShard {
	return &r.shards[maphash.String(r.hashSeed, key)%shardCount]
}

// begin decides whether an attempt may run. It returns VerdictUnknown after the
// records were closed.
func (r *issuerRecords) begin(now time.Time, key *issuedKey, message *Begin) Decision {
	if !key.authentic(r.secret[:], message.Account) {
		return Decision{Verdict: VerdictInvalid}
	}
	s := r.shard(message.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Decision{Verdict: VerdictUnknown}
	}
	expires := r.issuerStarted.Add(key.issuedAt + KeyValidity)
	return s.records.begin(now, message, expires, now.Before(expires))
}

// finish records how an attempt ended. It does not match the attempt once the
// records are closed, so that the sender reports to their new holder.
func (r *issuerRecords) finish(now time.Time, f *Finish) Finished {
	s := r.shard(f.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Finished{}
	}
	return s.records.finish(now, f)
}

// closeAndList closes the records, so that this process makes no further decisions
// about them, and returns them.
func (r *issuerRecords) closeAndList() []*Record {
	var all []*Record
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.closed = true
		for _, record := range s.records.byID {
			all = append(all, record)
		}
		s.mu.Unlock()
	}
	return all
}

// add adds records that another process handed over. It takes no lock and must
// be called before r is shared.
func (r *issuerRecords) add(all []*Record) {
	for _, record := range all {
		r.shard(record.ID.Key).records.add(record)
	}
}

// count returns the number of records.
func (r *issuerRecords) count() int {
	count := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		count += len(s.records.byID)
		s.mu.Unlock()
	}
	return count
}
