package allotment

import (
	"slices"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// DomainObserver follows the records of the other failure domains and decides when
// their extra shares have certainly expired.
type DomainObserver struct {
	domain        string
	startedAt     time.Time // start of the leadership
	lease         time.Duration
	margin        time.Duration
	records       map[string]observedRecord
	promisedUntil map[string]time.Time
	pendingFences map[string]*pendingFence // writes whose outcome is unknown
	mutations     mutations
}

type observedRecord struct {
	record    DomainRecord
	revision  kvstore.Revision
	firstSeen time.Time // when this revision was first seen
}

// pendingFence is a write that ends a domain's extra shares and whose outcome is
// not known yet.
type pendingFence struct {
	write        kvstore.Write
	responseLost bool // the write may have succeeded even if a later attempt fails
}

// NewDomainObserver returns the observer of a leader that starts now. Each domain's
// record is leased for the given duration; margin allows for clock differences.
func NewDomainObserver(now time.Time, domain string, lease, margin time.Duration) *DomainObserver {
	return &DomainObserver{
		domain:        domain,
		startedAt:     now,
		lease:         lease,
		margin:        margin,
		records:       map[string]observedRecord{},
		promisedUntil: map[string]time.Time{},
		pendingFences: map[string]*pendingFence{},
	}
}

// Observe processes a domain's record that was read from the store. Older revisions
// have no effect. It fails with a *DecodeError if the record cannot be decoded.
func (o *DomainObserver) Observe(now time.Time, domain string, entry kvstore.Entry) error {
	if !entry.Exists() || entry.Revision.Compare(o.records[domain].revision) <= 0 {
		return nil
	}
	record, err := DecodeDomainRecord(entry.Key, entry.Value)
	if err != nil {
		return err
	}
	o.records[domain] = observedRecord{record: record, revision: entry.Revision, firstSeen: now}
	delete(o.pendingFences, domain)
	return nil
}

// Generations returns the generation of each domain whose record is known.
func (o *DomainObserver) Generations() map[string]uint64 {
	out := make(map[string]uint64, len(o.records))
	for domain, r := range o.records {
		out[domain] = r.record.Generation
	}
	return out
}

// LeaderOf returns the host that leads another domain, or "" if it is not known.
func (o *DomainObserver) LeaderOf(domain string) host.ID { return o.records[domain].record.Leader }

// Promise commits this leader not to end the domain's extra shares for the duration
// of their lease. It returns false if it may have ended them already. The caller
// must still be leader at now.
func (o *DomainObserver) Promise(now time.Time, domain string, generation uint64) bool {
	if _, pending := o.pendingFences[domain]; pending || o.records[domain].record.Generation > generation {
		return false
	}
	o.promisedUntil[domain] = now.Add(o.lease)
	return true
}

// ExpiredDomains returns the domains whose extra shares have certainly expired and
// that this leader may fence, sorted.
func (o *DomainObserver) ExpiredDomains(now time.Time) []string {
	var out []string
	for domain, r := range o.records {
		if domain != o.domain && slices.Contains(r.record.Peers, o.domain) && o.extraExpired(now, domain, r) {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

func (o *DomainObserver) extraExpired(now time.Time, domain string, r observedRecord) bool {
	if o.mutations.fenceWithoutWait {
		return true
	}
	wait := o.lease + o.margin
	return now.Sub(r.firstSeen) >= wait && now.Sub(o.startedAt) >= wait && !now.Before(o.promisedUntil[domain])
}

// Fence returns the write that ends the extra shares of an expired domain. The same
// write is returned until its outcome is known.
func (o *DomainObserver) Fence(domain, operation string) (kvstore.Write, bool) {
	if f, ok := o.pendingFences[domain]; ok {
		return f.write, true
	}
	r := o.records[domain]
	next := r.record
	next.Generation++
	next.Operation = operation
	value, err := next.Encode()
	if err != nil {
		return kvstore.Write{}, false
	}
	write := kvstore.Write{Key: DomainKey(domain), Value: value, Expected: r.revision}
	o.pendingFences[domain] = &pendingFence{write: write}
	return write, true
}

// RecordOutcome processes the outcome of a write that Fence returned.
func (o *DomainObserver) RecordOutcome(now time.Time, domain string, entry kvstore.Entry, err error) error {
	if err == nil || kvstore.IsKind(err, kvstore.KindConflict) {
		return o.Observe(now, domain, entry)
	}
	f, ok := o.pendingFences[domain]
	if !ok {
		return nil
	}
	f.responseLost = f.responseLost || kvstore.IsKind(err, kvstore.KindUnknownOutcome)
	if !f.responseLost {
		delete(o.pendingFences, domain)
	}
	return nil
}
