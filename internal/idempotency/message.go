package idempotency

import (
	"crypto/sha256"
	"net/http"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Kinds of messages to keepers.
const (
	KindBegin       fleet.Kind = "idempotency.begin"
	KindFinish      fleet.Kind = "idempotency.finish"
	KindHandover    fleet.Kind = "idempotency.handover"
	KindMoved       fleet.Kind = "idempotency.moved"
	KindOwnHandover fleet.Kind = "idempotency.own-handover"
)

// Fingerprint identifies the content of a request.
type Fingerprint [sha256.Size]byte

// Attempt identifies one attempt to run a request, unique in the fleet.
type Attempt struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
}

// Answer is a complete answer of an upstream.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// Begin asks the keeper whether an attempt may run.
type Begin struct {
	Account     string        `cbor:"1,keyasint"`
	Key         string        `cbor:"2,keyasint"`
	Fingerprint Fingerprint   `cbor:"3,keyasint"`
	Attempt     Attempt       `cbor:"4,keyasint"`
	Term        time.Duration `cbor:"5,keyasint"` // longest time until the attempt has ended
}

// Verdict is the keeper's answer to Begin.
type Verdict uint8

// Verdicts.
const (
	VerdictRun        Verdict = iota + 1 // the attempt may run; no other may
	VerdictReplay                        // the request has run; its answer is given
	VerdictInProgress                    // another attempt runs
	VerdictUnknown                       // another attempt may have run
	VerdictReused                        // the key belongs to another request
	VerdictFull                          // no room for a record; the request has not run
	VerdictInvalid                       // the key was not issued to the account; it never runs
)

// String returns the lower-case name of the verdict.
func (v Verdict) String() string {
	switch v {
	case VerdictRun:
		return "run"
	case VerdictReplay:
		return "replay"
	case VerdictInProgress:
		return "in progress"
	case VerdictUnknown:
		return "unknown"
	case VerdictReused:
		return "reused"
	case VerdictFull:
		return "full"
	default:
		return "invalid"
	}
}

// Decision is the verdict with the stored answer of VerdictReplay.
type Decision struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Answer  *Answer `cbor:"2,keyasint,omitempty"`
}

// Result says how an attempt ended.
type Result uint8

// Results.
const (
	ResultNotRun   Result = iota + 1 // certainly no byte reached an upstream, or it said that it did not run
	ResultAnswered                   // the upstream's whole answer is known
	ResultUnknown                    // it may have run
)

// Finish tells the keeper how an attempt ended.
type Finish struct {
	Account string  `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	Result  Result  `cbor:"4,keyasint"`
	Answer  *Answer `cbor:"5,keyasint,omitempty"` // of ResultAnswered, nil if too large to keep
}

// Finished confirms a Finish.
type Finished struct {
	Known bool `cbor:"1,keyasint"` // the record was the attempt's
}
