package steering

import (
	"cmp"
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"

	"github.com/cespare/xxhash/v2"
)

// Limits on the number of hosts in a response.
const (
	maxHostsPerDomain = 3
	maxHosts          = 8
)

// Prefix lengths of the default block of a client without a configured block.
const (
	defaultBlockBitsIPv4 = 24
	defaultBlockBitsIPv6 = 48
)

// Host is an entry host that a look-up may return.
type Host struct {
	Identity  host.Identity
	State     host.State
	FreeSlots map[string]int // by service
}

// View holds the data that look-ups use at one time. It is immutable and safe for
// concurrent use.
type View struct {
	Revision configuration.Revision
	table    *Table
	services map[string]bool
	domains  []string          // all failure domains, sorted by name
	regions  map[string]string // by failure domain
	drains   []configuration.Drain
	shifts   []Progress
	hosts    map[string][]Host // by failure domain
	self     host.Identity
}

// NewView creates a View. hosts includes self, the host that handles the look-ups.
func NewView(s *configuration.Snapshot, table *Table, self host.Identity, hosts []Host, shifts []Progress) *View {
	v := &View{
		Revision: s.Revision,
		table:    table,
		services: map[string]bool{},
		regions:  map[string]string{},
		drains:   s.Drains,
		shifts:   slices.Clone(shifts),
		hosts:    map[string][]Host{},
		self:     self,
	}
	for _, service := range s.Services {
		v.services[service.Name] = true
	}
	for _, domain := range s.FailureDomains {
		v.regions[domain.Name] = domain.Region
		v.domains = append(v.domains, domain.Name)
	}
	for _, h := range hosts {
		v.addHost(h)
	}
	slices.Sort(v.domains)
	slices.SortFunc(v.shifts, func(a, b Progress) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

func (v *View) addHost(h Host) {
	domain := h.Identity.FailureDomain
	if _, known := v.regions[domain]; !known {
		v.regions[domain] = h.Identity.Region
		v.domains = append(v.domains, domain)
	}
	v.hosts[domain] = append(v.hosts[domain], h)
}

// HasService reports whether the service is configured.
func (v *View) HasService(name string) bool { return v.services[name] }

// Lookup returns the entry hosts that the caller at client should use for
// service, in order of preference. The list is empty if no host is available.
func (v *View) Lookup(client netip.Addr, service string, now time.Time) []host.Identity {
	block, ok := v.table.Find(client)
	if !ok {
		block = v.defaultBlock(client)
	}
	key := blockHash(block.Prefix)
	hosts := make([]host.Identity, 0, maxHosts)
	for _, domain := range v.domainOrder(block.Domains, key) {
		if v.domainDrained(domain, now) {
			continue
		}
		hosts = v.appendHosts(hosts, domain, service, key, now)
		if len(hosts) == maxHosts {
			break
		}
	}
	return hosts
}

// defaultBlock returns the block of a client that no configured block covers. The
// caller reached this host, so this host's failure domain is assumed to be nearest.
func (v *View) defaultBlock(client netip.Addr) Block {
	client = client.Unmap()
	length := defaultBlockBitsIPv6
	if client.Is4() {
		length = defaultBlockBitsIPv4
	}
	prefix, err := client.Prefix(length)
	if err != nil {
		prefix = netip.Prefix{}
	}
	return Block{Prefix: prefix, Domains: []string{v.self.FailureDomain}}
}

// domainOrder returns all failure domains: the target of a shift that applies to
// the block, then those of the client block, then those in the region of the first,
// then the others.
func (v *View) domainOrder(nearest []string, key uint64) []string {
	order := make([]string, 0, len(v.domains)+1)
	if len(nearest) > 0 {
		if target := v.shiftTarget(nearest[0], key); target != "" {
			order = append(order, target)
		}
	}
	order = appendNew(order, nearest, func(string) bool { return true })
	if len(order) > 0 {
		region := v.regions[order[0]]
		order = appendNew(order, v.domains, func(domain string) bool { return v.regions[domain] == region })
	}
	return appendNew(order, v.domains, func(string) bool { return true })
}

// appendNew appends the accepted domains that order does not contain yet.
func appendNew(order, domains []string, accept func(string) bool) []string {
	for _, domain := range domains {
		if accept(domain) && !slices.Contains(order, domain) {
			order = append(order, domain)
		}
	}
	return order
}

// shiftTarget returns the failure domain to which a shift moves the block, or "".
func (v *View) shiftTarget(from string, key uint64) string {
	for i := range v.shifts {
		if v.shifts[i].From == from && v.shifts[i].Covers(shiftPosition(key, from)) {
			return v.shifts[i].To
		}
	}
	return ""
}

// shiftPosition maps a block to a number between 0 and 1 that is the same on all
// hosts. Positions for different failure domains are independent.
func shiftPosition(key uint64, domain string) float64 {
	return unitInterval(mixHashes(key, xxhash.Sum64String(domain)))
}

// rankedHost is a host with the values that rank it within its failure domain.
type rankedHost struct {
	identity host.Identity
	suspect  bool
	score    float64
}

// appendHosts appends the available hosts of a failure domain. Weighted rendezvous
// hashing of the block orders them, so that a block's callers use few hosts.
func (v *View) appendHosts(selected []host.Identity, domain, service string, key uint64, now time.Time) []host.Identity {
	ranked := make([]rankedHost, 0, len(v.hosts[domain]))
	for _, h := range v.hosts[domain] {
		if h.State == host.StateLeaving || h.State == host.StateGone || v.hostDrained(h.Identity, now) {
			continue
		}
		u := unitInterval(mixHashes(key, xxhash.Sum64String(string(h.Identity.ID))))
		score := -capacityWeight(h.FreeSlots[service]) / math.Log(u)
		ranked = append(ranked, rankedHost{h.Identity, h.State == host.StateSuspect, score})
	}
	slices.SortFunc(ranked, compareRankedHosts)
	for i := 0; i < min(len(ranked), maxHostsPerDomain) && len(selected) < maxHosts; i++ {
		selected = append(selected, ranked[i].identity)
	}
	return selected
}

// compareRankedHosts orders suspect hosts last, then by descending score.
func compareRankedHosts(a, b rankedHost) int {
	if a.suspect != b.suspect {
		if a.suspect {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.identity.ID, b.identity.ID))
}

// capacityWeight grows with the logarithm of the free slots, so that callers move
// to another host only when the difference between hosts is large.
func capacityWeight(free int) float64 { return 1 + float64(bits.Len(uint(max(0, free)))) }

func (v *View) domainDrained(domain string, now time.Time) bool {
	return slices.ContainsFunc(v.drains, func(d configuration.Drain) bool {
		if now.Before(d.Start) {
			return false
		}
		return d.Kind == configuration.DrainFailureDomain && d.Target == domain ||
			d.Kind == configuration.DrainRegion && d.Target == v.regions[domain]
	})
}

func (v *View) hostDrained(id host.Identity, now time.Time) bool {
	return slices.ContainsFunc(v.drains, func(d configuration.Drain) bool {
		return d.Kind == configuration.DrainHost && d.Target == string(id.ID) && !now.Before(d.Start)
	})
}

func blockHash(prefix netip.Prefix) uint64 {
	var data [17]byte
	address := prefix.Addr().As16()
	copy(data[:], address[:])
	data[16] = byte(prefix.Bits())
	return xxhash.Sum64(data[:])
}

// mixHashes combines two hashes into one.
func mixHashes(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 32)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to a number above 0 and below 1.
func unitInterval(hash uint64) float64 { return (float64(hash>>12) + 0.5) / (1 << 52) }
