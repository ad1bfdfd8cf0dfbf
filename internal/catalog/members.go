package catalog

import "peridotrail/internal/boottime"

// Upstream is one registered upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int
	Draining      bool
	ColdUntil     boottime.Instant // zero: it was not cold when its entry was read
	Incarnation   int64            // start of its process; a restart under the same ID has another
}

// Host is one registered entry host.
type Host struct {
	Name              string `json:"name"`
	EntryAddress      string `json:"entry"` // IP:port for callers
	PeerAddress       string `json:"peer"`  // IP:port for questions of other hosts
	LoadReportAddress string `json:"loads"` // IP:port for datagrams about load, empty: none
	FailureDomain     string `json:"failureDomain"`
	Region            string `json:"region"`
	Incarnation       int64  `json:"incarnation"` // start of its process, nanoseconds since 1970
}
