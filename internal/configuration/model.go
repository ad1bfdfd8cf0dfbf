// Package configuration holds the operators' configuration: its types, the
// merge of a folder of files, its validation and its revisions.
package configuration

//go:generate go run ./refgen

import (
	"net/netip"
	"time"
)

// Revision numbers the accepted configurations. It never decreases.
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
	// ClientBlocks is set in a configuration that was read from a folder. On a
	// host the blocks are packed; read them with Blocks.
	ClientBlocks  []ClientBlock  `json:"clientBlocks,omitempty"`
	Drains        []Drain        `json:"drains,omitempty"`
	Shifts        []Shift        `json:"shifts,omitempty"`
	Objectives    []Objective    `json:"objectives,omitempty"`
	GrantedKeys   []GrantedKey   `json:"grantedKeys,omitempty"`
	WithdrawnKeys []WithdrawnKey `json:"withdrawnKeys,omitempty"`

	packed []*packedRun // client blocks of an assembled configuration
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name string `json:"name"`
	// EgressBytesPerSecond bounds the bytes that one region sends to another.
	// Zero means no bound.
	EgressBytesPerSecond int64 `json:"egressBytesPerSecond,omitempty"`
}

// FailureDomain is a set of hosts and upstreams that fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"` // name of a region
	// Dead is the operators' word that no process of the domain runs any more.
	Dead bool `json:"dead,omitempty"`
}

// ClientAccount is a client of the system, with its keys and with a rate and a
// burst that are counted over the whole fleet.
type ClientAccount struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`             // requests per second
	Burst  int     `json:"burst"`            // requests
	Weight int     `json:"weight,omitempty"` // share under shortage; 1 if zero
	Keys   []Key   `json:"keys,omitempty"`   // see also grantedKeys and withdrawnKeys
}

// Key is the digest of one key of a client account. The key itself is never stored.
type Key struct {
	ID     string `json:"id"`     // unique in the client account
	Digest string `json:"digest"` // SHA-256 in lower-case hexadecimal
}

// GrantedKey grants a key to a client account that may stand in another file.
type GrantedKey struct {
	Account string `json:"account"` // name of a client account
	ID      string `json:"id"`      // unique in the client account
	Digest  string `json:"digest"`  // SHA-256 in lower-case hexadecimal
}

// allKeys returns the keys of all accounts, from both places.
func (c *Configuration) allKeys() []GrantedKey {
	var keys []GrantedKey
	for _, account := range c.ClientAccounts {
		for _, key := range account.Keys {
			keys = append(keys, GrantedKey{Account: account.Name, ID: key.ID, Digest: key.Digest})
		}
	}
	return append(keys, c.GrantedKeys...)
}

// WithdrawnKey withdraws a key of a client account. It overrides the grant of
// the key, whichever file of the folder comes first.
type WithdrawnKey struct {
	Account string `json:"account"` // name of a client account
	Key     string `json:"key"`     // ID of the key
}

// Service is a named application that upstreams serve.
type Service struct {
	Name               string   `json:"name"`                         // first segment of the path of its requests; not "v1"
	MaxDeadline        Duration `json:"maxDeadline,omitempty"`        // upper bound of a request's deadline
	DefaultDeadline    Duration `json:"defaultDeadline,omitempty"`    // deadline of a request that names none
	ConnectionOpenTime Duration `json:"connectionOpenTime,omitempty"` // cost of a new connection to an upstream
	ProbeTime          Duration `json:"probeTime,omitempty"`          // time that a probe occupies a slot
	HealthPath         string   `json:"healthPath,omitempty"`         // path of the upstreams' health endpoint; no probes if absent
	LoadPath           string   `json:"loadPath,omitempty"`           // path of the upstreams' load endpoint; no reports if absent
}

// Upstream is one worker of a service.
type Upstream struct {
	Name          string         `json:"name"`
	Service       string         `json:"service"`       // name of a service
	FailureDomain string         `json:"failureDomain"` // name of a failure domain
	Address       netip.AddrPort `json:"address"`       // of its HTTP server
	Slots         int            `json:"slots"`         // requests served at the same time, at most connections
	Connections   int            `json:"connections"`   // connections over all hosts together
}

// Priority orders routes under shortage.
type Priority string

// Route priorities.
const (
	PriorityNormal Priority = "normal"
	PriorityAlert  Priority = "alert"
)

// Route gives the policy for requests whose path begins with Prefix. The longest
// matching prefix wins.
type Route struct {
	Service    string   `json:"service"`              // name of a service
	Prefix     string   `json:"prefix"`               // path below /SERVICE, begins with "/"; matches whole segments
	Open       bool     `json:"open,omitempty"`       // no key is required
	Idempotent *bool    `json:"idempotent,omitempty"` // overrides the method's own property
	Priority   Priority `json:"priority,omitempty"`   // "normal" or "alert"; "normal" if absent
}

// ClientBlock assigns a block of client addresses to failure domains, nearest first.
type ClientBlock struct {
	Prefix  netip.Prefix `json:"prefix"`  // the longest matching prefix wins
	Domains []string     `json:"domains"` // names of failure domains, at least one
}

// DrainKind says what a drain empties.
type DrainKind string

// Kinds of drain.
const (
	DrainUpstream      DrainKind = "upstream"
	DrainHost          DrainKind = "host"
	DrainFailureDomain DrainKind = "failure-domain"
	DrainRegion        DrainKind = "region"
)

// Drain is a planned stop: its target gets no new work from its start on.
type Drain struct {
	Name   string    `json:"name"`
	Kind   DrainKind `json:"kind"`           // "upstream", "host", "failure-domain" or "region"
	Target string    `json:"target"`         // name of what is drained
	Start  time.Time `json:"start,omitzero"` // at once if zero
}

// Shift moves callers from one failure domain to another in bounded steps.
type Shift struct {
	Name     string   `json:"name"`
	From     string   `json:"from"`     // failure domain
	To       string   `json:"to"`       // failure domain
	Share    float64  `json:"share"`    // share of the callers of "from" to move; above 0, at most 1
	Cap      float64  `json:"cap"`      // largest share moved in one interval, summed over all hosts; above 0, at most 1
	Interval Duration `json:"interval"` // time between steps, at least "1s"
}

// Objective is a service-level objective for a service, a client account or both.
type Objective struct {
	Name    string   `json:"name"`
	Service string   `json:"service,omitempty"` // name of a service; all if absent
	Account string   `json:"account,omitempty"` // name of a client account; all if absent
	Target  float64  `json:"target"`            // share of good requests; above 0, below 1
	Latency Duration `json:"latency,omitempty"` // slower requests are bad; unbounded if zero
	Window  Duration `json:"window"`            // period over which the error budget is counted; at least "1h"
}
