package quota

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// leastPart is the rate, in requests a second, below which a part of an account is
// not divided further: a host that gains a token each few seconds refuses requests
// while others hold tokens that nobody asks for.
const leastPart = 4.0

// Holder is a host that may hold parts of the accounts' rates.
type Holder struct {
	Name          string
	FailureDomain string
	Region        string
	Address       netip.AddrPort // for questions
}

// Division says which hosts hold parts of an account's rate. A rate that is worth it
// is divided equally among the failure domains, and in each among its hosts, so that
// a domain that is cut off goes on. A smaller one is divided among fewer hosts, at
// least one in each region. The hash of account and name chooses them, so that hosts
// that know the same hosts agree without asking. It is immutable.
type Division struct {
	self    string
	regions []region // the own one first
	all     int      // failure domains
}

type region struct{ domains []domain }

// domain is a failure domain with its hosts.
type domain struct {
	own     bool
	hash    uint64
	members []member
}

type member struct {
	Holder
	hash uint64
}

// NewDivision divides among hosts. The host itself takes part even if it is not
// among them yet.
func NewDivision(self Holder, hosts []Holder) *Division {
	if !slices.ContainsFunc(hosts, func(h Holder) bool { return h.Name == self.Name }) {
		hosts = append(slices.Clone(hosts), self)
	}
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b Holder) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)), cmp.Compare(a.Region, b.Region),
			cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name),
		)
	})
	d := &Division{self: self.Name}
	for i, h := range hosts {
		if i == 0 || h.Region != hosts[i-1].Region {
			d.regions = append(d.regions, region{})
		}
		r := &d.regions[len(d.regions)-1]
		if len(r.domains) == 0 || h.FailureDomain != hosts[i-1].FailureDomain {
			r.domains = append(r.domains, domain{own: h.FailureDomain == self.FailureDomain, hash: xxhash.Sum64String(h.FailureDomain)})
			d.all++
		}
		in := &r.domains[len(r.domains)-1]
		in.members = append(in.members, member{h, xxhash.Sum64String(h.Name)})
	}
	return d
}

// distance is 0 in the own failure domain, 1 in the region and 2 elsewhere.
func distance(self, other Holder) int {
	switch {
	case other.FailureDomain == self.FailureDomain:
		return 0
	case other.Region == self.Region:
		return 1
	default:
		return 2
	}
}

// Pool returns the part of an account's rate that this region has.
func (d *Division) Pool(account uint64, rate float64) float64 {
	pool := 0.0
	d.each(account, rate, func(i int, _ domain, _ member, part float64) {
		if i == 0 {
			pool += part
		}
	})
	return pool
}

// Part returns this host's part of an account's rate, from 0 to 1. The parts of all
// hosts that know the same hosts add up to 1.
func (d *Division) Part(account uint64, rate float64) float64 {
	own := 0.0
	d.each(account, rate, func(_ int, _ domain, h member, part float64) {
		if h.Name == d.self {
			own = part
		}
	})
	return own
}

// Lenders returns the other hosts that hold parts of an account's rate: those of
// this failure domain, and the others, this region first.
func (d *Division) Lenders(account uint64, rate float64) (near, far []netip.AddrPort) {
	d.each(account, rate, func(_ int, in domain, h member, _ float64) {
		switch {
		case h.Name == d.self || !h.Address.IsValid():
		case in.own:
			near = append(near, h.Address)
		default:
			far = append(far, h.Address)
		}
	})
	return near, far
}

// each calls f with every holder of an account's rate and its part.
func (d *Division) each(account uint64, rate float64, f func(region int, in domain, h member, part float64)) {
	holders := int(rate / leastPart)
	if holders >= d.all {
		for i, r := range d.regions {
			for _, in := range r.domains {
				chosen := best(in.members, holders/d.all, func(m member) uint64 { return account ^ m.hash })
				for _, h := range chosen {
					f(i, in, h, 1/float64(d.all*len(chosen)))
				}
			}
		}
		return
	}
	for i, r := range d.regions {
		chosen := best(r.domains, holders/len(d.regions), func(in domain) uint64 { return account ^ in.hash })
		for _, in := range chosen {
			h := best(in.members, 1, func(m member) uint64 { return account ^ m.hash })[0]
			f(i, in, h, 1/float64(len(d.regions)*len(chosen)))
		}
	}
}

// best returns the n elements with the smallest mixed hashes, at least one.
func best[T any](all []T, n int, hash func(T) uint64) []T {
	if n >= len(all) {
		return all
	}
	ordered := slices.SortedFunc(slices.Values(all), func(a, b T) int { return cmp.Compare(mix(hash(a)), mix(hash(b))) })
	return ordered[:max(n, 1)]
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
