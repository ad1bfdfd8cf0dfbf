// Package routing holds the policy for requests that a store-driven host has in
// force: routes, services, client accounts and limits, as one immutable table.
package routing

import "time"

// Version numbers the accepted policies. It never decreases.
type Version uint64

// Document is one complete policy as the operators wrote it.
type Document struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route is the policy for the requests of one host name whose path begins with
// Prefix. The longest matching prefix wins.
type Route struct {
	Name        string
	Host        string // host name of the request, without port
	Prefix      string // begins and ends with a slash
	Targets     []Target
	Idempotent  bool // requests may run more than once
	MaxAttempts int  // upstreams that one request may be sent to, at least 1
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is fully useful.
	LatencyObjective time.Duration
	Priority         int  // rank, 0 is the most urgent
	Open             bool // no key is required
	Sticky           bool // upstreams serve objects faster that they have served lately
	HomeRegions      []string
}

// Target is one part of a weighted split.
type Target struct {
	Service string
	Weight  int // share of the requests relative to the other targets
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int           // to one upstream, over all hosts together
	ColdStart      time.Duration // how long an upstream is cold after its start
	ColdRate       float64       // requests a second that a cold upstream bears; zero: no bound
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    *int    // overrides the priority of the route; nil: the route's
	Rate        float64 // requests a second over all hosts; zero: no limit
	Burst       float64 // requests
	HomeRegions []string
}

// Limits bound what callers may send. Zero means the host's own default.
type Limits struct {
	BodyBytes int64
}
