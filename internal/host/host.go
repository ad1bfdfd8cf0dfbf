// Package host identifies entry hosts and tracks which of them are live.
package host

import (
	"net/netip"
	"time"
)

// ID is the stable name of an entry host, unique in the fleet.
type ID string

// Incarnation distinguishes successive processes of one host. A later process
// has a higher value.
type Incarnation uint64

// NewIncarnation derives an incarnation from the time a process starts.
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

// Same reports whether both identities name the same process.
func (id Identity) Same(other Identity) bool {
	return id.ID == other.ID && id.Incarnation == other.Incarnation
}

// State is the liveness of a member as this host sees it.
type State uint8

// Member states, in the order in which a member usually passes through them.
const (
	StateLive    State = iota // heartbeats arrive
	StateSuspect              // heartbeats are late
	StateLeaving              // the host announced its graceful shutdown
	StateGone                 // no heartbeat for longer than the longest term
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

// Member is one host with its liveness.
type Member struct {
	Identity  Identity
	State     State
	LastHeard time.Time // monotonic time of the last heartbeat received here
}

// View gives a consistent picture of the members known to this host.
type View interface {
	// Self returns the identity of this process.
	Self() Identity
	// Members returns all known members except this process. The caller must
	// not modify the slice.
	Members() []Member
}
