// Package api defines the paths, the query parameters and the JSON responses of an
// entry host's own API. Callers and the command-line tool use it.
package api

import (
	"net/netip"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

// Paths of the API.
const (
	LookupPath = "/v1/entry-hosts" // GET with the query parameters below
	StatusPath = "/v1/status"      // GET
)

// Query parameters of a look-up.
const (
	ServiceParameter = "service" // name of the service
	ClientParameter  = "client"  // IP address of the client to look up hosts for; if absent, the caller's address
)

// LookupResponse lists the entry hosts that a client should use for a service, in
// order of preference.
type LookupResponse struct {
	Service  string                 `json:"service"`
	Revision configuration.Revision `json:"revision"` // configuration that the response is based on
	Hosts    []EntryHost            `json:"hosts"`
}

// EntryHost is one entry host in a LookupResponse.
type EntryHost struct {
	ID            host.ID        `json:"id"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
}

// StatusResponse is the state of the fleet as one host sees it.
type StatusResponse struct {
	Host      host.ID                `json:"host"`
	Time      time.Time              `json:"time"`
	Revision  configuration.Revision `json:"revision"` // in force on this host
	Digest    configuration.Digest   `json:"digest"`
	Members   []Member               `json:"members"`
	Leaders   []Leader               `json:"leaders"`
	Accounts  []AccountShare         `json:"accounts"`
	Upstreams []UpstreamUsage        `json:"upstreams"`
	Drains    []DrainProgress        `json:"drains"`
	Shifts    []ShiftProgress        `json:"shifts"`
	BurnRates []BurnRate             `json:"burn"`
}

// Member is one host of the fleet. The responding host is a member, too.
type Member struct {
	ID            host.ID                `json:"id"`
	FailureDomain string                 `json:"failureDomain"`
	Region        string                 `json:"region"`
	State         string                 `json:"state"`
	Revision      configuration.Revision `json:"revision"` // in force on that host; zero if unknown
}

// Leader is the leader of a failure domain.
type Leader struct {
	FailureDomain string  `json:"failureDomain"`
	Host          host.ID `json:"host"`
	Epoch         uint64  `json:"epoch"`
}

// AccountShare is this host's share of a client account's rate and burst.
type AccountShare struct {
	Account  string  `json:"account"`
	Rate     float64 `json:"rate"`   // requests per second
	Burst    float64 `json:"burst"`  // requests
	Tokens   float64 `json:"tokens"` // requests that would be admitted now
	Admitted int64   `json:"admitted"`
	Refused  int64   `json:"refused"`
}

// UpstreamUsage is the use of this host's share of an upstream's slots.
type UpstreamUsage struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Healthy  bool   `json:"healthy"`
	Slots    int    `json:"slots"`
	InUse    int    `json:"inUse"`
	Queued   int    `json:"queued"`
}

// DrainProgress is the progress of one drain on this host.
type DrainProgress struct {
	Name              string                  `json:"name"`
	Kind              configuration.DrainKind `json:"kind"`
	Target            string                  `json:"target"`
	RemainingRequests int                     `json:"left"` // requests to the target that still run through this host
}

// ShiftProgress is the progress of one shift.
type ShiftProgress struct {
	Name  string  `json:"name"`
	From  string  `json:"from"`
	To    string  `json:"to"`
	Moved float64 `json:"moved"` // fraction of From's callers moved so far, from 0 to 1
	Goal  float64 `json:"goal"`  // fraction of From's callers to move, from 0 to 1
}

// BurnRate holds the rates at which one objective's error budget is used up, from
// the requests of this host alone. At a rate of 1 the budget is used up exactly at
// the end of the objective's window.
type BurnRate struct {
	Objective   string  `json:"objective"`
	ShortWindow float64 `json:"short"` // burn rate over the last five minutes
	LongWindow  float64 `json:"long"`  // burn rate over the last hour
}
