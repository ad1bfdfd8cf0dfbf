// Package host defines the identity of entry hosts and their membership states.
package host

import (
	"net/netip"
	"time"
)

// ID is the name of an entry host. It is unique in the fleet and survives restarts.
type ID string

// Incarnation distinguishes successive processes of one host. A process that starts
// later has a higher value.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at the given time:
// its Unix time in nanoseconds.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixNano())
}

// Identity describes one running process of an entry host.
type Identity struct {
	ID            ID             `cbor:"1,keyasint" json:"id"`
	Incarnation   Incarnation    `cbor:"2,keyasint" json:"incarnation"`
	FailureDomain string         `cbor:"3,keyasint" json:"failureDomain"`
	Region        string         `cbor:"4,keyasint" json:"region"`
	Fleet         netip.AddrPort `cbor:"5,keyasint" json:"fleet"` // QUIC address for other hosts
	Entry         netip.AddrPort `cbor:"6,keyasint" json:"entry"` // HTTP address for callers
}

// SameProcess reports whether both identities have the same ID and incarnation.
func (id Identity) SameProcess(other Identity) bool {
	return id.ID == other.ID && id.Incarnation == other.Incarnation
}

// State is the membership state of a host as another host sees it.
type State uint8

// Membership states, in the usual order.
const (
	StateLive    State = iota // heartbeats arrive
	StateSuspect              // heartbeats are overdue
	StateLeaving              // the host announced its graceful shutdown
	StateGone                 // no heartbeat for longer than the longest lease
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Member is another host and its state as this host sees it.
type Member struct {
	Identity  Identity
	State     State
	LastHeard time.Time // monotonic time of the last heartbeat received here
}

// View provides a consistent snapshot of the members known to this host.
type View interface {
	// Self returns the identity of this process.
	Self() Identity
	// Members returns all known members except this process. Callers must not
	// modify the slice.
	Members() []Member
}
