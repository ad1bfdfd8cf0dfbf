package crashguard

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

const (
	// suspectCrashes is the number of crashes from which a request is sent only as a trial,
	// one at a time in the whole fleet.
	suspectCrashes = 2
	// firstQuarantine is the time from the crash of a trial to the next one. It doubles with
	// each further trial.
	firstQuarantine = 2 * time.Minute
	maxQuarantine   = time.Hour
	// trialTime is how long a trial normally takes. While two crashes are known, the next trial
	// is due so long after one without a known result, while more are known, unresolvedDelay
	// after it. Both double with each further one.
	trialTime       = 5 * time.Second
	unresolvedDelay = 30 * time.Second
	trialRetryAfter = 2 * time.Second
	// saveTime is the time in which a crash is normally recorded in the store.
	saveTime       = 2 * time.Second
	saveRetryAfter = time.Second
	// retryHold delays the record of a crash while its request is retried: a complete
	// response shows that the request is harmless.
	retryHold = 500 * time.Millisecond
	// writeRetryDelay is the time between two writes of one record.
	writeRetryDelay = 500 * time.Millisecond
	// forgetTime is how long a record is kept after its quarantine.
	forgetTime = 10 * time.Minute
	// maxDeletionDelay spreads the deletions of expired records over the hosts, so that
	// one of them deletes a record and the others see it.
	maxDeletionDelay = time.Minute
	// surplusAge is the age from which a record beyond the number for its account is
	// deleted, before the delay of the host.
	surplusAge = time.Second
	// maxPerAccount limits the records of one client account. Further requests share a fixed
	// number of records, see sharedRecords. Hosts that add records at the same time may exceed
	// it; then those with less than suspectCrashes are deleted, oldest first, and beyond twice
	// the number any.
	maxPerAccount = 32
	// newEraHold is the time from a change of the era of the store in which no trial is made:
	// what other hosts wrote in the era before is written again meanwhile.
	newEraHold = 10 * time.Second
	// lostTime is how long what the store lost counts without being written again.
	lostTime = 30 * time.Second
	// maxLostDelay spreads the writes of what the store lost over the hosts.
	maxLostDelay = 4 * time.Second
	// cleanupInterval is the time between two checks for records to delete.
	cleanupInterval = time.Second
	// maxWrites limits the writes that are due at once.
	maxWrites = 8
)

// Verdict says whether a request may be sent.
type Verdict uint8

// Verdicts.
const (
	Allowed Verdict = iota // it may be sent
	Trial                  // it may be sent once, after a claim has been written to the store; see Claim
	Refused                // it must not be sent now
)

// Decision is the decision about one request.
type Decision struct {
	Verdict    Verdict
	Crashes    []Crash       // known crashes of upstreams that ran the request
	RetryAfter time.Duration // until a trial may be due, if refused
}

// Write is a write of one crash record.
type Write struct {
	Fingerprint Fingerprint
	kvstore.Write

	entry Entry
	claim bool
}

// Table holds what one host knows about requests that crashed upstreams. It is safe for
// concurrent use.
type Table struct {
	host string

	mu          sync.Mutex // guards the fields below; not held during I/O
	records     map[Fingerprint]*record
	perAccount  map[string]int // records by account
	nextCleanup boottime.Instant
	loaded      bool             // records of the store were read
	era         kvstore.Era      // of the records of the store
	eraSeen     boottime.Instant // when this process saw it follow another one, zero if it has not
	inShared    int              // crashes recorded in shared records
	harmless    harmless
}

// NewTable returns the empty table of a host.
func NewTable(host string) *Table {
	return &Table{host: host, records: map[Fingerprint]*record{}, perAccount: map[string]int{}}
}

// Empty reports whether nothing is known about any request.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Len returns the number of records, and the number of crashes that were recorded in shared
// ones because their account had too many records.
func (t *Table) Len() (records, inShared int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records), t.inShared
}

// unexplained returns the known crashes of a request without those that a guilty request
// caused which the same processes ran. The caller holds mu.
func (t *Table) unexplained(r *record) []Crash {
	crashes := r.crashes()
	if len(crashes) == 0 {
		return nil
	}
	for _, other := range t.records {
		if other == r || !other.stored.guilty() || len(other.stored.Crashes) <= len(crashes) {
			continue
		}
		crashes = slices.DeleteFunc(crashes, func(c Crash) bool {
			return slices.ContainsFunc(other.stored.Crashes, func(o Crash) bool { return o.Process == c.Process })
		})
	}
	return crashes
}

// Admit decides whether a request may be sent now.
func (t *Table) Admit(f Fingerprint, now boottime.Instant) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admit(t.records[f], now)
}

// admit is Admit for a record, which may be nil. The caller holds mu.
func (t *Table) admit(r *record, now boottime.Instant) Decision {
	if r == nil {
		return Decision{}
	}
	d := Decision{Crashes: t.unexplained(r)}
	unsaved := len(r.found) > 0 && now.Sub(r.found[0].at) >= saveTime
	switch {
	case len(d.Crashes) < suspectCrashes && !unsaved:
		return d
	case len(r.found) > 0 || r.claiming || r.hasLost():
		d.Verdict, d.RetryAfter = Refused, saveRetryAfter // until the store has the crashes of this host
		return d
	}
	if wait := r.readAt.Add(r.stored.trialDelay()).Sub(now); wait > 0 {
		d.Verdict, d.RetryAfter = Refused, wait
		if !r.stored.guilty() && now.Sub(r.readAt) < trialTime {
			d.RetryAfter = trialRetryAfter
		}
		return d
	}
	if wait := t.eraSeen.Add(newEraHold).Sub(now); t.eraSeen != 0 && wait > 0 {
		d.Verdict, d.RetryAfter = Refused, wait
		return d
	}
	d.Verdict = Trial
	return d
}

// Claim returns the write that claims the next trial of a request. Other requests with the
// fingerprint are refused until Finish is called. ok is false if no trial is due any more.
func (t *Table) Claim(f Fingerprint, now boottime.Instant) (write Write, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if t.admit(r, now).Verdict != Trial {
		return Write{}, false
	}
	entry := r.stored
	entry.Trials++
	write, err := t.newWrite(f, r, entry)
	if err != nil {
		return Write{}, false
	}
	write.claim, r.claiming = true, true
	return write, true
}

// newWrite returns the write that replaces the entry of a record.
func (t *Table) newWrite(f Fingerprint, r *record, entry Entry) (Write, error) {
	value, err := json.Marshal(entry)
	if err != nil {
		return Write{}, errors.Wrap(err, "crash record")
	}
	return Write{Fingerprint: f, entry: entry, Write: kvstore.Write{Key: entryKey(r.account, f), Value: value, Expected: r.revision}}, nil
}

// Crashed records that an upstream crashed while it ran a request of a client account.
// retried tells that the request is being sent to another upstream; Settled or Answered
// follows. It returns false if the crash is recorded in a shared record.
func (t *Table) Crashed(f Fingerprint, account string, crash Crash, retried bool, now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest := accountDigest(account)
	subject := t.subject(f, digest)
	t.harmless.remove(f)
	r := t.records[subject]
	if r == nil {
		r = t.add(subject, digest)
	}
	crash.Request, crash.Host, crash.Tag = truncate(crash.Request), truncate(t.host), ""
	if subject.shared() {
		t.inShared++
		crash.Tag = f.tag()
	}
	found := foundCrash{Crash: crash, at: now, due: now}
	if retried {
		found.due = now.Add(retryHold)
	}
	if !lists(r.crashes(), crash) {
		r.found = append(r.found, found)
	}
	return !subject.shared()
}

func truncate(text string) string { return text[:min(len(text), maxFieldBytes)] }

// add adds an empty record. The caller holds mu.
func (t *Table) add(f Fingerprint, account string) *record {
	r := &record{account: account}
	t.records[f] = r
	if !f.shared() {
		t.perAccount[account]++
	}
	return r
}

// remove drops a record. The caller holds mu.
func (t *Table) remove(f Fingerprint) {
	r := t.records[f]
	if r == nil {
		return
	}
	delete(t.records, f)
	if f.shared() {
		return
	}
	if t.perAccount[r.account]--; t.perAccount[r.account] == 0 {
		delete(t.perAccount, r.account)
	}
}

// Settled records that a request of an account is not sent to further upstreams, so that its
// crashes are written at once.
func (t *Table) Settled(f Fingerprint, account string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, subject := range []Fingerprint{f, sharedFingerprint(accountDigest(account), f)} {
		if r := t.records[subject]; r != nil {
			for i := range r.found {
				if !subject.shared() || r.found[i].Tag == f.tag() {
					r.found[i].due = min(r.found[i].due, now)
				}
			}
		}
	}
}

// Answered records that an upstream sent a complete response to a request of an account, which
// shows that the crashes known for it had other causes. In a shared record the crashes of other
// requests stay.
func (t *Table) Answered(f Fingerprint, account string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.harmless.add(f)
	t.refute(f, func(Crash) bool { return true })
	if shared := sharedFingerprint(accountDigest(account), f); t.records[shared] != nil {
		t.refute(shared, func(c Crash) bool { return c.Tag == f.tag() })
	}
}

// refute removes crashes from a record. The caller holds mu.
func (t *Table) refute(f Fingerprint, refuted func(Crash) bool) {
	r := t.records[f]
	if r == nil {
		return
	}
	r.found = slices.DeleteFunc(r.found, func(c foundCrash) bool { return refuted(c.Crash) })
	r.lost.Crashes = slices.DeleteFunc(slices.Clone(r.lost.Crashes), refuted)
	if len(r.lost.Crashes) == 0 {
		r.lost = Entry{}
	}
	for _, crash := range r.stored.Crashes {
		if refuted(crash) && !slices.Contains(r.refuted, crash.Process) {
			r.refuted = append(r.refuted, crash.Process)
		}
	}
	if r.empty() && !r.claiming {
		t.remove(f)
	}
}

// Reset replaces the entries of the store by those of an era. What the store listed in an
// earlier era counts until it is written again, for lostTime at most. Reset returns the
// errors of entries that can't be decoded; they count as absent.
func (t *Table) Reset(entries []kvstore.Entry, era kvstore.Era, now boottime.Instant) []error {
	t.mu.Lock()
	defer t.mu.Unlock()
	newEra := t.loaded && era != t.era
	if newEra {
		t.eraSeen = now
	}
	t.era, t.loaded = era, true
	known := map[Fingerprint]Entry{}
	for f, r := range t.records {
		if newEra && !r.opaque {
			known[f] = r.known()
		}
		r.clear()
	}
	var failures []error
	for _, entry := range entries {
		if err := t.apply(entry, now); err != nil {
			failures = append(failures, err)
		}
	}
	for f, r := range t.records {
		if entry, ok := known[f]; ok {
			r.keep(entry, now.Add(t.spread(f, maxLostDelay)), now.Add(lostTime))
		}
		if r.empty() && !r.claiming {
			t.remove(f)
		}
	}
	return failures
}

// Apply records a change of an entry of the store. An entry that can't be decoded counts
// as one without crashes.
func (t *Table) Apply(entry kvstore.Entry, now boottime.Instant) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(entry, now)
}

// apply is Apply for a caller that holds mu.
func (t *Table) apply(entry kvstore.Entry, now boottime.Instant) error {
	account, f, err := parseKey(entry.Key)
	if err != nil {
		return err
	}
	r := t.records[f]
	if !entry.Exists() {
		if r != nil {
			r.clear()
			if r.empty() && !r.claiming {
				t.remove(f)
			}
		}
		return nil
	}
	if r != nil && entry.Revision.Compare(r.revision) <= 0 {
		return nil // a change that this host made itself
	}
	if r == nil {
		r = t.add(f, account)
	}
	decoded, err := decodeEntry(entry)
	r.store(decoded, entry.Revision, now)
	r.opaque = err != nil
	return err
}
