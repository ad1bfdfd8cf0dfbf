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

// DomainOfKey returns the failure domain whose record has the given key, or false.
func DomainOfKey(key string) (string, bool) { return strings.CutPrefix(key, domainsPrefix) }

// DomainRecord is renewed by a domain's leader. The domain's extra shares of its
// generation end when the record is not renewed for the domain's term.
type DomainRecord struct {
	Epoch      uint64 `cbor:"1,keyasint"`
	Sequence   uint64 `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"` // raised by a domain that ends the extra shares
	Operation  string `cbor:"4,keyasint"` // names the write
	// Peers are the domains whose leaders may end the extra shares.
	Peers []string `cbor:"5,keyasint,omitempty"`
	// HandedOver says that the leader of this epoch gives out nothing more, and that
	// only Holders may hold shares of the domain.
	HandedOver bool            `cbor:"6,keyasint,omitempty"`
	Holders    []HolderProcess `cbor:"8,keyasint,omitempty"`
	// Leader is the host that leads the domain.
	Leader host.ID `cbor:"7,keyasint,omitempty"`
}

// HolderProcess names one process that holds shares.
type HolderProcess struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
}

// DecodeDomainRecord reads a store value.
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

// DomainTerm renews the record of the leader's own domain and knows how long the
// extra shares of the domain may be used.
type DomainTerm struct {
	domain   string
	epoch    uint64
	term     time.Duration
	loaded   bool
	record   DomainRecord
	revision kvstore.Revision
	until    time.Time
	pending  *pendingRecord
	stale    bool // a newer leader renewed the record
	known    bool // this leader's first write found which processes hold shares
	holders  []HolderProcess
}

type pendingRecord struct {
	record DomainRecord
	sent   time.Time
	write  kvstore.Write
	known  bool // the record that it replaces says which processes hold shares
	former []HolderProcess
	lost   bool // an answer was lost; a later refusal does not settle the write
}

// NewDomainTerm returns the term of a leader that has not seen the record.
func NewDomainTerm(domain string, epoch uint64, term time.Duration) *DomainTerm {
	return &DomainTerm{domain: domain, epoch: epoch, term: term}
}

// Loaded reports whether the record has been read.
func (t *DomainTerm) Loaded() bool { return t.loaded }

// Holders returns the processes that held shares when this leader took the record
// over. It returns false if that is not known; a domain that never had a record
// has no holders.
func (t *DomainTerm) Holders() ([]HolderProcess, bool) { return t.holders, t.known }

// Owned reports whether the record names this leader's epoch.
func (t *DomainTerm) Owned() bool { return t.loaded && t.revision != 0 && t.record.Epoch == t.epoch }

// Stale reports whether a newer leader of the domain renewed the record.
func (t *DomainTerm) Stale() bool { return t.stale }

// Generation returns the generation of the record.
func (t *DomainTerm) Generation() uint64 { return t.record.Generation }

// Until returns the end of the right to the extra shares.
func (t *DomainTerm) Until() time.Time { return t.until }

// Peers returns the domains whose leaders may end the extra shares: those of the
// newest record seen and of a write whose outcome is unknown.
func (t *DomainTerm) Peers() []string {
	peers := slices.Clone(t.record.Peers)
	if t.pending != nil {
		peers = append(peers, t.pending.record.Peers...)
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// Promised extends the right to the extra shares because the leaders of all Peers
// promised at or after asked not to end them for their term.
func (t *DomainTerm) Promised(asked time.Time, term time.Duration) {
	t.extend(asked.Add(term))
}

func (t *DomainTerm) extend(until time.Time) {
	if until.After(t.until) {
		t.until = until
	}
}

// Observe takes an entry that was read from the store. It recognises an own write
// whose answer was lost.
func (t *DomainTerm) Observe(entry kvstore.Entry) error {
	if t.loaded && entry.Revision <= t.revision {
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
	t.loaded = true
	t.stale = t.stale || record.Epoch > t.epoch
	if record.Generation != t.record.Generation {
		t.until = time.Time{}
	}
	t.record, t.revision = record, entry.Revision
	if t.pending != nil && t.pending.record.Operation == record.Operation && !t.stale {
		t.extend(t.pending.sent.Add(t.term))
		if t.pending.known {
			t.known, t.holders = true, t.pending.former
		}
	}
	t.pending = nil
	return nil
}

// Renew returns the next write of the record. Leader is the host that leads.
func (t *DomainTerm) Renew(now time.Time, leader host.ID, peers []string, operation string) (kvstore.Write, bool) {
	return t.write(now, DomainRecord{Operation: operation, Peers: slices.Clone(peers), Leader: leader})
}

// HandOver returns the last write of a leader that gives out nothing more.
func (t *DomainTerm) HandOver(now time.Time, operation string, holders []HolderProcess) (kvstore.Write, bool) {
	return t.write(now, DomainRecord{Operation: operation, Peers: t.Peers(), HandedOver: true, Holders: holders})
}

func (t *DomainTerm) write(now time.Time, next DomainRecord) (kvstore.Write, bool) {
	if !t.loaded || t.stale {
		return kvstore.Write{}, false
	}
	if t.pending != nil {
		return t.pending.write, true
	}
	next.Epoch = t.epoch
	next.Sequence = t.record.Sequence + 1
	next.Generation = t.record.Generation
	value, err := next.Encode()
	if err != nil {
		return kvstore.Write{}, false
	}
	handedOver := t.record.HandedOver && t.record.Epoch < t.epoch
	t.pending = &pendingRecord{
		record: next,
		sent:   now,
		write:  kvstore.Write{Key: DomainKey(t.domain), Value: value, Expected: t.revision},
		known:  t.revision == 0 || handedOver,
		former: t.record.Holders,
	}
	return t.pending.write, true
}

// Finish takes the outcome of a write that Renew returned.
func (t *DomainTerm) Finish(entry kvstore.Entry, err error) error {
	if err == nil || kvstore.IsKind(err, kvstore.KindConflict) {
		return t.Observe(entry)
	}
	if t.pending == nil {
		return nil
	}
	t.pending.lost = t.pending.lost || kvstore.IsKind(err, kvstore.KindUnknownOutcome)
	if !t.pending.lost {
		t.pending = nil
	}
	return nil
}
