package idempotency

import (
	"context"
	"sync"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

const (
	// handoverRetention is the time after which all records of a handover have
	// expired.
	handoverRetention = 2 * KeyValidity

	batchResponseBytes  = 128 << 10 // a message gets no further record once its responses exceed this size
	batchRecords        = 500       // maximum number of records in a message
	announceConcurrency = 32        // concurrent announcements of a relocation
)

// handoverRecord is a record in a handover. Its times are relative to the sending
// of the message, because the clocks of two hosts differ.
type handoverRecord struct {
	Record     Record        `cbor:"1,keyasint"`
	DeadlineIn time.Duration `cbor:"2,keyasint"`
	ExpiresIn  time.Duration `cbor:"3,keyasint"`
}

// handover carries one batch of an issuer's records to the process that takes them
// over.
type handover struct {
	Issuer     issuerID         `cbor:"1,keyasint"`
	Secret     []byte           `cbor:"2,keyasint"`
	IssuerAge  time.Duration    `cbor:"3,keyasint"` // time since the issuing process started
	Batch      int              `cbor:"4,keyasint"`
	BatchCount int              `cbor:"5,keyasint"`
	Records    []handoverRecord `cbor:"6,keyasint,omitempty"`
}

// handoverAck is the reply to a batch, and to a relocation.
type handoverAck struct {
	Complete bool `cbor:"1,keyasint"` // all batches have arrived; for issued keys, the records are now in use
}

// relocation announces which process holds an issuer's records now.
type relocation struct {
	Issuer issuerID      `cbor:"1,keyasint"`
	Holder host.Identity `cbor:"2,keyasint"`
}

// HandOver closes all records of this keeper, moves them to successor and announces
// the new holder to others. It is called once, after the last request of a process
// that is stopping. Keys whose records could not be moved get
// VerdictUnknown. It returns a *KeeperError.
func (k *Keeper) HandOver(ctx context.Context, calls fleet.Caller, successor host.Identity, others []host.Identity) error {
	var failure error
	for _, records := range k.detachRecords() {
		if err := k.sendRecords(ctx, calls, records, successor); err != nil {
			failure = err
			continue
		}
		k.announce(ctx, calls, relocation{Issuer: records.issuer, Holder: successor}, others)
	}
	return failure
}

// detachRecords returns the records that this host issued or took over, and removes
// those that it took over.
func (k *Keeper) detachRecords() []*issuerRecords {
	k.mu.Lock()
	defer k.mu.Unlock()
	detached := []*issuerRecords{k.issued}
	for _, t := range k.takeovers {
		if t.records != nil {
			detached = append(detached, t.records)
			t.records = nil
		}
	}
	return detached
}

// sendRecords closes the records and sends them to successor in batches. It returns
// a *KeeperError.
func (k *Keeper) sendRecords(ctx context.Context, calls fleet.Caller, records *issuerRecords, successor host.Identity) error {
	all := records.closeAndList()
	now := k.now()
	batches := splitIntoBatches(all, now)
	for i, batch := range batches {
		message := handover{
			Issuer: records.issuer, Secret: records.secret[:], IssuerAge: now.Sub(records.issuerStarted),
			Batch: i, BatchCount: len(batches), Records: batch,
		}
		var r handoverAck
		if err := calls.Call(ctx, successor.Fleet, KindHandover, message, &r); err != nil {
			return &KeeperError{Keeper: string(successor.ID), Err: err}
		}
		if i == len(batches)-1 && !r.Complete {
			return &KeeperError{Keeper: string(successor.ID)}
		}
	}
	return nil
}

// announce notes the relocation on this host and sends it to others, best effort: a
// host that misses it doesn't find the new holder, and refuses the keys.
func (k *Keeper) announce(ctx context.Context, calls fleet.Caller, r relocation, others []host.Identity) {
	k.recordHolder(r)
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, announceConcurrency)
	for _, other := range others {
		if k.announceSerially {
			announceTo(ctx, calls, r, other)
			continue
		}
		slots <- struct{}{}
		wait.Go(func() {
			announceTo(ctx, calls, r, other)
			<-slots
		})
	}
}

// announceTo sends the relocation to one host and ignores errors.
func announceTo(ctx context.Context, calls fleet.Caller, r relocation, other host.Identity) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var ignored handoverAck
	_ = calls.Call(ctx, other.Fleet, KindRelocation, r, &ignored)
}

// splitIntoBatches splits the records into batches of bounded size. It returns at
// least one batch, which may be empty.
func splitIntoBatches(all []*Record, now time.Time) [][]handoverRecord {
	batches := [][]handoverRecord{nil}
	size := 0
	for _, record := range all {
		last := len(batches) - 1
		if len(batches[last]) == batchRecords || size > batchResponseBytes {
			batches = append(batches, nil)
			size = 0
			last++
		}
		batches[last] = append(batches[last], handoverRecord{
			Record:     *record,
			DeadlineIn: record.Deadline.Sub(now),
			ExpiresIn:  record.Expires.Sub(now),
		})
		if record.Response != nil {
			size += record.Response.size()
		}
	}
	return batches
}

// mergeBatches returns the records of all batches, with times that are relative to
// now instead of the sending.
func mergeBatches(batches map[int][]handoverRecord, now time.Time) []*Record {
	var all []*Record
	for _, batch := range batches {
		for _, m := range batch {
			record := m.Record
			record.Deadline = now.Add(m.DeadlineIn)
			record.Expires = now.Add(m.ExpiresIn)
			all = append(all, &record)
		}
	}
	return all
}

// receiveBatch stores a batch of an issuer's records. The records come into use when
// all batches have arrived; repeated batches after that are ignored.
func (k *Keeper) receiveBatch(h *handover) handoverAck {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.dropIncompleteTakeovers(now)
	t := k.takeovers[h.Issuer]
	if t == nil {
		t = &takeover{batches: map[int][]handoverRecord{}, since: now}
		k.takeovers[h.Issuer] = t
	}
	if t.completed || h.Issuer == k.issued.issuer || len(h.Secret) != secretBytes {
		return handoverAck{}
	}
	t.batches[h.Batch] = h.Records
	if len(t.batches) < h.BatchCount {
		return handoverAck{}
	}
	records := newIssuerRecords(h.Issuer, now.Add(-h.IssuerAge), [secretBytes]byte(h.Secret))
	records.add(mergeBatches(t.batches, now))
	*t = takeover{records: records, completed: true, since: now}
	return handoverAck{Complete: true}
}

// dropIncompleteTakeovers removes takeovers whose batches did not all arrive within
// handoverRetention. The caller holds mu.
func (k *Keeper) dropIncompleteTakeovers(now time.Time) {
	for issuer, t := range k.takeovers {
		if !t.completed && now.Sub(t.since) > handoverRetention {
			delete(k.takeovers, issuer)
		}
	}
}

// recordHolder notes which process took over an issuer's records, and removes
// entries older than handoverRetention.
func (k *Keeper) recordHolder(r relocation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for issuer, h := range k.holders {
		if now.Sub(h.learnedAt) > handoverRetention {
			delete(k.holders, issuer)
		}
	}
	k.holders[r.Issuer] = holder{process: r.Holder, learnedAt: now}
}
