package catalog

import (
	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Upstream is one registered upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int              // requests that it runs at the same time
	Draining      bool             // it gets no new requests
	ColdUntil     boottime.Instant // zero if it was warm when its entry was read
	Incarnation   int64            // start time of its process, which tells restarts under the same ID apart
}

// Host is one registered entry host, as stored in its entry.
type Host struct {
	Name              string `json:"name"`
	EntryAddress      string `json:"entry"`                    // IP:port for callers
	PeerAddress       string `json:"peer"`                     // IP:port for other hosts
	LoadReportAddress string `json:"loads"`                    // IP:port for load reports over UDP, empty if none
	LoadSamples       bool   `json:"loadSamples,omitempty"`    // it reads load reports with samples
	RelayAddress      string `json:"relay,omitempty"`          // IP:port for relayed requests over QUIC, empty if none
	RelayAuthority    string `json:"relayAuthority,omitempty"` // certificate, base64 of DER, that attests the host on these connections
	FailureDomain     string `json:"failureDomain"`
	Region            string `json:"region"`
	Incarnation       int64  `json:"incarnation"` // start time of its process, Unix nanoseconds
	// Era is the era of the store in which the host registered. PolicyVersion is the version of
	// the policy that it had in force then. Both are zero for hosts of earlier builds and if the
	// store names no eras.
	Era           kvstore.Era `json:"era,omitempty"`
	PolicyVersion uint64      `json:"policyVersion,omitempty"`
}
