package quota

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minShareRate is the rate, in requests per second, that a share should have at least.
// With smaller shares, a host that gains a token every few seconds refuses requests
// while other hosts hold unused tokens.
const minShareRate = 4.0

// Holder is a host that may hold shares of the accounts' rates.
type Holder struct {
	Name          string
	FailureDomain string
	Region        string
	Address       netip.AddrPort // where other hosts ask it for tokens; invalid if they can't
}

// Division determines which hosts hold shares of an account's rate. A rate that
// allows a share of minShareRate in each failure domain is divided equally among the
// domains, and in each among some or all of its hosts, so that a domain that is cut
// off can still admit requests. A smaller rate is divided among one host each of
// fewer domains, at least one in each region. Rendezvous hashing of account and host
// or domain names chooses them, so hosts that know the same hosts agree without
// communication. A Division is immutable and safe for concurrent use.
type Division struct {
	self        string
	regions     []region // this host's region first
	domainCount int      // failure domains of all regions
}

type region struct{ domains []domain }

// domain is a failure domain with its hosts. local marks this host's domain.
type domain struct {
	local   bool
	hash    uint64
	members []member
}

type member struct {
	Holder
	hash uint64
}

// NewDivision returns the division among hosts and self, as seen by self. hosts need
// not include self.
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
			r.domains = append(r.domains, domain{local: h.FailureDomain == self.FailureDomain, hash: xxhash.Sum64String(h.FailureDomain)})
			d.domainCount++
		}
		current := &r.domains[len(r.domains)-1]
		current.members = append(current.members, member{h, xxhash.Sum64String(h.Name)})
	}
	return d
}

// distance returns 0 if other is in the failure domain of self, 1 if it is in the same
// region, and 2 otherwise.
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

// RegionShare returns the share of an account's rate that the hosts of this region
// hold together, from 0 to 1. account is the hash of the account's name, and rate is
// its whole rate in requests per second.
func (d *Division) RegionShare(account uint64, rate float64) float64 {
	total := 0.0
	d.forEachHolder(account, rate, func(i int, _ domain, _ member, share float64) {
		if i == 0 {
			total += share
		}
	})
	return total
}

// Share returns this host's share of an account's rate, from 0 to 1. The shares of
// all hosts that know the same hosts add up to 1. The arguments are those of
// RegionShare.
func (d *Division) Share(account uint64, rate float64) float64 {
	share := 0.0
	d.forEachHolder(account, rate, func(_ int, _ domain, h member, holderShare float64) {
		if h.Name == d.self {
			share = holderShare
		}
	})
	return share
}

// Lenders returns the addresses of the other hosts that hold shares of an account's
// rate: near in this failure domain and far elsewhere, this region first. Hosts
// without a valid address are left out. The arguments are those of RegionShare.
func (d *Division) Lenders(account uint64, rate float64) (near, far []netip.AddrPort) {
	d.forEachHolder(account, rate, func(_ int, holderDomain domain, h member, _ float64) {
		switch {
		case h.Name == d.self || !h.Address.IsValid():
		case holderDomain.local:
			near = append(near, h.Address)
		default:
			far = append(far, h.Address)
		}
	})
	return near, far
}

// forEachHolder calls f for each host that holds a share of an account's rate. region
// is the index in d.regions.
func (d *Division) forEachHolder(account uint64, rate float64, f func(region int, holderDomain domain, h member, share float64)) {
	holders := int(rate / minShareRate)
	if holders >= d.domainCount {
		for i, r := range d.regions {
			for _, dom := range r.domains {
				chosen := rendezvous(dom.members, holders/d.domainCount, func(m member) uint64 { return account ^ m.hash })
				for _, h := range chosen {
					f(i, dom, h, 1/float64(d.domainCount*len(chosen)))
				}
			}
		}
		return
	}
	for i, r := range d.regions {
		chosen := rendezvous(r.domains, holders/len(d.regions), func(d domain) uint64 { return account ^ d.hash })
		for _, dom := range chosen {
			h := rendezvous(dom.members, 1, func(m member) uint64 { return account ^ m.hash })[0]
			f(i, dom, h, 1/float64(len(d.regions)*len(chosen)))
		}
	}
}

// rendezvous chooses n elements, at least one, by rendezvous hashing: those with the
// smallest mixed hashes. all must not be empty.
func rendezvous[T any](all []T, n int, hash func(T) uint64) []T {
	if n >= len(all) {
		return all
	}
	ordered := slices.SortedFunc(slices.Values(all), func(a, b T) int { return cmp.Compare(mix(hash(a)), mix(hash(b))) })
	return ordered[:max(n, 1)]
}

// mix is the finalizer of SplitMix64, which spreads each input bit over all output
// bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
