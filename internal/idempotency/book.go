package idempotency

import (
	"hash/maphash"
	"sync"
	"time"

	"peridotrail/internal/host"
)

// bookID names the process that issued the keys of a book.
type bookID struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
}

func (k *issuedKey) book() bookID { return bookID{Host: k.keeper, Incarnation: k.incarnation} }

// book holds the records of the keys that one process issued. Exactly one
// process holds an open book at any time.
type book struct {
	id      bookID
	started time.Time // when the issuing process started, on this host's clock
	secret  [secretBytes]byte
	seed    maphash.Seed
	shards  [shardCount]bookShard
}

type bookShard struct {
	mu      sync.Mutex // guards the fields below; never held across I/O
	closed  bool       // the records were handed over
	records *records
}

func newBook(id bookID, started time.Time, secret [secretBytes]byte) *book {
	b := &book{id: id, started: started, secret: secret, seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].records = newRecords(shardRecords, shardAnswerBytes)
	}
	return b
}

func (b *book) shard(key string) *bookShard {
	return &b.shards[maphash.String(b.seed, key)%shardCount]
}

func (b *book) begin(now time.Time, key *issuedKey, message *Begin) Decision {
	if !key.authentic(b.secret[:], message.Account) {
		return Decision{Verdict: VerdictInvalid}
	}
	s := b.shard(message.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Decision{Verdict: VerdictUnknown}
	}
	expires := b.started.Add(key.issued + KeyValidity)
	return s.records.begin(now, message, expires, now.Before(expires))
}

// finish reports false for the attempt if the book is closed, so that the sender
// asks its new holder.
func (b *book) finish(now time.Time, f *Finish) Finished {
	s := b.shard(f.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Finished{}
	}
	return s.records.finish(now, f)
}

// close ends all decisions under the book and returns its records.
func (b *book) close() []*Record {
	var all []*Record
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		s.closed = true
		for _, record := range s.records.byID {
			all = append(all, record)
		}
		s.mu.Unlock()
	}
	return all
}

// add takes over records before the book is in use.
func (b *book) add(all []*Record) {
	for _, record := range all {
		b.shard(record.ID.Key).records.add(record)
	}
}

func (b *book) count() int {
	count := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		count += len(s.records.byID)
		s.mu.Unlock()
	}
	return count
}
