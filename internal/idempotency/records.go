package idempotency

import (
	"time"

	"peridotrail/internal/invariant"
)

// MaxAnswerBytes is the maximum size of an answer's body that is stored.
const MaxAnswerBytes = 64 << 10

// State is the state of one record.
type State uint8

// States of a record.
const (
	StateStarted  State = iota + 1 // an attempt may be running
	StateFinished                  // the request ran and was answered
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
	Deadline    time.Time   `cbor:"5,keyasint"`           // when an attempt without a report is given up
	Expires     time.Time   `cbor:"6,keyasint"`           // when the record may be removed
	Answer      *Answer     `cbor:"7,keyasint,omitempty"` // nil if it was too large or has been dropped
}

// recordTable holds records and bounds their number and the total size of their
// answers. Callers pass in the time. It is not safe for concurrent use.
//
// VerdictRun is returned for a key without a record, and for the attempt that
// created the record. A record is removed only when its attempt certainly did not
// run, or when it has expired; for a key that may have had an expired record, the
// caller of begin passes unused as false.
type recordTable struct {
	byID           map[RecordID]*Record
	maxRecords     int
	maxAnswerBytes int // maximum of answerBytes
	answerBytes    int
	answerOrder    []RecordID // records in the order their answers were stored; some may have no answer any more
	lastSweep      time.Time
}

const sweepInterval = 10 * time.Second // between removals of expired records

func newRecordTable(maxRecords, maxAnswerBytes int) *recordTable {
	return &recordTable{byID: map[RecordID]*Record{}, maxRecords: maxRecords, maxAnswerBytes: maxAnswerBytes}
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
// same ID. Its answer is subject to maxAnswerBytes like any other.
func (r *recordTable) add(record *Record) {
	answer := record.Answer
	record.Answer = nil
	r.dropAnswer(r.byID[record.ID])
	r.byID[record.ID] = record
	r.storeAnswer(record, answer)
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
		if r.Answer == nil {
			return Decision{Verdict: VerdictUnknown}
		}
		return Decision{Verdict: VerdictReplay, Answer: r.Answer}
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
		r.storeAnswer(record, f.Answer)
	default:
		record.State = StateUnknown
	}
	return Finished{Matched: true}
}

// storeAnswer keeps the answer unless it is too large, and drops the oldest answers
// while the total exceeds maxAnswerBytes.
func (r *recordTable) storeAnswer(record *Record, answer *Answer) {
	if answer == nil || len(answer.Body) > MaxAnswerBytes {
		return
	}
	record.Answer = answer
	r.answerBytes += answer.size()
	r.answerOrder = append(r.answerOrder, record.ID)
	for r.answerBytes > r.maxAnswerBytes {
		r.dropOldestAnswer()
	}
	invariant.Check(r.answerBytes >= 0, invariant.AtMostOnce, "stored answers hold %d bytes", r.answerBytes)
}

func (r *recordTable) dropOldestAnswer() {
	oldest := r.byID[r.answerOrder[0]]
	r.answerOrder = r.answerOrder[1:]
	r.dropAnswer(oldest)
}

func (r *recordTable) dropAnswer(record *Record) {
	if record != nil && record.Answer != nil {
		r.answerBytes -= record.Answer.size()
		record.Answer = nil
	}
}

// size returns the number of bytes of the body and the header.
func (a *Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
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
			r.dropAnswer(record)
			delete(r.byID, id)
		}
	}
	r.compactAnswerOrder()
}

// compactAnswerOrder removes the records without an answer from answerOrder.
func (r *recordTable) compactAnswerOrder() {
	kept := r.answerOrder[:0]
	for _, id := range r.answerOrder {
		if record := r.byID[id]; record != nil && record.Answer != nil {
			kept = append(kept, id)
		}
	}
	r.answerOrder = kept
}
