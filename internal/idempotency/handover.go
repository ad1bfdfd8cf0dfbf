package idempotency

import (
	"context"
	"sync"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

const (
	// bookLife is the time after which no record of a book that was handed over
	// is of use.
	bookLife = 2 * KeyValidity

	partBytes   = 128 << 10 // of the answers in one message
	partRecords = 500
	tellLimit   = 32 // hosts that are told at the same time
)

// movedRecord is a record with times that hold on any clock.
type movedRecord struct {
	Record      Record        `cbor:"1,keyasint"`
	UntilLeft   time.Duration `cbor:"2,keyasint"`
	ExpiresLeft time.Duration `cbor:"3,keyasint"`
}

// handover carries a part of a book to the process that takes it over.
type handover struct {
	Book    bookID        `cbor:"1,keyasint"`
	Secret  []byte        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"` // of the process that issued the keys
	Part    int           `cbor:"4,keyasint"`
	Parts   int           `cbor:"5,keyasint"`
	Records []movedRecord `cbor:"6,keyasint,omitempty"`
}

// received answers a handover.
type received struct {
	Complete bool `cbor:"1,keyasint"` // all parts are here and the book is open
}

// relocation tells other hosts where a book went.
type relocation struct {
	Book bookID        `cbor:"1,keyasint"`
	To   host.Identity `cbor:"2,keyasint"`
}

// HandOver closes all books of this keeper, moves them to successor and tells
// others where they are. It is called once, after the last request of a process
// that stops. What could not be moved stays unknown. It returns a *KeeperError.
func (k *Keeper) HandOver(ctx context.Context, calls fleet.Caller, successor host.Identity, others []host.Identity) error {
	var failure error
	for _, b := range k.release() {
		if err := k.move(ctx, calls, b, successor); err != nil {
			failure = err
			continue
		}
		k.tell(ctx, calls, relocation{Book: b.id, To: successor}, others)
	}
	return failure
}

// release returns the books that are here and forgets the adopted ones.
func (k *Keeper) release() []*book {
	k.mu.Lock()
	defer k.mu.Unlock()
	books := []*book{k.own}
	for _, a := range k.adopted {
		if a.book != nil {
			books = append(books, a.book)
			a.book = nil
		}
	}
	return books
}

func (k *Keeper) move(ctx context.Context, calls fleet.Caller, b *book, successor host.Identity) error {
	all := b.close()
	now := k.now()
	parts := split(all, now)
	for i, part := range parts {
		message := handover{
			Book: b.id, Secret: b.secret[:], Age: now.Sub(b.started),
			Part: i, Parts: len(parts), Records: part,
		}
		var r received
		if err := calls.Call(ctx, successor.Fleet, KindHandover, message, &r); err != nil {
			return &KeeperError{Keeper: string(successor.ID), Err: err}
		}
		if i == len(parts)-1 && !r.Complete {
			return &KeeperError{Keeper: string(successor.ID)}
		}
	}
	return nil
}

// tell is best effort: a host that is not told finds the keys unknown.
func (k *Keeper) tell(ctx context.Context, calls fleet.Caller, r relocation, others []host.Identity) {
	k.noteMoved(r)
	var wait sync.WaitGroup
	defer wait.Wait()
	limit := make(chan struct{}, tellLimit)
	for _, other := range others {
		if k.serial {
			tellOne(ctx, calls, r, other)
			continue
		}
		limit <- struct{}{}
		wait.Go(func() {
			tellOne(ctx, calls, r, other)
			<-limit
		})
	}
}

func tellOne(ctx context.Context, calls fleet.Caller, r relocation, other host.Identity) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var ignored received
	_ = calls.Call(ctx, other.Fleet, KindMoved, r, &ignored)
}

// split returns at least one part.
func split(all []*Record, now time.Time) [][]movedRecord {
	parts := [][]movedRecord{nil}
	size := 0
	for _, record := range all {
		last := len(parts) - 1
		if len(parts[last]) == partRecords || size > partBytes {
			parts = append(parts, nil)
			size = 0
			last++
		}
		parts[last] = append(parts[last], movedRecord{
			Record:      *record,
			UntilLeft:   record.Until.Sub(now),
			ExpiresLeft: record.Expires.Sub(now),
		})
		if record.Answer != nil {
			size += record.Answer.size()
		}
	}
	return parts
}

// join returns the records with their times on the clock of now.
func join(got map[int][]movedRecord, now time.Time) []*Record {
	var all []*Record
	for _, part := range got {
		for _, m := range part {
			record := m.Record
			record.Until = now.Add(m.UntilLeft)
			record.Expires = now.Add(m.ExpiresLeft)
			all = append(all, &record)
		}
	}
	return all
}

// receive takes a part of a book. The book opens when all parts are here, once.
func (k *Keeper) receive(h *handover) received {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.forgetIncomplete(now)
	a := k.adopted[h.Book]
	if a == nil {
		a = &adoption{got: map[int][]movedRecord{}, from: now}
		k.adopted[h.Book] = a
	}
	if a.done || h.Book == k.own.id || len(h.Secret) != secretBytes {
		return received{}
	}
	a.got[h.Part] = h.Records
	if len(a.got) < h.Parts {
		return received{}
	}
	b := newBook(h.Book, now.Add(-h.Age), [secretBytes]byte(h.Secret))
	b.add(join(a.got, now))
	*a = adoption{book: b, done: true, from: now}
	return received{Complete: true}
}

// forgetIncomplete drops books whose parts stopped arriving. The caller holds mu.
func (k *Keeper) forgetIncomplete(now time.Time) {
	for id, a := range k.adopted {
		if !a.done && now.Sub(a.from) > bookLife {
			delete(k.adopted, id)
		}
	}
}

// noteMoved remembers where a book went.
func (k *Keeper) noteMoved(r relocation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for id, m := range k.moved {
		if now.Sub(m.at) > bookLife {
			delete(k.moved, id)
		}
	}
	k.moved[r.Book] = moved{to: r.To, at: now}
}
