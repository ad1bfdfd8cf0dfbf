package idempotency

import (
	"context"
	"slices"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// callerKeyHandover carries one batch of the records of caller keys to the next
// leader of the failure domain.
type callerKeyHandover struct {
	Epoch           uint64                 `cbor:"1,keyasint"` // of the term in which the records were kept
	Batch           int                    `cbor:"2,keyasint"`
	BatchCount      int                    `cbor:"3,keyasint"`
	Records         []handoverRecord       `cbor:"4,keyasint,omitempty"`
	QuarantineLeft  time.Duration          `cbor:"5,keyasint"` // remaining quarantine of all keys; zero if none
	DomainNames     []string               `cbor:"6,keyasint,omitempty"`
	Revision        configuration.Revision `cbor:"7,keyasint"`
	PreviousDomains []handoverDomains      `cbor:"8,keyasint,omitempty"`
}

// handoverDomains is a supersededDomains with a time that is relative to the sending
// of the message.
type handoverDomains struct {
	Names          []string      `cbor:"1,keyasint"`
	QuarantineLeft time.Duration `cbor:"2,keyasint"`
}

// receivedHandover holds the batches that arrived from the previous leader, until
// this host leads.
type receivedHandover struct {
	header     *callerKeyHandover // last batch that arrived; nil if none did
	batches    map[int][]handoverRecord
	receivedAt time.Time // when the last batch arrived
}

// HandOver moves the records of caller keys to the host that will lead next. It is
// called once, after this host has stopped leading in term and before its lease
// ends. It returns a *KeeperError if a batch could not be sent; the next leader then
// starts with a quarantine.
func (k *CallerKeyKeeper) HandOver(ctx context.Context, calls fleet.Caller, term LeadershipTerm, successor host.Identity) error {
	return sendHandover(ctx, calls, k.exportRecords(term), successor)
}

// ForwardHandover sends a handover that this host received, but did not apply
// because it never led, to another host of the failure domain. It is called when
// this host is stopping. It returns a *KeeperError.
func (k *CallerKeyKeeper) ForwardHandover(ctx context.Context, calls fleet.Caller, successor host.Identity) error {
	return sendHandover(ctx, calls, k.exportUnapplied(), successor)
}

// exportUnapplied returns the messages of a complete handover that was not applied,
// with their relative times reduced by its age. It returns none if there is no such
// handover.
func (k *CallerKeyKeeper) exportUnapplied() []*callerKeyHandover {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := &k.received
	if h.header == nil || len(h.batches) != h.header.BatchCount {
		return nil
	}
	age := k.now().Sub(h.receivedAt)
	var messages []*callerKeyHandover
	for batch, records := range h.batches {
		m := *h.header
		m.Batch, m.Records = batch, slices.Clone(records)
		for j := range m.Records {
			m.Records[j].DeadlineIn -= age
			m.Records[j].ExpiresIn -= age
		}
		m.QuarantineLeft = max(0, m.QuarantineLeft-age)
		m.PreviousDomains = slices.Clone(m.PreviousDomains)
		for j := range m.PreviousDomains {
			m.PreviousDomains[j].QuarantineLeft -= age
		}
		messages = append(messages, &m)
	}
	return messages
}

// sendHandover sends the messages in turn. It returns a *KeeperError at the first
// one that fails.
func sendHandover(ctx context.Context, calls fleet.Caller, messages []*callerKeyHandover, successor host.Identity) error {
	for _, message := range messages {
		var r handoverAck
		if err := calls.Call(ctx, successor.Fleet, KindCallerKeyHandover, message, &r); err != nil {
			return &KeeperError{Keeper: string(successor.ID), Err: err}
		}
	}
	return nil
}

// exportRecords ends all decisions in the term and returns the messages of its
// handover. It returns none if this host does not hold the records of the previous
// term.
func (k *CallerKeyKeeper) exportRecords(term LeadershipTerm) []*callerKeyHandover {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.catchUp(term) {
		return nil
	}
	epoch := term.Epoch
	k.handedOverEpoch = epoch
	now := k.now()
	all := make([]*Record, 0, len(k.records.byID))
	for _, record := range k.records.byID {
		all = append(all, record)
	}
	batches := splitIntoBatches(all, now)
	var messages []*callerKeyHandover
	for i, batch := range batches {
		m := &callerKeyHandover{
			Epoch: epoch, Batch: i, BatchCount: len(batches), Records: batch,
			QuarantineLeft: max(0, k.quarantine.allKeysUntil.Sub(now)), DomainNames: k.quarantine.names, Revision: k.quarantine.revision,
		}
		for _, p := range k.quarantine.previousDomains {
			m.PreviousDomains = append(m.PreviousDomains, handoverDomains{Names: p.names, QuarantineLeft: p.until.Sub(now)})
		}
		messages = append(messages, m)
	}
	return messages
}

// catchUp brings the records up to the term, which may have ended before this host
// observed it. It reports whether the records are complete. The caller holds mu.
func (k *CallerKeyKeeper) catchUp(term LeadershipTerm) bool {
	if k.quarantine.epoch == term.Epoch {
		return true
	}
	ledBefore := k.quarantine.epoch != 0 && k.quarantine.epoch == term.Previous
	if !ledBefore && !k.received.isCompleteFor(term) {
		return false
	}
	if !ledBefore {
		k.applyHandover()
	}
	k.quarantine.epoch = term.Epoch
	return true
}

// receiveBatch stores a batch. A batch of a later epoch replaces all batches that
// have arrived; one of an earlier epoch is ignored.
func (k *CallerKeyKeeper) receiveBatch(h *callerKeyHandover) handoverAck {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h.Epoch < k.received.epoch() {
		return handoverAck{}
	}
	if h.Epoch != k.received.epoch() {
		k.received = receivedHandover{batches: map[int][]handoverRecord{}}
	}
	k.received.header = h
	k.received.batches[h.Batch] = h.Records
	k.received.receivedAt = k.now()
	return handoverAck{Complete: len(k.received.batches) == h.BatchCount}
}

// epoch returns the epoch of the term that was handed over, zero if none was.
func (h *receivedHandover) epoch() uint64 {
	if h.header == nil {
		return 0
	}
	return h.header.Epoch
}

// isCompleteFor reports whether all batches have arrived and belong to the term
// before the given one.
func (h *receivedHandover) isCompleteFor(term LeadershipTerm) bool {
	return h.header != nil && h.header.Epoch == term.Previous && len(h.batches) == h.header.BatchCount
}

// applyHandover adds the received records and replaces the quarantine by that of
// the previous term. The caller holds mu.
func (k *CallerKeyKeeper) applyHandover() {
	header, receivedAt := k.received.header, k.received.receivedAt
	for _, record := range mergeBatches(k.received.batches, receivedAt) {
		k.records.add(record)
	}
	k.quarantine = quarantineState{epoch: header.Epoch, allKeysUntil: receivedAt.Add(header.QuarantineLeft), names: header.DomainNames, revision: header.Revision}
	for _, p := range header.PreviousDomains {
		k.quarantine.previousDomains = append(k.quarantine.previousDomains, supersededDomains{names: p.Names, until: receivedAt.Add(p.QuarantineLeft)})
	}
	k.received = receivedHandover{}
}
