// Package configuration holds the operators' configuration: its types, the
// merge of a folder of files, its validation and its revisions.
package configuration

//go:generate go run ./refgen

import (
	"net/netip"
	"time"
)

// Revision is the number of an accepted configuration. It never decreases.
type Revision uint64

// Configuration is one complete, validated configuration. It is immutable once
// it has been accepted.
type Configuration struct {
	Regions        []Region        `json:"regions,omitempty"`
	FailureDomains []FailureDomain `json:"failureDomains,omitempty"`
	ClientAccounts []ClientAccount `json:"clientAccounts,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Upstreams      []Upstream      `json:"upstreams,omitempty"`
	Routes         []Route         `json:"routes,omitempty"`
	// ClientBlocks is set only in a configuration that was read from a folder. An
	// assembled configuration holds the blocks in packed form. Blocks iterates over
	// both.
	ClientBlocks  []ClientBlock  `json:"clientBlocks,omitempty"`
	Drains        []Drain        `json:"drains,omitempty"`
	Shifts        []Shift        `json:"shifts,omitempty"`
	Objectives    []Objective    `json:"objectives,omitempty"`
	GrantedKeys   []GrantedKey   `json:"grantedKeys,omitempty"`
	WithdrawnKeys []WithdrawnKey `json:"withdrawnKeys,omitempty"`

	packedClientBlocks []*packedBlocks // client blocks of an assembled configuration
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name string `json:"name"`
	// EgressBytesPerSecond limits the bytes that the region sends to other regions.
	// Zero means no limit.
	EgressBytesPerSecond int64 `json:"egressBytesPerSecond,omitempty"`
}

// FailureDomain is a set of hosts and upstreams that fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"` // name of a region
	// Dead declares that no process of the domain is running any more.
	Dead bool `json:"dead,omitempty"`
}

// ClientAccount is a client of the system with its keys. Its rate and burst apply
// to the whole fleet.
type ClientAccount struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`             // requests per second
	Burst  int     `json:"burst"`            // requests
	Weight int     `json:"weight,omitempty"` // relative share when capacity is short; 1 if zero
	Keys   []Key   `json:"keys,omitempty"`   // see also grantedKeys and withdrawnKeys
}

// Key is the digest of one key of a client account. The key itself is never stored.
type Key struct {
	ID     string `json:"id"`     // unique in the client account
	Digest string `json:"digest"` // SHA-256 in lower-case hexadecimal
}

// GrantedKey grants a key to a client account, which may be defined in another
// file.
type GrantedKey struct {
	Account string `json:"account"` // name of a client account
	ID      string `json:"id"`      // unique in the client account
	Digest  string `json:"digest"`  // SHA-256 in lower-case hexadecimal
}

// allKeys returns the keys listed in client accounts followed by the granted keys,
// including withdrawn ones.
func (c *Configuration) allKeys() []GrantedKey {
	var keys []GrantedKey
	for _, account := range c.ClientAccounts {
		for _, key := range account.Keys {
			keys = append(keys, GrantedKey{Account: account.Name, ID: key.ID, Digest: key.Digest})
		}
	}
	return append(keys, c.GrantedKeys...)
}

// WithdrawnKey withdraws a key of a client account. It overrides the grant of the
// key, regardless of the order of the files.
type WithdrawnKey struct {
	Account string `json:"account"` // name of a client account
	Key     string `json:"key"`     // ID of the key
}

// Service is an application that upstreams serve.
type Service struct {
	Name               string   `json:"name"`                         // first segment of the path of its requests; not "v1"
	MaxDeadline        Duration `json:"maxDeadline,omitempty"`        // upper bound of a request's deadline
	DefaultDeadline    Duration `json:"defaultDeadline,omitempty"`    // deadline of a request that does not set one
	ConnectionOpenTime Duration `json:"connectionOpenTime,omitempty"` // time to open a new connection to an upstream
	ProbeTime          Duration `json:"probeTime,omitempty"`          // time for which a probe occupies a slot
	HealthPath         string   `json:"healthPath,omitempty"`         // path of the upstreams' health endpoint; if absent, upstreams are not probed
	LoadPath           string   `json:"loadPath,omitempty"`           // path of the upstreams' load endpoint; if absent, loads are not reported
}

// Upstream is one worker of a service.
type Upstream struct {
	Name          string         `json:"name"`
	Service       string         `json:"service"`       // name of a service
	FailureDomain string         `json:"failureDomain"` // name of a failure domain
	Address       netip.AddrPort `json:"address"`       // address of its HTTP server
	Slots         int            `json:"slots"`         // maximum number of concurrent requests; not more than connections
	Connections   int            `json:"connections"`   // maximum number of connections, summed over all hosts
}

// Priority ranks the requests of a route when capacity is short.
type Priority string

// Route priorities.
const (
	PriorityNormal Priority = "normal"
	PriorityAlert  Priority = "alert"
)

// Route sets the policy for requests whose path begins with Prefix. The longest
// matching prefix applies.
type Route struct {
	Service    string   `json:"service"`              // name of a service
	Prefix     string   `json:"prefix"`               // path below /SERVICE; begins with "/" and matches whole segments
	Open       bool     `json:"open,omitempty"`       // requests need no key
	Idempotent *bool    `json:"idempotent,omitempty"` // overrides whether the HTTP method is idempotent
	Priority   Priority `json:"priority,omitempty"`   // "normal" or "alert"; "normal" if absent
}

// ClientBlock assigns a block of client addresses to failure domains, nearest first.
type ClientBlock struct {
	Prefix  netip.Prefix `json:"prefix"`  // the longest matching prefix applies
	Domains []string     `json:"domains"` // names of failure domains, at least one
}

// DrainKind is the kind of target of a drain.
type DrainKind string

// Kinds of drain.
const (
	DrainUpstream      DrainKind = "upstream"
	DrainHost          DrainKind = "host"
	DrainFailureDomain DrainKind = "failure-domain"
	DrainRegion        DrainKind = "region"
)

// Drain prepares a planned stop: from the start time on, its target gets no new
// work.
type Drain struct {
	Name   string    `json:"name"`
	Kind   DrainKind `json:"kind"`           // "upstream", "host", "failure-domain" or "region"
	Target string    `json:"target"`         // name of the upstream, host, failure domain or region
	Start  time.Time `json:"start,omitzero"` // immediately if absent
}

// Shift moves callers from one failure domain to another in bounded steps.
type Shift struct {
	Name     string   `json:"name"`
	From     string   `json:"from"`     // name of a failure domain
	To       string   `json:"to"`       // name of another failure domain
	Share    float64  `json:"share"`    // share of the callers of "from" to move; greater than 0, at most 1
	Cap      float64  `json:"cap"`      // maximum share moved in one interval, summed over all hosts; greater than 0, at most 1
	Interval Duration `json:"interval"` // time between steps, at least "1s"
}

// Objective is a service-level objective for a service, a client account or both.
type Objective struct {
	Name    string   `json:"name"`
	Service string   `json:"service,omitempty"` // name of a service; all services if absent
	Account string   `json:"account,omitempty"` // name of a client account; all client accounts if absent
	Target  float64  `json:"target"`            // required share of good requests; greater than 0, less than 1
	Latency Duration `json:"latency,omitempty"` // slower requests are bad; no limit if zero
	Window  Duration `json:"window"`            // period to which the error budget applies; at least "1h"
}
