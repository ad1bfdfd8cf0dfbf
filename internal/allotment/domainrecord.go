package allotment

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// DomainKey returns the store key of a failure domain's record.
func DomainKey(domain string) string { return domainsPrefix + domain }

// DomainFromKey returns the failure domain whose record has the given store key, or
// false if it is not the key of a record.
func DomainFromKey(key string) (string, bool) { return strings.CutPrefix(key, domainsPrefix) }

// DomainRecord is the record in the store that a domain's leader renews to keep the
// domain's extra shares. If it is not renewed within its lease, other domains may
// raise the generation, which ends the extra shares of the previous generations.
type DomainRecord struct {
	Epoch      uint64 `cbor:"1,keyasint"`
	Sequence   uint64 `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"` // raised by another domain to end the extra shares
	Operation  string `cbor:"4,keyasint"` // identifies the write
	// Peers are the domains whose leaders may end the extra shares.
	Peers []string `cbor:"5,keyasint,omitempty"`
	// HandedOver is set when the leader of this epoch allocates no more shares and
	// only Holders may hold shares of the domain.
	HandedOver bool            `cbor:"6,keyasint,omitempty"`
	Holders    []HolderProcess `cbor:"8,keyasint,omitempty"`
	// Leader is the host that leads the domain.
	Leader host.ID `cbor:"7,keyasint,omitempty"`
}

// HolderProcess identifies a process that holds shares.
type HolderProcess struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
}

// DecodeDomainRecord decodes a store value. It fails with a *DecodeError.
func DecodeDomainRecord(key string, value []byte) (DomainRecord, error) {
	var r DomainRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		return r, &DecodeError{Key: key, Err: err}
	}
	return r, nil
}

// Encode returns the store value.
func (r *DomainRecord) Encode() ([]byte, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode domain record")
	}
	return value, nil
}

// DomainLease renews the record of the leader's own domain and tracks how long the
// domain may use its extra shares.
type DomainLease struct {
	domain        string
	epoch         uint64
	duration      time.Duration
	loaded        bool
	record        DomainRecord
	revision      kvstore.Revision
	until         time.Time
	pending       *pendingRecord
	superseded    bool // a newer leader renewed the record
	previousKnown bool // the record replaced by this leader's first write names all holders
	previous      []HolderProcess
}

type pendingRecord struct {
	record          DomainRecord
	sentAt          time.Time
	write           kvstore.Write
	previousKnown   bool // the record that this write replaces names all holders
	previousHolders []HolderProcess
	responseLost    bool // the write may have succeeded even if a later attempt fails
}

// NewDomainLease returns the lease of a leader that has not read the record yet. The
// duration counts from when a renewal was sent.
func NewDomainLease(domain string, epoch uint64, duration time.Duration) *DomainLease {
	return &DomainLease{domain: domain, epoch: epoch, duration: duration}
}

// Loaded reports whether the record has been read.
func (l *DomainLease) Loaded() bool { return l.loaded }

// PreviousHolders returns the processes that held shares when this leader took over
// the record, or false if they are not known. A domain that never had a record has
// no previous holders.
func (l *DomainLease) PreviousHolders() ([]HolderProcess, bool) { return l.previous, l.previousKnown }

// Owned reports whether the record names this leader's epoch.
func (l *DomainLease) Owned() bool {
	return l.loaded && !l.revision.IsZero() && l.record.Epoch == l.epoch
}

// Superseded reports whether a newer leader of the domain renewed the record.
func (l *DomainLease) Superseded() bool { return l.superseded }

// Generation returns the generation of the record.
func (l *DomainLease) Generation() uint64 { return l.record.Generation }

// Until returns the time until which the domain may use its extra shares.
func (l *DomainLease) Until() time.Time { return l.until }

// Peers returns the domains whose leaders may end the extra shares, sorted: those
// named by the newest record and by a write whose outcome is unknown.
func (l *DomainLease) Peers() []string {
	peers := slices.Clone(l.record.Peers)
	if l.pending != nil {
		peers = append(peers, l.pending.record.Peers...)
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// ExtendByPromise extends the use of the extra shares to asked plus lease. The caller
// has obtained promises from the leaders of all Peers, made at or after asked, not to
// end the extra shares for that duration.
func (l *DomainLease) ExtendByPromise(asked time.Time, lease time.Duration) {
	l.extend(asked.Add(lease))
}

func (l *DomainLease) extend(until time.Time) {
	if until.After(l.until) {
		l.until = until
	}
}

// Observe processes an entry that was read from the store. Older revisions have no
// effect. If the entry is this leader's own write whose response was lost, the lease
// is extended. It fails with a *DecodeError if the entry cannot be decoded.
func (l *DomainLease) Observe(entry kvstore.Entry) error {
	if l.loaded && entry.Revision.Compare(l.revision) <= 0 {
		return nil
	}
	var record DomainRecord
	if entry.Exists() {
		decoded, err := DecodeDomainRecord(entry.Key, entry.Value)
		if err != nil {
			return err
		}
		record = decoded
	}
	l.loaded = true
	l.superseded = l.superseded || record.Epoch > l.epoch
	if record.Generation != l.record.Generation {
		l.until = time.Time{}
	}
	l.record, l.revision = record, entry.Revision
	if l.pending != nil && l.pending.record.Operation == record.Operation && !l.superseded {
		l.extend(l.pending.sentAt.Add(l.duration))
		if l.pending.previousKnown {
			l.previousKnown, l.previous = true, l.pending.previousHolders
		}
	}
	l.pending = nil
	return nil
}

// Renew returns the write that renews the record for the given leader. It returns a
// write whose outcome is unknown again, unchanged. It returns false if the record
// has not been read, or a newer leader renewed it.
func (l *DomainLease) Renew(now time.Time, leader host.ID, peers []string, operation string) (kvstore.Write, bool) {
	return l.nextWrite(now, DomainRecord{Operation: operation, Peers: slices.Clone(peers), Leader: leader})
}

// HandOver returns the last write of a leader that allocates no more shares, with
// the processes that hold shares. It returns false in the same cases as Renew.
func (l *DomainLease) HandOver(now time.Time, operation string, holders []HolderProcess) (kvstore.Write, bool) {
	return l.nextWrite(now, DomainRecord{Operation: operation, Peers: l.Peers(), HandedOver: true, Holders: holders})
}

func (l *DomainLease) nextWrite(now time.Time, next DomainRecord) (kvstore.Write, bool) {
	if !l.loaded || l.superseded {
		return kvstore.Write{}, false
	}
	if l.pending != nil {
		return l.pending.write, true
	}
	next.Epoch = l.epoch
	next.Sequence = l.record.Sequence + 1
	next.Generation = l.record.Generation
	value, err := next.Encode()
	if err != nil {
		return kvstore.Write{}, false
	}
	handedOver := l.record.HandedOver && l.record.Epoch < l.epoch
	l.pending = &pendingRecord{
		record:          next,
		sentAt:          now,
		write:           kvstore.Write{Key: DomainKey(l.domain), Value: value, Expected: l.revision},
		previousKnown:   l.revision.IsZero() || handedOver,
		previousHolders: l.record.Holders,
	}
	return l.pending.write, true
}

// RecordOutcome processes the outcome of a write that Renew or HandOver returned.
func (l *DomainLease) RecordOutcome(entry kvstore.Entry, err error) error {
	if err == nil || kvstore.IsKind(err, kvstore.KindConflict) {
		return l.Observe(entry)
	}
	if l.pending == nil {
		return nil
	}
	l.pending.responseLost = l.pending.responseLost || kvstore.IsKind(err, kvstore.KindUnknownOutcome)
	if !l.pending.responseLost {
		l.pending = nil
	}
	return nil
}
