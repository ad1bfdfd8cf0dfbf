// Package membership tracks which hosts are live.
//
// In a small failure domain all hosts exchange heartbeats with each other. In a
// large one each host exchanges them with the leader and with its successors on a
// ring ordered by host ID, and the candidates for leader do so among themselves. One
// representative per domain, normally its leader, exchanges heartbeats with the
// other domains and produces the summary of its domain: the list of its hosts.
// Summaries are sent as changes since the stamp that the receiver holds, so that
// only heartbeats are sent while nothing changes.
package membership

import (
	"fmt"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Kinds of messages between hosts.
const (
	KindHeartbeat fleet.Kind = "membership.heartbeat"
	KindSync      fleet.Kind = "membership.sync"
)

// ServiceLoad is the load of one service on a host, or its sum over a failure
// domain.
type ServiceLoad struct {
	Service   string `cbor:"1,keyasint" json:"service"`
	FreeSlots int    `cbor:"2,keyasint,omitempty" json:"freeSlots"`
	Queued    int    `cbor:"3,keyasint,omitempty" json:"queued"`
}

// AccountTokens is what a host can lend of a client account's rate.
type AccountTokens struct {
	Account string `cbor:"1,keyasint" json:"account"`
	Spare   int    `cbor:"2,keyasint,omitempty" json:"spare"` // requests
}

// Digest is the application data that a host sends with each heartbeat. Providers
// fill it.
type Digest struct {
	ConfigurationRevision uint64          `cbor:"1,keyasint,omitempty" json:"configurationRevision"`
	StateRevision         uint64          `cbor:"2,keyasint,omitempty" json:"stateRevision"`
	LeaderEpoch           uint64          `cbor:"3,keyasint,omitempty" json:"leaderEpoch"`
	Leader                host.ID         `cbor:"4,keyasint,omitempty" json:"leader"`
	Services              []ServiceLoad   `cbor:"5,keyasint,omitempty" json:"services,omitempty"`
	Tokens                []AccountTokens `cbor:"6,keyasint,omitempty" json:"tokens,omitempty"`
	Sections              []Section       `cbor:"7,keyasint,omitempty" json:"sections,omitempty"`
}

// Section is an opaque part of a digest. Only its provider and its readers know
// its type.
type Section struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Body []byte `cbor:"2,keyasint,omitempty" json:"body"` // encoded with fleet.Marshal
}

// Section decodes the named section into the value that into points to. It reports
// false if the section is missing or can't be decoded.
func (d Digest) Section(name string, into any) bool {
	for _, section := range d.Sections {
		if section.Name == name {
			return fleet.Unmarshal(section.Body, into) == nil
		}
	}
	return false
}

// Provider adds its data to the digest of this host. It must not block.
type Provider func(*Digest)

// PeerDigest is the last digest received from a host.
type PeerDigest struct {
	Identity host.Identity `cbor:"1,keyasint"`
	Digest   Digest        `cbor:"2,keyasint"`
	Received time.Time     `cbor:"-"` // monotonic time at this host
}

// DomainDigest is the aggregated digest of a failure domain, computed by its
// representative.
type DomainDigest struct {
	Domain      string        `cbor:"1,keyasint"`
	Leader      host.ID       `cbor:"2,keyasint,omitempty"`
	LeaderEpoch uint64        `cbor:"3,keyasint,omitempty"`
	Hosts       int           `cbor:"4,keyasint,omitempty"` // live hosts included in the sums
	Services    []ServiceLoad `cbor:"5,keyasint,omitempty"`
	Received    time.Time     `cbor:"-"` // monotonic time at this host
}

// Stamp is the version of a domain's summary. Stamps are ordered by epoch, sequence
// and origin.
type Stamp struct {
	Epoch    uint64 `cbor:"1,keyasint,omitempty"` // of the leader when the summary was produced
	Sequence uint64 `cbor:"2,keyasint,omitempty"` // of the last change in the summary
	Origin   uint32 `cbor:"3,keyasint,omitempty"` // identifies the process that produced the summary
}

// Less reports whether s is older than other.
func (s Stamp) Less(other Stamp) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch < other.Epoch
	}
	if s.Sequence != other.Sequence {
		return s.Sequence < other.Sequence
	}
	return s.Origin < other.Origin
}

// sameOrigin reports whether the same process produced both summaries in the same
// epoch. Only then are their sequences comparable, so that the changes after since can
// be applied to a summary with that stamp.
func (s Stamp) sameOrigin(since Stamp) bool {
	return s.Epoch == since.Epoch && s.Origin == since.Origin
}

// DomainStamp is the stamp of a domain's summary.
type DomainStamp struct {
	Domain string `cbor:"1,keyasint"`
	Stamp  Stamp  `cbor:"2,keyasint"`
}

// HostSummary is the entry of one host in a summary.
type HostSummary struct {
	Identity host.Identity `cbor:"1,keyasint"`
	State    host.State    `cbor:"2,keyasint,omitempty"`
	Changed  uint64        `cbor:"3,keyasint,omitempty"` // sequence of the entry's last change
}

// Summary lists the hosts of one domain, or those that changed since a stamp.
type Summary struct {
	Domain string        `cbor:"1,keyasint"`
	Stamp  Stamp         `cbor:"2,keyasint"`
	Since  uint64        `cbor:"3,keyasint,omitempty"` // zero: complete; otherwise only the changes after this sequence
	Leader host.ID       `cbor:"4,keyasint,omitempty"`
	Hosts  []HostSummary `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is both the request and the reply of a heartbeat exchange.
type Heartbeat struct {
	// Self is set in a reply if ExpectedIncarnation in the request is not that of
	// the replying process.
	Self *host.Identity `cbor:"1,keyasint,omitempty"`
	// ExpectedIncarnation identifies the process to which the request is addressed;
	// zero if the sender knows only the address.
	ExpectedIncarnation host.Incarnation `cbor:"2,keyasint,omitempty"`
	Leaving             bool             `cbor:"3,keyasint,omitempty"`
	Period              uint32           `cbor:"4,keyasint,omitempty"` // milliseconds until the sender's next heartbeat
	Digest              Digest           `cbor:"5,keyasint"`
	StampsHash          uint64           `cbor:"6,keyasint,omitempty"` // Table.StampsHash of the sender
	OwnStamp            Stamp            `cbor:"7,keyasint,omitempty"` // of the summary of the sender's domain
	Representative      bool             `cbor:"8,keyasint,omitempty"` // the sender is the representative of its domain
	StaleDomains        []string         `cbor:"9,keyasint,omitempty"` // domains whose summaries were not confirmed to the sender recently
	DomainDigests       []DomainDigest   `cbor:"10,keyasint,omitempty"`
	FreeHosts           []PeerDigest     `cbor:"11,keyasint,omitempty"` // digests of the hosts of the domain with the most free slots
	WantDigests         bool             `cbor:"12,keyasint,omitempty"` // requests DomainDigests and FreeHosts
	LateHosts           []host.ID        `cbor:"13,keyasint,omitempty"` // hosts of the domain whose heartbeats the sender misses
}

// SyncRequest asks for the summaries that are newer than the stamps it lists.
type SyncRequest struct {
	Held []DomainStamp `cbor:"1,keyasint,omitempty"`
}

// SyncReply holds the summaries that are newer than those of the request.
type SyncReply struct {
	Summaries []Summary `cbor:"1,keyasint,omitempty"`
}

// StaleIncarnationError reports a message from a process that a later process of
// the same host has replaced.
type StaleIncarnationError struct {
	Host   host.ID
	Got    host.Incarnation
	Latest host.Incarnation
}

// Error implements error.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("host %q: incarnation %d is older than %d", e.Host, e.Got, e.Latest)
}

// FleetCode implements fleet.CodedError.
func (e *StaleIncarnationError) FleetCode() string { return "stale-incarnation" }
