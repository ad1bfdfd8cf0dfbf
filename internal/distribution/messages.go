package distribution

import (
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/kvstore"
)

// Kinds of messages between hosts.
const (
	KindOffer  fleet.Kind = "distribution.offer"  // a leader pushes changes to a host of its domain
	KindSync   fleet.Kind = "distribution.sync"   // a host requests from a peer what it lacks
	KindChunks fleet.Kind = "distribution.chunks" // a host fetches chunks of a configuration from a peer
)

// Version is the store's revision of one state document.
type Version struct {
	Key      string           `cbor:"1,keyasint"`
	Revision kvstore.Revision `cbor:"2,keyasint"`
}

// Document is one state document. A higher revision replaces a lower one.
type Document struct {
	Key      string           `cbor:"1,keyasint"`
	Revision kvstore.Revision `cbor:"2,keyasint"`
	Value    []byte           `cbor:"3,keyasint"`
}

// Offer carries a newer configuration and newer state documents.
type Offer struct {
	Manifest   []byte        `cbor:"1,keyasint,omitempty"` // empty: no newer configuration
	Documents  []Document    `cbor:"2,keyasint,omitempty"`
	ContactAge time.Duration `cbor:"3,keyasint"` // sender's Distributor.ContactAge
}

// OfferReply reports what the receiver of an Offer holds.
type OfferReply struct {
	Revision configuration.Revision `cbor:"1,keyasint"`
	Versions []Version              `cbor:"2,keyasint,omitempty"`
}

// SyncRequest reports what the sender holds. The reply is an Offer.
type SyncRequest struct {
	Revision configuration.Revision `cbor:"1,keyasint"`
	Versions []Version              `cbor:"2,keyasint,omitempty"`
}

// ChunksRequest names chunks by their digests.
type ChunksRequest struct {
	Digests []configuration.Digest `cbor:"1,keyasint"`
}

// ChunksReply holds the leading chunks of the request, as many as fit into one
// message. It ends early at a chunk that the host does not hold.
type ChunksReply struct {
	Chunks [][]byte `cbor:"1,keyasint"`
}

// maxChunksReplyBytes limits the data in one ChunksReply. The first chunk may exceed it.
const maxChunksReplyBytes = 1 << 20
