package allotment

import (
	"time"
)

// Usage is what a host reports about one resource.
type Usage struct {
	// Demand is the wanted requests per second of an account, or the wanted slots
	// of an upstream.
	Demand float64
	// Held is the amount in use beyond the share, or that would have to come back
	// before a smaller share is in effect.
	Held Share
}

// Report is one resource in a RenewRequest.
type Report struct {
	Resource Resource `cbor:"1,keyasint"`
	Share    Share    `cbor:"2,keyasint,omitempty"` // the share in effect
	Held     Share    `cbor:"3,keyasint,omitempty"`
	Demand   float64  `cbor:"4,keyasint,omitempty"`
}

// RenewRequest is a host's periodic message to its domain leader. It carries the
// reports that changed since the last request that the leader acknowledged.
type RenewRequest struct {
	Epoch    uint64   `cbor:"1,keyasint"` // highest epoch known; lower ones are refused from now on
	Sequence uint64   `cbor:"2,keyasint"` // numbers the requests of one process
	Applied  uint64   `cbor:"3,keyasint"` // newest grant sequence in effect
	Full     bool     `cbor:"4,keyasint,omitempty"`
	Leaving  bool     `cbor:"5,keyasint,omitempty"` // the host gives its shares back
	Reports  []Report `cbor:"6,keyasint,omitempty"`
}

// Grant gives a resource's share a new size.
type Grant struct {
	Resource Resource `cbor:"1,keyasint"`
	Share    Share    `cbor:"2,keyasint,omitempty"`
}

// RenewResponse answers a RenewRequest.
type RenewResponse struct {
	Epoch    uint64        `cbor:"1,keyasint"`
	Request  uint64        `cbor:"2,keyasint"`           // sequence of the answered request
	Resync   bool          `cbor:"3,keyasint,omitempty"` // a full request is needed; nothing is renewed
	Reset    bool          `cbor:"4,keyasint,omitempty"` // shares that are not granted here are zero
	Sequence uint64        `cbor:"5,keyasint"`           // newest grant sequence
	Term     time.Duration `cbor:"6,keyasint"`           // counted from before the request was sent
	Grants   []Grant       `cbor:"7,keyasint,omitempty"` // all that changed after RenewRequest.Applied
	Pause    time.Duration `cbor:"8,keyasint,omitempty"` // least time to the next request
}
