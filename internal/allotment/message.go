package allotment

import (
	"time"
)

// Usage is a host's use of one resource.
type Usage struct {
	// Demand is the requests per second that callers of an account want, or the
	// slots wanted at an upstream.
	Demand float64
	// InUse is the amount that the leader must count as used even if the share is
	// smaller: the rate and burst of an account, with at least its tokens on loan, or
	// the running requests and open connections at an upstream.
	InUse Share
}

// Report is a host's report about one resource in a RenewRequest.
type Report struct {
	Resource Resource `cbor:"1,keyasint"`
	Share    Share    `cbor:"2,keyasint,omitempty"` // the share in effect
	InUse    Share    `cbor:"3,keyasint,omitempty"`
	Demand   float64  `cbor:"4,keyasint,omitempty"`
}

// RenewRequest is sent periodically by a host to its domain leader. It carries the
// reports that changed since the last request that the leader acknowledged.
type RenewRequest struct {
	Epoch    uint64   `cbor:"1,keyasint"` // highest epoch known to the host, which rejects lower ones
	Sequence uint64   `cbor:"2,keyasint"` // increases with each request of a process
	Applied  uint64   `cbor:"3,keyasint"` // newest grant sequence in effect
	Full     bool     `cbor:"4,keyasint,omitempty"`
	Leaving  bool     `cbor:"5,keyasint,omitempty"` // the host is shutting down and has released its shares
	Reports  []Report `cbor:"6,keyasint,omitempty"`
}

// Grant sets the size of a holder's share of a resource.
type Grant struct {
	Resource Resource `cbor:"1,keyasint"`
	Share    Share    `cbor:"2,keyasint,omitempty"`
}

// RenewReply is the leader's reply to a RenewRequest.
type RenewReply struct {
	Epoch    uint64        `cbor:"1,keyasint"`
	Request  uint64        `cbor:"2,keyasint"`           // sequence of the request
	Resync   bool          `cbor:"3,keyasint,omitempty"` // nothing is renewed; the host must send a full request
	Reset    bool          `cbor:"4,keyasint,omitempty"` // shares without a grant in this reply become zero
	Sequence uint64        `cbor:"5,keyasint"`           // newest grant sequence
	Lease    time.Duration `cbor:"6,keyasint"`           // starts when the host sent the request
	Grants   []Grant       `cbor:"7,keyasint,omitempty"` // all changes after RenewRequest.Applied
	Pause    time.Duration `cbor:"8,keyasint,omitempty"` // minimum time until the next request
}
