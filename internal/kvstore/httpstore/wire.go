package httpstore

import (
	"time"

	"peridotrail/internal/kvstore"
)

// Paths of the protocol. Every call is a POST with a JSON body.
const (
	PathGet            = "/v1/store/get"
	PathList           = "/v1/store/list"
	PathCompareAndSwap = "/v1/store/compare-and-swap"
	PathGrant          = "/v1/store/grant"
	PathRenew          = "/v1/store/renew"
	PathRevoke         = "/v1/store/revoke"
	PathWatch          = "/v1/store/watch"
	PathHosts          = "/v1/store/hosts"
)

// Request headers that identify the caller.
const (
	HeaderHost          = "Peridotrail-Host"
	HeaderFailureDomain = "Peridotrail-Failure-Domain"
)

// KeyRequest is the body of PathGet and, with a prefix as its key, of PathList.
type KeyRequest struct {
	Key string `json:"key"`
}

// LeaseRequest is the body of PathGrant, PathRenew and PathRevoke.
type LeaseRequest struct {
	ID  kvstore.LeaseID `json:"id,omitzero"`
	TTL time.Duration   `json:"ttl,omitempty"` // nanoseconds; PathGrant only
}

// WatchRequest is the body of PathWatch.
type WatchRequest struct {
	Prefix string           `json:"prefix"`
	After  kvstore.Revision `json:"after"`
	Wait   time.Duration    `json:"wait"` // nanoseconds
}

// Response is the body of every response. Fields that a call does not use are empty.
type Response struct {
	Entry    kvstore.Entry        `json:"entry,omitzero"`
	Entries  []kvstore.Entry      `json:"entries,omitempty"`
	Revision kvstore.Revision     `json:"revision,omitzero"`
	Lease    kvstore.LeaseID      `json:"lease,omitzero"`
	Hosts    []kvstore.HostRecord `json:"hosts,omitempty"`
}
