// Package membership tracks which hosts are live.
//
// Hosts of a failure domain exchange heartbeats with each other, in large
// domains with their leader and a few neighbours only. Leaders exchange
// heartbeats with leaders of other domains. Lists of hosts travel as changes
// since the last known stamp, so that a quiet fleet sends heartbeats alone.
package membership

import (
	"fmt"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Kinds of messages.
const (
	KindHeartbeat fleet.Kind = "membership.heartbeat"
	KindSync      fleet.Kind = "membership.sync"
)

// ServiceLoad is the load of one service at a host, or summed over a domain.
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

// Digest is what a host tells its peers with each heartbeat. Providers fill it.
type Digest struct {
	ConfigurationRevision uint64          `cbor:"1,keyasint,omitempty" json:"configurationRevision"`
	StateRevision         uint64          `cbor:"2,keyasint,omitempty" json:"stateRevision"`
	LeaderEpoch           uint64          `cbor:"3,keyasint,omitempty" json:"leaderEpoch"`
	Leader                host.ID         `cbor:"4,keyasint,omitempty" json:"leader"`
	Services              []ServiceLoad   `cbor:"5,keyasint,omitempty" json:"services,omitempty"`
	Tokens                []AccountTokens `cbor:"6,keyasint,omitempty" json:"tokens,omitempty"`
	Sections              []Section       `cbor:"7,keyasint,omitempty" json:"sections,omitempty"`
}

// Section is a part of a digest whose type only its provider knows.
type Section struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Body []byte `cbor:"2,keyasint,omitempty" json:"body"` // encoded with fleet.Marshal
}

// Section decodes the named section into a value. It reports false if the
// section is missing or not decodable.
func (d Digest) Section(name string, into any) bool {
	for _, section := range d.Sections {
		if section.Name == name {
			return fleet.Unmarshal(section.Body, into) == nil
		}
	}
	return false
}

// Provider adds to the digest of this host. It must not block.
type Provider func(*Digest)

// PeerDigest is the last digest received from a host.
type PeerDigest struct {
	Identity host.Identity `cbor:"1,keyasint"`
	Digest   Digest        `cbor:"2,keyasint"`
	Received time.Time     `cbor:"-"` // monotonic time at this host
}

// DomainDigest is the digest of a whole failure domain, made by its leader.
type DomainDigest struct {
	Domain      string        `cbor:"1,keyasint"`
	Leader      host.ID       `cbor:"2,keyasint,omitempty"`
	LeaderEpoch uint64        `cbor:"3,keyasint,omitempty"`
	Hosts       int           `cbor:"4,keyasint,omitempty"` // live hosts summed up
	Services    []ServiceLoad `cbor:"5,keyasint,omitempty"`
	Received    time.Time     `cbor:"-"` // monotonic time at this host
}

// Stamp orders the summaries of one domain.
type Stamp struct {
	Epoch    uint64 `cbor:"1,keyasint,omitempty"` // of the leader that made the summary
	Sequence uint64 `cbor:"2,keyasint,omitempty"` // of the last change
	Maker    uint32 `cbor:"3,keyasint,omitempty"` // hash of the process that made the summary
}

// Less reports whether s is older than other.
func (s Stamp) Less(other Stamp) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch < other.Epoch
	}
	if s.Sequence != other.Sequence {
		return s.Sequence < other.Sequence
	}
	return s.Maker < other.Maker
}

// extends reports whether changes after the stamp since may be added to a summary
// with that stamp: both were made by the same process.
func (s Stamp) extends(since Stamp) bool {
	return s.Epoch == since.Epoch && s.Maker == since.Maker
}

// DomainStamp is the stamp of a domain's summary.
type DomainStamp struct {
	Domain string `cbor:"1,keyasint"`
	Stamp  Stamp  `cbor:"2,keyasint"`
}

// HostSummary is one host in a summary.
type HostSummary struct {
	Identity host.Identity `cbor:"1,keyasint"`
	State    host.State    `cbor:"2,keyasint,omitempty"`
	Changed  uint64        `cbor:"3,keyasint,omitempty"` // sequence of the last change of this entry
}

// Summary is the list of hosts of one domain, or the changes since a stamp.
type Summary struct {
	Domain string        `cbor:"1,keyasint"`
	Stamp  Stamp         `cbor:"2,keyasint"`
	Since  uint64        `cbor:"3,keyasint,omitempty"` // zero: complete; else changes after this sequence
	Leader host.ID       `cbor:"4,keyasint,omitempty"`
	Hosts  []HostSummary `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is both the request and the reply of an exchange.
type Heartbeat struct {
	// Self is in a reply if the request named another process in To.
	Self *host.Identity `cbor:"1,keyasint,omitempty"`
	// To is the process that the sender of a request expects; zero if it knows none.
	To       host.Incarnation `cbor:"2,keyasint,omitempty"`
	Leaving  bool             `cbor:"3,keyasint,omitempty"`
	Period   uint32           `cbor:"4,keyasint,omitempty"` // milliseconds to the sender's next heartbeat
	Digest   Digest           `cbor:"5,keyasint"`
	Known    uint64           `cbor:"6,keyasint,omitempty"` // hash of the stamps that the sender holds
	Own      Stamp            `cbor:"7,keyasint,omitempty"` // of the sender's own domain
	Speaker  bool             `cbor:"8,keyasint,omitempty"` // the sender makes its domain's summary
	Stale    []string         `cbor:"9,keyasint,omitempty"` // domains not confirmed to the sender for long
	Domains  []DomainDigest   `cbor:"10,keyasint,omitempty"`
	Capacity []PeerDigest     `cbor:"11,keyasint,omitempty"` // hosts of the domain with room
	Want     bool             `cbor:"12,keyasint,omitempty"` // asks for Domains and Capacity
	Late     []host.ID        `cbor:"13,keyasint,omitempty"` // hosts of the domain that the sender misses
}

// SyncRequest asks for what changed since the stamps held.
type SyncRequest struct {
	Have []DomainStamp `cbor:"1,keyasint,omitempty"`
}

// SyncReply holds the summaries that are newer.
type SyncReply struct {
	Summaries []Summary `cbor:"1,keyasint,omitempty"`
}

// StaleIncarnationError is a message of a process that a later one has replaced.
type StaleIncarnationError struct {
	Host  host.ID
	Got   host.Incarnation
	Known host.Incarnation
}

// Error implements error.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("host %q: incarnation %d is older than %d", e.Host, e.Got, e.Known)
}

// FleetCode implements fleet.CodedError.
func (e *StaleIncarnationError) FleetCode() string { return "stale-incarnation" }
