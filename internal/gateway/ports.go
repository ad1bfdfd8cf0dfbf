// Package gateway implements the entry host for deployments that keep the policy,
// the upstreams and the hosts in a key-value store. Package routing decides on
// routes and keys, quota on rates and retries, and placement on upstreams; this
// package passes requests and responses through them.
package gateway

import (
	"net/http"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/placement"
	"peridotrail/internal/routing"
)

// ItemKind is the kind of an entry of the store.
type ItemKind uint8

// Kinds of entries.
const (
	ItemOther      ItemKind = iota // not used by a gateway
	ItemPolicy                     // the operators' policy
	ItemUpstream                   // a registered upstream
	ItemEvacuation                 // a failure domain that gets no requests while the entry exists
)

// Schema decodes the entries that operators and upstreams keep in the store.
// Implementations are safe for concurrent use.
type Schema interface {
	// Classify returns the kind of an entry and the ID of the upstream or the
	// failure domain that it is about.
	Classify(key string) (kind ItemKind, id string)
	// Policy decodes the operators' policy.
	Policy(value []byte) (routing.Policy, error)
	// Upstream decodes the entry of an upstream, read at the given instant.
	Upstream(id string, value []byte, now boottime.Instant) (catalog.Upstream, error)
}

// Call is the metadata that a caller sends with a request.
type Call struct {
	ID       string        // identifies this attempt of the caller
	Key      string        // of the client account, empty if there is none
	Object   string        // ID of the object that the request is about, empty if there is none
	Deadline time.Duration // how long the caller waits, zero if unknown
}

// Attempt is the metadata that a host sends to an upstream with a request.
type Attempt struct {
	Upstream  string        // ID of the upstream that the request is for
	Account   string        // name of the client account, empty if there is none
	Remaining time.Duration // time until the deadline of the request
}

// Reply is the metadata that an upstream sends with its response.
type Reply struct {
	CallID        string                // Call.ID of the request that it answers, empty if not given
	Signed        bool                  // the response carries the upstream's signature
	NotRun        bool                  // the upstream did not run the request
	Moved         bool                  // the address belongs to another upstream
	Load          *placement.Load       // nil if not reported
	ColdRemaining time.Duration         // how long the upstream stays cold, zero if it is warm
	Limit         placement.LimitReport // request limit that the upstream names
	Rest          RestReport            // time for which the upstream wants no requests from this host
	Leaving       bool                  // the upstream's process will end soon and wants no new requests
}

// RestReport is what a response says about the time for which its upstream wants no requests
// from this host.
type RestReport struct {
	Duration time.Duration // zero if it does not ask for a rest
	Invalid  bool          // a value could not be used as it is
}

// Lookup is a caller's query for entry hosts.
type Lookup struct {
	Name          string // host name that the caller resolves
	Region        string // of the caller
	FailureDomain string // of the caller
}

// Dialect reads and writes the headers, queries and responses of a platform.
// Implementations are safe for concurrent use.
type Dialect interface {
	// ReadCall reads the metadata of a caller's request.
	ReadCall(r *http.Request) Call
	// WriteAttempt sets the headers of an attempt. It removes those that callers
	// must not set.
	WriteAttempt(header http.Header, attempt Attempt)
	// ReadReply reads the metadata of an upstream's response.
	ReadReply(response *http.Response) Reply
	// ReadLookup reads a look-up. It returns false if the request is not a look-up.
	ReadLookup(r *http.Request) (Lookup, bool)
	// WriteLookup answers a look-up with addresses that callers may cache for ttl.
	WriteLookup(w http.ResponseWriter, addresses []string, ttl time.Duration)
	// FormatRetryAfter returns the value of a Retry-After header.
	FormatRetryAfter(after time.Duration) string
	// IsReadiness reports whether the request is a readiness check.
	IsReadiness(r *http.Request) bool
}
