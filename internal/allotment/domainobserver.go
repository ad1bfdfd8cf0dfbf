package allotment

import (
	"slices"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// DomainObserver watches the records of the other domains and decides when their
// extra shares have surely ended.
type DomainObserver struct {
	domain   string
	start    time.Time // of the leadership
	term     time.Duration
	margin   time.Duration
	records  map[string]observed
	promised map[string]time.Time
	fencing  map[string]*fencing // writes whose outcome is unknown
	rules    rules
}

type observed struct {
	record   DomainRecord
	revision kvstore.Revision
	since    time.Time // first seen at this revision
}

// fencing is a write that ends a domain's extra shares.
type fencing struct {
	write kvstore.Write
	lost  bool // an answer was lost; a later refusal does not settle the write
}

// NewDomainObserver returns the observer of a leader that starts now. Term is the
// term of every domain's record.
func NewDomainObserver(now time.Time, domain string, term, margin time.Duration) *DomainObserver {
	return &DomainObserver{
		domain:   domain,
		start:    now,
		term:     term,
		margin:   margin,
		records:  map[string]observed{},
		promised: map[string]time.Time{},
		fencing:  map[string]*fencing{},
	}
}

// Observe takes the record of a domain that was read from the store.
func (o *DomainObserver) Observe(now time.Time, domain string, entry kvstore.Entry) error {
	if !entry.Exists() || entry.Revision <= o.records[domain].revision {
		return nil
	}
	record, err := DecodeDomainRecord(entry.Key, entry.Value)
	if err != nil {
		return err
	}
	o.records[domain] = observed{record: record, revision: entry.Revision, since: now}
	delete(o.fencing, domain)
	return nil
}

// Generations returns the generation of each domain, as far as it is known.
func (o *DomainObserver) Generations() map[string]uint64 {
	out := make(map[string]uint64, len(o.records))
	for domain, r := range o.records {
		out[domain] = r.record.Generation
	}
	return out
}

// Leader returns the host that leads another domain, as far as it is known.
func (o *DomainObserver) Leader(domain string) host.ID { return o.records[domain].record.Leader }

// Promise binds this leader not to end the domain's extra shares for the term,
// and returns false if it cannot. The caller must still be leader at now.
func (o *DomainObserver) Promise(now time.Time, domain string, generation uint64) bool {
	if _, unsettled := o.fencing[domain]; unsettled || o.records[domain].record.Generation > generation {
		return false
	}
	o.promised[domain] = now.Add(o.term)
	return true
}

// Expired returns the domains whose extra shares have surely ended, sorted.
func (o *DomainObserver) Expired(now time.Time) []string {
	var out []string
	for domain, r := range o.records {
		if domain != o.domain && slices.Contains(r.record.Peers, o.domain) && o.over(now, domain, r) {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

func (o *DomainObserver) over(now time.Time, domain string, r observed) bool {
	if o.rules.reclaimUnfenced {
		return true
	}
	wait := o.term + o.margin
	return now.Sub(r.since) >= wait && now.Sub(o.start) >= wait && !now.Before(o.promised[domain])
}

// Fence returns the write that ends the extra shares of an expired domain.
func (o *DomainObserver) Fence(domain, operation string) (kvstore.Write, bool) {
	if f, ok := o.fencing[domain]; ok {
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
	o.fencing[domain] = &fencing{write: write}
	return write, true
}

// Finish takes the outcome of a write that Fence returned.
func (o *DomainObserver) Finish(now time.Time, domain string, entry kvstore.Entry, err error) error {
	if err == nil || kvstore.IsKind(err, kvstore.KindConflict) {
		return o.Observe(now, domain, entry)
	}
	f, ok := o.fencing[domain]
	if !ok {
		return nil
	}
	f.lost = f.lost || kvstore.IsKind(err, kvstore.KindUnknownOutcome)
	if !f.lost {
		delete(o.fencing, domain)
	}
	return nil
}
