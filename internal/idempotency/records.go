package idempotency

import (
	"time"

	"peridotrail/internal/invariant"
)

// MaxResponseBodyBytes is the maximum size of a stored response's body.
const MaxResponseBodyBytes = 64 << 10

// State is the state of one record.
type State uint8

// States of a record.
const (
	StateStarted  State = iota + 1 // an attempt may be running
	StateFinished                  // the request ran and its response is complete
	StateUnknown                   // the request may have run
)

// RecordID identifies a record. Each client account has its own key space.
type RecordID struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
}

// Record is the keeper's state of one key.
type Record struct {
	ID          RecordID    `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Attempt     Attempt     `cbor:"4,keyasint"`
	Deadline    time.Time   `cbor:"5,keyasint"`           // when the result of an attempt that was not reported becomes unknown
	Expires     time.Time   `cbor:"6,keyasint"`           // when the record may be removed
	Response    *Response   `cbor:"7,keyasint,omitempty"` // nil if it was too large or has been dropped
}

// recordTable holds records and bounds their number and the total size of their
// responses. Callers pass in the time. It is not safe for concurrent use.
//
// VerdictRun is returned for a key without a record, and for the attempt that
// created the record. A record is removed only when its attempt certainly did not
// run, or when it has expired; for a key that may have had an expired record, the
// caller of begin passes unused as false.
type recordTable struct {
	byID             map[RecordID]*Record
	maxRecords       int
	maxResponseBytes int // maximum of responseBytes
	responseBytes    int
	responseOrder    []RecordID // records in the order their responses were stored; some may have no response any more
	lastSweep        time.Time
}

const sweepInterval = 10 * time.Second // between removals of expired records

func newRecordTable(maxRecords, maxResponseBytes int) *recordTable {
	return &recordTable{byID: map[RecordID]*Record{}, maxRecords: maxRecords, maxResponseBytes: maxResponseBytes}
}

// begin decides whether an attempt may run. unused states that a request has
// certainly not run under the key if the key has no record. expires is the expiry
// time of a new record.
func (r *recordTable) begin(now time.Time, b *Begin, expires time.Time, unused bool) Decision {
	r.sweep(now)
	id := RecordID{Account: b.Account, Key: b.Key}
	record := r.byID[id]
	if record == nil {
		return r.startAttempt(now, id, b, expires, unused)
	}
	if record.Fingerprint != b.Fingerprint {
		return Decision{Verdict: VerdictReused}
	}
	record.expireAttempt(now)
	return record.decide(b.Attempt)
}

// startAttempt decides about a key without a record, and creates the record if the
// attempt may run.
func (r *recordTable) startAttempt(now time.Time, id RecordID, b *Begin, expires time.Time, unused bool) Decision {
	if !unused {
		return Decision{Verdict: VerdictUnknown}
	}
	if len(r.byID) >= r.maxRecords {
		return Decision{Verdict: VerdictFull}
	}
	r.byID[id] = &Record{
		ID:          id,
		State:       StateStarted,
		Fingerprint: b.Fingerprint,
		Attempt:     b.Attempt,
		Deadline:    now.Add(b.Timeout),
		Expires:     expires,
	}
	return Decision{Verdict: VerdictRun}
}

// add adds a record that another process handed over, in place of one with the
// same ID. Its response is subject to maxResponseBytes like any other.
func (r *recordTable) add(record *Record) {
	response := record.Response
	record.Response = nil
	r.dropResponse(r.byID[record.ID])
	r.byID[record.ID] = record
	r.storeResponse(record, response)
}

// expireAttempt marks the outcome as unknown if the end of the attempt was not
// reported by its deadline.
func (r *Record) expireAttempt(now time.Time) {
	if r.State == StateStarted && now.After(r.Deadline) {
		r.State = StateUnknown
	}
}

// decide returns the decision about an attempt under a key that has a record.
func (r *Record) decide(attempt Attempt) Decision {
	switch r.State {
	case StateStarted:
		if r.Attempt == attempt {
			return Decision{Verdict: VerdictRun} // repeated Begin; the reply to the first one was lost
		}
		return Decision{Verdict: VerdictInProgress}
	case StateFinished:
		if r.Response == nil {
			return Decision{Verdict: VerdictUnknown}
		}
		return Decision{Verdict: VerdictReplay, Response: r.Response}
	default:
		return Decision{Verdict: VerdictUnknown}
	}
}

// finish records how an attempt ended. It has no effect if the record belongs to
// another attempt or is finished already.
func (r *recordTable) finish(now time.Time, f *Finish) Finished {
	r.sweep(now)
	id := RecordID{Account: f.Account, Key: f.Key}
	record := r.byID[id]
	if record == nil || record.Attempt != f.Attempt || record.State == StateFinished {
		return Finished{Matched: record != nil && record.Attempt == f.Attempt}
	}
	switch f.Result {
	case ResultNotRun:
		delete(r.byID, id)
	case ResultAnswered:
		record.State = StateFinished
		r.storeResponse(record, f.Response)
	default:
		record.State = StateUnknown
	}
	return Finished{Matched: true}
}

// storeResponse keeps the response unless it is too large, and drops the oldest
// responses while the total exceeds maxResponseBytes.
func (r *recordTable) storeResponse(record *Record, response *Response) {
	if response == nil || len(response.Body) > MaxResponseBodyBytes {
		return
	}
	record.Response = response
	r.responseBytes += response.size()
	r.responseOrder = append(r.responseOrder, record.ID)
	for r.responseBytes > r.maxResponseBytes {
		r.dropOldestResponse()
	}
	invariant.Check(r.responseBytes >= 0, invariant.AtMostOnce, "stored responses hold %d bytes", r.responseBytes)
}

func (r *recordTable) dropOldestResponse() {
	oldest := r.byID[r.responseOrder[0]]
	r.responseOrder = r.responseOrder[1:]
	r.dropResponse(oldest)
}

func (r *recordTable) dropResponse(record *Record) {
	if record != nil && record.Response != nil {
		r.responseBytes -= record.Response.size()
		record.Response = nil
	}
}

// size returns the number of bytes of the body and the header.
func (r *Response) size() int {
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// sweep removes expired records, at most once per sweepInterval.
func (r *recordTable) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for id, record := range r.byID {
		if now.After(record.Expires) {
			r.dropResponse(record)
			delete(r.byID, id)
		}
	}
	r.compactResponseOrder()
}

// compactResponseOrder removes the records without a response from responseOrder.
func (r *recordTable) compactResponseOrder() {
	kept := r.responseOrder[:0]
	for _, id := range r.responseOrder {
		if record := r.byID[id]; record != nil && record.Response != nil {
			kept = append(kept, id)
		}
	}
	r.responseOrder = kept
}
