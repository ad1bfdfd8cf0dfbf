package idempotency

import (
	"context"
	"slices"
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
// called once, after this host has stopped leading under tenure and before its
// lease ends. It returns a *KeeperError; the next leader then begins with a
// quarantine.
func (k *OwnKeeper) HandOver(ctx context.Context, calls fleet.Caller, tenure Tenure, successor host.Identity) error {
	return send(ctx, calls, k.export(tenure), successor)
}

// PassOn sends what this host inherited, and did not take over because it never
// led, to another host of the failure domain. The host is stopping.
func (k *OwnKeeper) PassOn(ctx context.Context, calls fleet.Caller, successor host.Identity) error {
	return send(ctx, calls, k.unused(), successor)
}

// unused returns a complete inheritance that was not taken over.
func (k *OwnKeeper) unused() []*ownHandover {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := &k.inherited
	if i.head == nil || len(i.got) != i.head.Parts {
		return nil
	}
	age := k.now().Sub(i.at)
	var messages []*ownHandover
	for part, records := range i.got {
		m := *i.head
		m.Part, m.Records = part, slices.Clone(records)
		for j := range m.Records {
			m.Records[j].UntilLeft -= age
			m.Records[j].ExpiresLeft -= age
		}
		m.Quarantine = max(0, m.Quarantine-age)
		m.Past = slices.Clone(m.Past)
		for j := range m.Past {
			m.Past[j].Left -= age
		}
		messages = append(messages, &m)
	}
	return messages
}

func send(ctx context.Context, calls fleet.Caller, messages []*ownHandover, successor host.Identity) error {
	for _, message := range messages {
		var r received
		if err := calls.Call(ctx, successor.Fleet, KindOwnHandover, message, &r); err != nil {
			return &KeeperError{Keeper: string(successor.ID), Err: err}
		}
	}
	return nil
}

// export closes the tenure and returns its messages, none if records of the one
// before are missing.
func (k *OwnKeeper) export(tenure Tenure) []*ownHandover {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reach(tenure) {
		return nil
	}
	epoch := tenure.Epoch
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
			Quarantine: max(0, k.term.quarantine.Sub(now)), Names: k.term.names, Revision: k.term.revision,
		}
		for _, p := range k.term.past {
			m.Past = append(m.Past, movedDomains{Names: p.names, Left: p.until.Sub(now)})
		}
		messages = append(messages, m)
	}
	return messages
}

// reach brings the records to the end of the tenure, which this host may have
// stopped before it had a look at it. The caller holds mu.
func (k *OwnKeeper) reach(tenure Tenure) bool {
	if k.term.epoch == tenure.Epoch {
		return true
	}
	own := k.term.epoch != 0 && k.term.epoch == tenure.Previous
	if !own && !k.inherited.follows(tenure) {
		return false
	}
	if !own {
		k.inherit()
	}
	k.term.epoch = tenure.Epoch
	return true
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
