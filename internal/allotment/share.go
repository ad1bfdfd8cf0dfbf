// Package allotment divides rate limits and upstream capacities among hosts, such
// that the sum of the live shares never exceeds the limit.
//
// All types are pure state machines: callers pass in the time, and no method blocks
// or does I/O. They are not safe for concurrent use.
package allotment

import (
	"math"
	"strings"
)

// Resource names a limited resource: the rate of a client account or the capacity
// of an upstream.
type Resource string

const (
	accountPrefix  = "account/"
	upstreamPrefix = "upstream/"
)

// AccountResource returns the resource of a client account's rate and burst.
func AccountResource(account string) Resource { return Resource(accountPrefix + account) }

// UpstreamResource returns the resource of an upstream's slots and connections.
func UpstreamResource(upstream string) Resource { return Resource(upstreamPrefix + upstream) }

// Account returns the client account, or false if r does not belong to one.
func (r Resource) Account() (string, bool) { return strings.CutPrefix(string(r), accountPrefix) }

// Upstream returns the upstream, or false if r does not belong to one.
func (r Resource) Upstream() (string, bool) { return strings.CutPrefix(string(r), upstreamPrefix) }

// Share is an amount of one resource. Client accounts use Rate and Burst, upstreams
// use Slots and Connections.
type Share struct {
	Rate        float64 `cbor:"1,keyasint,omitempty" json:"rate,omitempty"`  // requests per second
	Burst       float64 `cbor:"2,keyasint,omitempty" json:"burst,omitempty"` // requests
	Slots       int     `cbor:"3,keyasint,omitempty" json:"slots,omitempty"`
	Connections int     `cbor:"4,keyasint,omitempty" json:"connections,omitempty"`
}

// DefaultFloorFraction is the fraction of a failure domain's share of an account
// that other domains cannot reclaim while the domain is partitioned.
const DefaultFloorFraction = 0.5

// tolerance is the relative rounding error allowed in floating-point sums.
const tolerance = 1e-9

// IsZero reports whether the share is empty.
func (s Share) IsZero() bool { return s == Share{} }

// Plus returns the sum of both shares.
func (s Share) Plus(o Share) Share {
	return Share{s.Rate + o.Rate, s.Burst + o.Burst, s.Slots + o.Slots, s.Connections + o.Connections}
}

// Minus returns the difference of each component, at least zero.
func (s Share) Minus(o Share) Share {
	return Share{
		Rate:        max(s.Rate-o.Rate, 0),
		Burst:       max(s.Burst-o.Burst, 0),
		Slots:       max(s.Slots-o.Slots, 0),
		Connections: max(s.Connections-o.Connections, 0),
	}
}

// Max returns the larger value of each component.
func (s Share) Max(o Share) Share {
	return Share{max(s.Rate, o.Rate), max(s.Burst, o.Burst), max(s.Slots, o.Slots), max(s.Connections, o.Connections)}
}

// Min returns the smaller value of each component.
func (s Share) Min(o Share) Share {
	return Share{min(s.Rate, o.Rate), min(s.Burst, o.Burst), min(s.Slots, o.Slots), min(s.Connections, o.Connections)}
}

// Scale returns the share multiplied by f. Integer components round down.
func (s Share) Scale(f float64) Share {
	return Share{s.Rate * f, s.Burst * f, int(float64(s.Slots) * f), int(float64(s.Connections) * f)}
}

// Within reports whether no component exceeds that of limit, apart from rounding.
func (s Share) Within(limit Share) bool {
	return within(s.Rate, limit.Rate) && within(s.Burst, limit.Burst) &&
		s.Slots <= limit.Slots && s.Connections <= limit.Connections
}

func within(amount, limit float64) bool {
	return amount <= limit+tolerance*math.Max(1, math.Abs(limit))
}

// near reports whether rate and burst differ by at most fraction of scale, and
// slots and connections are equal.
func (s Share) near(o, scale Share, fraction float64) bool {
	return math.Abs(s.Rate-o.Rate) <= fraction*scale.Rate &&
		math.Abs(s.Burst-o.Burst) <= fraction*scale.Burst &&
		s.Slots == o.Slots && s.Connections == o.Connections
}
