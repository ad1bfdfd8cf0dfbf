package idempotency

import (
	"context"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// ownHandover carries a part of the records of own keys to the next leader.
type ownHandover struct {
	Epoch      uint64                 `cbor:"1,keyasint"` // under which the records were kept
	Part       int                    `cbor:"2,keyasint"`
	Parts      int                    `cbor:"3,keyasint"`
	Records    []movedRecord          `cbor:"4,keyasint,omitempty"`
	Quarantine time.Duration          `cbor:"5,keyasint"` // left of it
	Names      []string               `cbor:"6,keyasint,omitempty"`
	Revision   configuration.Revision `cbor:"7,keyasint"`
	Past       []movedDomains         `cbor:"8,keyasint,omitempty"`
}

type movedDomains struct {
	Names []string      `cbor:"1,keyasint"`
	Left  time.Duration `cbor:"2,keyasint"`
}

// inheritance is what arrived from the previous leader.
type inheritance struct {
	head *ownHandover
	got  map[int][]movedRecord
	at   time.Time
}

// HandOver moves the records of own keys to the host that will lead next. It is
// called once, after this host has stopped leading under epoch and before its
// lease ends. It returns a *KeeperError; the next leader then begins with a
// quarantine.
func (k *OwnKeeper) HandOver(ctx context.Context, calls fleet.Caller, epoch uint64, successor host.Identity) error {
	messages := k.export(epoch)
	for _, message := range messages {
		var r received
		if err := calls.Call(ctx, successor.Fleet, KindOwnHandover, message, &r); err != nil {
			return &KeeperError{Keeper: string(successor.ID), Err: err}
		}
	}
	return nil
}

// export closes the epoch and returns its messages, none if this process did not
// keep keys under it.
func (k *OwnKeeper) export(epoch uint64) []*ownHandover {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term.epoch != epoch {
		return nil
	}
	k.closed = epoch
	now := k.now()
	all := make([]*Record, 0, len(k.records.byID))
	for _, record := range k.records.byID {
		all = append(all, record)
	}
	parts := split(all, now)
	var messages []*ownHandover
	for i, part := range parts {
		m := &ownHandover{
			Epoch: epoch, Part: i, Parts: len(parts), Records: part,
			Quarantine: k.term.quarantine.Sub(now), Names: k.term.names, Revision: k.term.revision,
		}
		for _, p := range k.term.past {
			m.Past = append(m.Past, movedDomains{Names: p.names, Left: p.until.Sub(now)})
		}
		messages = append(messages, m)
	}
	return messages
}

// receive takes a part. Parts of another epoch replace what has arrived.
func (k *OwnKeeper) receive(h *ownHandover) received {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h.Epoch < k.inherited.epoch() {
		return received{}
	}
	if h.Epoch != k.inherited.epoch() {
		k.inherited = inheritance{got: map[int][]movedRecord{}}
	}
	k.inherited.head = h
	k.inherited.got[h.Part] = h.Records
	k.inherited.at = k.now()
	return received{Complete: len(k.inherited.got) == h.Parts}
}

func (i *inheritance) epoch() uint64 {
	if i.head == nil {
		return 0
	}
	return i.head.Epoch
}

// follows reports whether the inheritance is complete and of the tenure before.
func (i *inheritance) follows(tenure Tenure) bool {
	return i.head != nil && i.head.Epoch == tenure.Previous && len(i.got) == i.head.Parts
}

// inherit takes over the records and the quarantine of the tenure before. The
// caller holds mu.
func (k *OwnKeeper) inherit() {
	head, at := k.inherited.head, k.inherited.at
	for _, record := range join(k.inherited.got, at) {
		k.records.add(record)
	}
	k.term = ownTerm{epoch: head.Epoch, quarantine: at.Add(head.Quarantine), names: head.Names, revision: head.Revision}
	for _, p := range head.Past {
		k.term.past = append(k.term.past, pastDomains{names: p.Names, until: at.Add(p.Left)})
	}
	k.inherited = inheritance{}
}
