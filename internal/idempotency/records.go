package idempotency

import (
	"time"

	"peridotrail/internal/invariant"
)

// MaxAnswerBytes is the size up to which the body of an answer is kept.
const MaxAnswerBytes = 64 << 10

// State is the state of one record.
type State uint8

// States of a record.
const (
	StateStarted  State = iota + 1 // an attempt may be running
	StateFinished                  // the request ran; the answer is known
	StateUnknown                   // the request may have run
)

// RecordID names one record.
type RecordID struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
}

// Record is what a keeper knows of one key.
type Record struct {
	ID          RecordID    `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Attempt     Attempt     `cbor:"4,keyasint"`
	Until       time.Time   `cbor:"5,keyasint"` // end of the attempt's term
	Expires     time.Time   `cbor:"6,keyasint"` // the record may be dropped from then on
	Answer      *Answer     `cbor:"7,keyasint,omitempty"`
}

// records is the aggregate of a keeper's records. Time is passed in. It is not
// safe for concurrent use.
//
// A key gets VerdictRun only if it has no record. A record is removed only when
// its attempt certainly did not run, or when it has expired; the owner of the
// aggregate refuses keys that could have had an expired record.
type records struct {
	byID        map[RecordID]*Record
	maxRecords  int
	maxBytes    int // of stored answers
	bytes       int
	withAnswers []RecordID // oldest first; may name records without an answer
	swept       time.Time
}

const sweepInterval = 10 * time.Second

func newRecords(maxRecords, maxBytes int) *records {
	return &records{byID: map[RecordID]*Record{}, maxRecords: maxRecords, maxBytes: maxBytes}
}

// begin decides about an attempt. fresh says that a key without a record has
// certainly never run.
func (r *records) begin(now time.Time, b *Begin, expires time.Time, fresh bool) Decision {
	r.sweep(now)
	id := RecordID{Account: b.Account, Key: b.Key}
	record := r.byID[id]
	if record == nil {
		return r.start(now, id, b, expires, fresh)
	}
	if record.Fingerprint != b.Fingerprint {
		return Decision{Verdict: VerdictReused}
	}
	record.lapse(now)
	return record.decide(b.Attempt)
}

func (r *records) start(now time.Time, id RecordID, b *Begin, expires time.Time, fresh bool) Decision {
	if !fresh {
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
		Until:       now.Add(b.Term),
		Expires:     expires,
	}
	return Decision{Verdict: VerdictRun}
}

// add takes over a record. Its answer counts towards the bytes kept.
func (r *records) add(record *Record) {
	answer := record.Answer
	record.Answer = nil
	r.dropAnswer(r.byID[record.ID])
	r.byID[record.ID] = record
	r.store(record, answer)
}

// lapse gives up an attempt that has not reported within its term.
func (r *Record) lapse(now time.Time) {
	if r.State == StateStarted && now.After(r.Until) {
		r.State = StateUnknown
	}
}

func (r *Record) decide(attempt Attempt) Decision {
	switch r.State {
	case StateStarted:
		if r.Attempt == attempt {
			return Decision{Verdict: VerdictRun} // the answer to the first message was lost
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

// finish records the end of an attempt. A message about another attempt than the
// record's has no effect.
func (r *records) finish(now time.Time, f *Finish) Finished {
	r.sweep(now)
	id := RecordID{Account: f.Account, Key: f.Key}
	record := r.byID[id]
	if record == nil || record.Attempt != f.Attempt || record.State == StateFinished {
		return Finished{Known: record != nil && record.Attempt == f.Attempt}
	}
	switch f.Result {
	case ResultNotRun:
		delete(r.byID, id)
	case ResultAnswered:
		record.State = StateFinished
		r.store(record, f.Answer)
	default:
		record.State = StateUnknown
	}
	return Finished{Known: true}
}

func (r *records) store(record *Record, answer *Answer) {
	if answer == nil || len(answer.Body) > MaxAnswerBytes {
		return
	}
	record.Answer = answer
	r.bytes += answer.size()
	r.withAnswers = append(r.withAnswers, record.ID)
	for r.bytes > r.maxBytes {
		r.dropOldestAnswer()
	}
	invariant.Check(r.bytes >= 0, invariant.AtMostOnce, "stored answers hold %d bytes", r.bytes)
}

func (r *records) dropOldestAnswer() {
	oldest := r.byID[r.withAnswers[0]]
	r.withAnswers = r.withAnswers[1:]
	r.dropAnswer(oldest)
}

func (r *records) dropAnswer(record *Record) {
	if record != nil && record.Answer != nil {
		r.bytes -= record.Answer.size()
		record.Answer = nil
	}
}

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

// sweep drops expired records.
func (r *records) sweep(now time.Time) {
	if now.Sub(r.swept) < sweepInterval {
		return
	}
	r.swept = now
	for id, record := range r.byID {
		if now.After(record.Expires) {
			r.dropAnswer(record)
			delete(r.byID, id)
		}
	}
	r.forgetDropped()
}

func (r *records) forgetDropped() {
	kept := r.withAnswers[:0]
	for _, id := range r.withAnswers {
		if record := r.byID[id]; record != nil && record.Answer != nil {
			kept = append(kept, id)
		}
	}
	r.withAnswers = kept
}
