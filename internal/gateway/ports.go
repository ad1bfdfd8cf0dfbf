// Package gateway is the entry host for deployments whose policy, upstreams and
// hosts are kept in a store. Decisions are made by the packages routing, quota
// and placement; this package carries requests and answers between them.
package gateway

import (
	"net/http"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/placement"
	"peridotrail/internal/routing"
)

// ItemKind says what an entry of the store is.
type ItemKind uint8

// Kinds of entries.
const (
	ItemOther ItemKind = iota
	ItemPolicy
	ItemUpstream
	ItemEvacuation
)

// Schema translates the entries that operators and upstreams keep in the store.
type Schema interface {
	// Classify says what an entry is and which ID or failure domain it concerns.
	Classify(key string) (kind ItemKind, id string)
	// Policy decodes the operators' policy.
	Policy(value []byte) (routing.Policy, error)
	// Upstream decodes the entry of an upstream, read at the given instant.
	Upstream(id string, value []byte, now boottime.Instant) (catalog.Upstream, error)
}

// Call is what a caller said of its request beside method, path and body.
type Call struct {
	ID       string        // of this attempt of the caller
	Key      string        // of the client account, empty if there is none
	Object   string        // object that the request concerns, empty if there is none
	Deadline time.Duration // how long the caller waits, zero if it did not say
}

// Attempt is what a host tells an upstream beside the request.
type Attempt struct {
	Upstream string        // ID of the upstream that is meant
	Account  string        // name of the client account, empty if there is none
	Left     time.Duration // how long the answer is awaited
}

// Reply is what an upstream said beside its answer.
type Reply struct {
	CallID   string          // of the request that it answers
	Signed   bool            // the upstream vouches for the answer
	NotRun   bool            // the upstream did not run the request
	Moved    bool            // the address belongs to another upstream
	Load     *placement.Load // nil: not told
	ColdLeft time.Duration   // how long the upstream stays cold, zero if it is not
}

// Lookup is a question for entry hosts.
type Lookup struct {
	Name          string
	Region        string
	FailureDomain string
}

// Dialect translates what callers and upstreams say in headers and queries.
type Dialect interface {
	ReadCall(r *http.Request) Call
	// WriteAttempt replaces the headers that only hosts may set.
	WriteAttempt(header http.Header, attempt Attempt)
	ReadReply(response *http.Response) Reply
	// ReadLookup reports false if the request is no look-up.
	ReadLookup(r *http.Request) (Lookup, bool)
	WriteLookup(w http.ResponseWriter, addresses []string, ttl time.Duration)
	// FormatRetryAfter writes the time after which a caller may come back.
	FormatRetryAfter(after time.Duration) string
	// IsReadiness reports whether the request asks if the host is ready.
	IsReadiness(r *http.Request) bool
}
