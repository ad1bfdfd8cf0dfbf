package configuration

import (
	"encoding/hex"
	"slices"
	"strings"
)

// KeyDigest is the SHA-256 of a key.
type KeyDigest [32]byte

// keyRecord is the key to which a digest belongs.
type keyRecord struct {
	account   string
	id        string
	withdrawn bool
}

// serviceInDomain is the index key of the upstreams of a service in a failure
// domain.
type serviceInDomain struct {
	service string
	domain  string
}

// Snapshot is one revision of the configuration with indexes for look-ups. It is
// immutable and safe for concurrent use. Callers must not modify anything that a
// method returns.
type Snapshot struct {
	Revision Revision
	Digest   Digest
	*Configuration

	accounts        map[string]*ClientAccount
	services        map[string]*Service
	domains         map[string]*FailureDomain
	regions         map[string]*Region
	upstreams       map[string]*Upstream
	byService       map[string][]*Upstream
	byDomainService map[serviceInDomain][]*Upstream
	keys            map[KeyDigest]keyRecord
	routes          map[string][]*Route // by service, longest prefix first
}

// NewSnapshot returns a snapshot of c, which must be valid and must not be modified
// afterwards.
func NewSnapshot(revision Revision, c *Configuration) *Snapshot {
	return newSnapshot(revision, c, DigestOf(c))
}

func newSnapshot(revision Revision, c *Configuration, digest Digest) *Snapshot {
	s := &Snapshot{
		Revision:        revision,
		Digest:          digest,
		Configuration:   c,
		accounts:        indexBy(c.ClientAccounts, func(a *ClientAccount) string { return a.Name }),
		services:        indexBy(c.Services, func(s *Service) string { return s.Name }),
		domains:         indexBy(c.FailureDomains, func(d *FailureDomain) string { return d.Name }),
		regions:         indexBy(c.Regions, func(r *Region) string { return r.Name }),
		upstreams:       indexBy(c.Upstreams, func(u *Upstream) string { return u.Name }),
		byService:       map[string][]*Upstream{},
		byDomainService: map[serviceInDomain][]*Upstream{},
		keys:            indexKeys(c),
		routes:          indexRoutes(c.Routes),
	}
	for i := range c.Upstreams {
		upstream := &c.Upstreams[i]
		key := serviceInDomain{upstream.Service, upstream.FailureDomain}
		s.byService[upstream.Service] = append(s.byService[upstream.Service], upstream)
		s.byDomainService[key] = append(s.byDomainService[key], upstream)
	}
	return s
}

func indexBy[T any](elements []T, name func(*T) string) map[string]*T {
	index := make(map[string]*T, len(elements))
	for i := range elements {
		index[name(&elements[i])] = &elements[i]
	}
	return index
}

func indexKeys(c *Configuration) map[KeyDigest]keyRecord {
	withdrawn := make(map[WithdrawnKey]bool, len(c.WithdrawnKeys))
	for _, key := range c.WithdrawnKeys {
		withdrawn[key] = true
	}
	keys := map[KeyDigest]keyRecord{}
	for _, key := range c.allKeys() {
		digest, ok := parseKeyDigest(key.Digest)
		if !ok {
			continue // validation rejects such keys
		}
		keys[digest] = keyRecord{
			account:   key.Account,
			id:        key.ID,
			withdrawn: withdrawn[WithdrawnKey{Account: key.Account, Key: key.ID}],
		}
	}
	return keys
}

func parseKeyDigest(text string) (digest KeyDigest, ok bool) {
	n, err := hex.Decode(digest[:], []byte(text[:min(len(text), 2*len(digest))]))
	return digest, err == nil && n == len(digest)
}

func indexRoutes(all []Route) map[string][]*Route {
	routes := map[string][]*Route{}
	for i := range all {
		route := &all[i]
		routes[route.Service] = append(routes[route.Service], route)
	}
	for _, serviceRoutes := range routes {
		slices.SortStableFunc(serviceRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return routes
}

// Account returns the client account with the given name, or nil.
func (s *Snapshot) Account(name string) *ClientAccount { return s.accounts[name] }

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Domain returns the failure domain with the given name, or nil.
func (s *Snapshot) Domain(name string) *FailureDomain { return s.domains[name] }

// Region returns the region with the given name, or nil.
func (s *Snapshot) Region(name string) *Region { return s.regions[name] }

// Upstream returns the upstream with the given name, or nil.
func (s *Snapshot) Upstream(name string) *Upstream { return s.upstreams[name] }

// UpstreamsOf returns all upstreams of a service.
func (s *Snapshot) UpstreamsOf(service string) []*Upstream { return s.byService[service] }

// UpstreamsIn returns the upstreams of a service in one failure domain.
func (s *Snapshot) UpstreamsIn(service, domain string) []*Upstream {
	return s.byDomainService[serviceInDomain{service, domain}]
}

// KeyOwner returns the client account and the ID of the key with the given digest.
// ok is false if the key is unknown or withdrawn.
func (s *Snapshot) KeyOwner(digest [32]byte) (account, keyID string, ok bool) {
	entry, known := s.keys[digest]
	if !known || entry.withdrawn {
		return "", "", false
	}
	return entry.account, entry.id, true
}

// KeyWithdrawn reports whether the key with the given digest is withdrawn.
func (s *Snapshot) KeyWithdrawn(digest [32]byte) bool {
	return s.keys[digest].withdrawn
}

// Route returns the route of a service with the longest prefix that matches path,
// or nil. A prefix that does not end in "/" matches whole segments only: "/a"
// matches "/a" and "/a/b" but not "/ab".
func (s *Snapshot) Route(service, path string) *Route {
	for _, route := range s.routes[service] {
		if hasPathPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// EffectiveWeight returns the weight of the account, or 1 if it is not set.
func (a *ClientAccount) EffectiveWeight() int { return max(a.Weight, 1) }
