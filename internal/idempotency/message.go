package idempotency

import (
	"crypto/sha256"
	"net/http"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Kinds of messages between hosts about idempotency keys.
const (
	KindBegin             fleet.Kind = "idempotency.begin"
	KindFinish            fleet.Kind = "idempotency.finish"
	KindHandover          fleet.Kind = "idempotency.handover"
	KindRelocation        fleet.Kind = "idempotency.moved"
	KindCallerKeyHandover fleet.Kind = "idempotency.own-handover"
)

// Fingerprint is a hash of the content of a request. It shows whether a key is used
// again for a different request.
type Fingerprint [sha256.Size]byte

// Attempt identifies one attempt to run a request. It is unique in the fleet.
type Attempt struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
}

// Response is the complete response of an upstream.
type Response struct {
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
	Timeout     time.Duration `cbor:"5,keyasint"` // maximum time until the attempt has ended and its end is reported
}

// Verdict says whether an attempt may run, and if not, why.
type Verdict uint8

// Verdicts.
const (
	VerdictRun        Verdict = iota + 1 // the attempt may run, and no other attempt may
	VerdictReplay                        // the request has run; the decision holds its response
	VerdictInProgress                    // another attempt may still be running
	VerdictUnknown                       // another attempt may have run; its result is not known
	VerdictReused                        // the key was used for a different request
	VerdictFull                          // the keeper has no room for another record; the request has not run
	VerdictInvalid                       // the key is malformed or was not issued to the client account; the request has not run
)

// String returns the name of the verdict in lower case.
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

// Decision is the keeper's reply to Begin. Response is set only for VerdictReplay.
type Decision struct {
	Verdict  Verdict   `cbor:"1,keyasint"`
	Response *Response `cbor:"2,keyasint,omitempty"`
}

// Result says how an attempt ended.
type Result uint8

// Results.
const (
	ResultNotRun   Result = iota + 1 // no byte reached an upstream, or the upstream stated that it did not run the request
	ResultAnswered                   // the upstream ran the request and its response is complete
	ResultUnknown                    // the request may have run
)

// Finish reports to the keeper how an attempt ended.
type Finish struct {
	Account  string    `cbor:"1,keyasint"`
	Key      string    `cbor:"2,keyasint"`
	Attempt  Attempt   `cbor:"3,keyasint"`
	Result   Result    `cbor:"4,keyasint"`
	Response *Response `cbor:"5,keyasint,omitempty"` // set for ResultAnswered only; nil if too large to keep
}

// Finished is the keeper's reply to Finish.
type Finished struct {
	Matched bool `cbor:"1,keyasint"` // whether the keeper holds a record of this attempt
}
