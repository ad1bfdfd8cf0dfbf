// Package api defines the JSON answers of an entry host's own API, which
// callers and the command-line tool read.
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
	ClientParameter  = "client"  // IP address to look up for; the caller's own if absent
)

// LookupAnswer names the entry hosts to use, in order of preference.
type LookupAnswer struct {
	Service  string                 `json:"service"`
	Revision configuration.Revision `json:"revision"` // configuration that the answer was made from
	Hosts    []EntryHost            `json:"hosts"`
}

// EntryHost is one entry host of a LookupAnswer.
type EntryHost struct {
	ID            host.ID        `json:"id"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
}

// StatusAnswer is the state of the fleet as one host sees it.
type StatusAnswer struct {
	Host      host.ID                `json:"host"`
	Time      time.Time              `json:"time"`
	Revision  configuration.Revision `json:"revision"` // in force on this host
	Digest    configuration.Digest   `json:"digest"`
	Members   []Member               `json:"members"`
	Leaders   []Leader               `json:"leaders"`
	Accounts  []AccountShare         `json:"accounts"`
	Upstreams []UpstreamUse          `json:"upstreams"`
	Drains    []DrainProgress        `json:"drains"`
	Shifts    []ShiftProgress        `json:"shifts"`
	Burn      []Burn                 `json:"burn"`
}

// Member is one host of the fleet, the answering one included.
type Member struct {
	ID            host.ID                `json:"id"`
	FailureDomain string                 `json:"failureDomain"`
	Region        string                 `json:"region"`
	State         string                 `json:"state"`
	Revision      configuration.Revision `json:"revision"` // in force there; zero if unknown
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
	Tokens   float64 `json:"tokens"` // requests that may run now
	Admitted int64   `json:"admitted"`
	Refused  int64   `json:"refused"`
}

// UpstreamUse is this host's share of an upstream's slots.
type UpstreamUse struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Healthy  bool   `json:"healthy"`
	Slots    int    `json:"slots"`
	InUse    int    `json:"inUse"`
	Queued   int    `json:"queued"`
}

// DrainProgress is the progress of one drain.
type DrainProgress struct {
	Name   string                  `json:"name"`
	Kind   configuration.DrainKind `json:"kind"`
	Target string                  `json:"target"`
	Left   int                     `json:"left"` // requests that still run through this host
}

// ShiftProgress is the progress of one shift.
type ShiftProgress struct {
	Name  string  `json:"name"`
	From  string  `json:"from"`
	To    string  `json:"to"`
	Moved float64 `json:"moved"` // share of From's callers moved so far, from 0 to 1
	Goal  float64 `json:"goal"`  // share to move
}

// Burn is the use of one objective's error budget.
type Burn struct {
	Objective string  `json:"objective"`
	Short     float64 `json:"short"` // burn rate over the short window; 1 uses up the budget exactly
	Long      float64 `json:"long"`  // burn rate over the objective's window
}
