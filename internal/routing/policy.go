// Package routing holds the routing policy of a host: routes, services, client
// accounts and limits, indexed in an immutable table.
package routing

import "time"

// Version is the version number of a policy. A host accepts only increasing
// versions.
type Version uint64

// Policy is one complete version of the operators' policy.
type Policy struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
	// Problems are the entries that were left out, are unusable, or are served with
	// restrictions. They affect no other entry.
	Problems []PolicyError
}

// Route is the policy for requests to one host name whose path begins with Prefix.
// The longest matching prefix wins.
type Route struct {
	Name        string
	Host        string // host name of the request, without port
	Prefix      string // begins and ends with a slash
	Targets     []Target
	Idempotent  bool // requests may be executed more than once
	MaxAttempts int  // largest number of upstreams that one request is sent to, at least 1
	// Timeout bounds the time from the arrival of a request to its response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response is on time.
	LatencyObjective time.Duration
	Priority         int      // 0 is the most urgent
	Open             bool     // requests need no key
	Sticky           bool     // upstreams serve recently used objects faster
	HomeRegions      []string // regions that may serve the requests; empty allows all
	HomesUnread      bool     // the homes can't be read, so that no region is known to be one
	// Unusable is why no request on the route can be served; empty if requests can be. The
	// route still hides those with shorter prefixes.
	Unusable string
}

// Target is one service of a route's weighted traffic split.
type Target struct {
	Service string
	Weight  int // relative to the other targets of the route
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int           // to one upstream, summed over all hosts
	ColdStart      time.Duration // how long an upstream is cold after its start
	ColdRate       float64       // requests per second that a cold upstream can serve; zero means no limit
	Unusable       string        // why no request can be sent to the service; empty if requests can be
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    *int     // overrides the priority of the route; nil keeps it
	Rate        float64  // requests per second over all hosts; zero means no limit
	Burst       float64  // requests
	HomeRegions []string // regions that may serve the requests; empty allows all
	Unusable    string   // why no request of the account can be served; empty if requests can be
}

// Limits bound the requests of callers. Zero means the host's default.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int64
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // of a connection without a request
}
