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

// Bounds of an answer.
const (
	maxHostsPerDomain = 3
	maxHosts          = 8
)

// Prefix lengths that stand for a client block where none is configured.
const (
	defaultBlockBits4 = 24
	defaultBlockBits6 = 48
)

// Host is an entry host that an answer may name.
type Host struct {
	Identity  host.Identity
	State     host.State
	FreeSlots map[string]int // by service
}

// Picture is everything that a look-up is decided from. It is immutable.
type Picture struct {
	Revision configuration.Revision
	table    *Table
	services map[string]bool
	domains  []string // all failure domains, sorted by name
	regions  map[string]string
	drains   []configuration.Drain
	shifts   []Progress
	hosts    map[string][]Host // by failure domain
	self     host.Identity
}

// NewPicture assembles a picture. hosts includes the answering host.
func NewPicture(s *configuration.Snapshot, table *Table, self host.Identity, hosts []Host, shifts []Progress) *Picture {
	p := &Picture{
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
		p.services[service.Name] = true
	}
	for _, domain := range s.FailureDomains {
		p.regions[domain.Name] = domain.Region
		p.domains = append(p.domains, domain.Name)
	}
	for _, h := range hosts {
		p.addHost(h)
	}
	slices.Sort(p.domains)
	slices.SortFunc(p.shifts, func(a, b Progress) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

func (p *Picture) addHost(h Host) {
	domain := h.Identity.FailureDomain
	if _, known := p.regions[domain]; !known {
		p.regions[domain] = h.Identity.Region
		p.domains = append(p.domains, domain)
	}
	p.hosts[domain] = append(p.hosts[domain], h)
}

// HasService reports whether the service is configured.
func (p *Picture) HasService(name string) bool { return p.services[name] }

// Lookup returns the entry hosts that the caller at client should use for
// service, in order of preference.
func (p *Picture) Lookup(client netip.Addr, service string, now time.Time) []host.Identity {
	block, ok := p.table.Find(client)
	if !ok {
		block = p.defaultBlock(client)
	}
	key := blockHash(block.Prefix)
	answer := make([]host.Identity, 0, maxHosts)
	for _, domain := range p.domainOrder(block.Domains, key) {
		if p.domainDrained(domain, now) {
			continue
		}
		answer = p.appendHosts(answer, domain, service, key, now)
		if len(answer) == maxHosts {
			break
		}
	}
	return answer
}

// defaultBlock stands in for a client block that is not configured: the caller
// reached this host, so its failure domain is taken as the nearest.
func (p *Picture) defaultBlock(client netip.Addr) Block {
	client = client.Unmap()
	length := defaultBlockBits6
	if client.Is4() {
		length = defaultBlockBits4
	}
	prefix, err := client.Prefix(length)
	if err != nil {
		prefix = netip.Prefix{}
	}
	return Block{Prefix: prefix, Domains: []string{p.self.FailureDomain}}
}

// domainOrder returns all failure domains: those of the client block with shifts
// applied, then those in the region of the first, then the others.
func (p *Picture) domainOrder(nearest []string, key uint64) []string {
	order := make([]string, 0, len(p.domains)+1)
	if len(nearest) > 0 {
		if to := p.shifted(nearest[0], key); to != "" {
			order = append(order, to)
		}
	}
	order = appendNew(order, nearest, func(string) bool { return true })
	if len(order) > 0 {
		region := p.regions[order[0]]
		order = appendNew(order, p.domains, func(domain string) bool { return p.regions[domain] == region })
	}
	return appendNew(order, p.domains, func(string) bool { return true })
}

func appendNew(order, domains []string, accept func(string) bool) []string {
	for _, domain := range domains {
		if accept(domain) && !slices.Contains(order, domain) {
			order = append(order, domain)
		}
	}
	return order
}

// shifted returns the failure domain that a shift moves the block to, or "".
func (p *Picture) shifted(from string, key uint64) string {
	for i := range p.shifts {
		if p.shifts[i].From == from && p.shifts[i].Covers(position(key, from)) {
			return p.shifts[i].To
		}
	}
	return ""
}

// position maps a block to a number between 0 and 1 that is the same on all
// hosts and independent for each failure domain.
func position(key uint64, domain string) float64 {
	return unit(mix(key, xxhash.Sum64String(domain)))
}

// rankedHost is a host with its place within its failure domain.
type rankedHost struct {
	identity host.Identity
	suspect  bool
	score    float64
}

// appendHosts adds the hosts of a failure domain. A block keeps to few hosts:
// they are ordered by weighted rendezvous hashing of the block.
func (p *Picture) appendHosts(answer []host.Identity, domain, service string, key uint64, now time.Time) []host.Identity {
	ranked := make([]rankedHost, 0, len(p.hosts[domain]))
	for _, h := range p.hosts[domain] {
		if h.State == host.StateLeaving || h.State == host.StateGone || p.hostDrained(h.Identity, now) {
			continue
		}
		u := unit(mix(key, xxhash.Sum64String(string(h.Identity.ID))))
		score := -weight(h.FreeSlots[service]) / math.Log(u)
		ranked = append(ranked, rankedHost{h.Identity, h.State == host.StateSuspect, score})
	}
	slices.SortFunc(ranked, compareRanked)
	for i := 0; i < min(len(ranked), maxHostsPerDomain) && len(answer) < maxHosts; i++ {
		answer = append(answer, ranked[i].identity)
	}
	return answer
}

func compareRanked(a, b rankedHost) int {
	if a.suspect != b.suspect {
		if a.suspect {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.identity.ID, b.identity.ID))
}

// weight grows with the logarithm of the free slots, so that callers move only
// when the difference between hosts is large.
func weight(free int) float64 { return 1 + float64(bits.Len(uint(max(0, free)))) }

func (p *Picture) domainDrained(domain string, now time.Time) bool {
	return slices.ContainsFunc(p.drains, func(d configuration.Drain) bool {
		if now.Before(d.Start) {
			return false
		}
		return d.Kind == configuration.DrainFailureDomain && d.Target == domain ||
			d.Kind == configuration.DrainRegion && d.Target == p.regions[domain]
	})
}

func (p *Picture) hostDrained(id host.Identity, now time.Time) bool {
	return slices.ContainsFunc(p.drains, func(d configuration.Drain) bool {
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

// mix combines two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 32)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to a number above 0 and below 1.
func unit(hash uint64) float64 { return (float64(hash>>12) + 0.5) / (1 << 52) }
