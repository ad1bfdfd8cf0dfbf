package gateway

import (
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/placement"
	"peridotrail/internal/registration"
	"peridotrail/internal/routing"
)

// state is what the host believes of the deployment. It is the replica's handler;
// requests read the table and the hosts without a lock.
type state struct {
	settings *liveSettings
	schema   Schema
	logger   log.Logger
	pool     *placement.Pool
	limits   *limits
	// onUpstreams is called with the upstreams that are known, after each change.
	onUpstreams func([]catalog.Upstream)
	// onHosts is called with all hosts that are known, after each change.
	onHosts func([]catalog.Host)

	table atomic.Pointer[routing.Table]
	hosts atomic.Pointer[[]catalog.Host]
	// upstreamNames are the IDs of the upstreams by their hash in messages.
	upstreamNames atomic.Pointer[map[uint32]string]

	mu        sync.Mutex // guards the fields below
	upstreams *catalog.Set[catalog.Upstream]
	members   *catalog.Set[catalog.Host]
	evacuated map[string]bool
}

func newState(settings *liveSettings, schema Schema, logger log.Logger, limits *limits) *state {
	s := &state{
		settings:  settings,
		schema:    schema,
		logger:    logger,
		limits:    limits,
		upstreams: catalog.NewSet[catalog.Upstream](),
		members:   catalog.NewSet[catalog.Host](),
		evacuated: map[string]bool{},
		onHosts:   func([]catalog.Host) {},
	}
	s.hosts.Store(&[]catalog.Host{})
	s.upstreamNames.Store(&map[uint32]string{})
	initial := settings.get()
	s.pool = placement.NewPool(placement.Settings{
		FailureDomain:   initial.FailureDomain,
		Region:          initial.Region,
		Regions:         initial.Regions,
		LateScore:       lateCredit,
		CrossDomainCost: crossDomain,
		CrossRegionCost: crossRegion,
		RegionRoundTrip: regionRoundTrip,
		MaxShift:        initial.MaxShift * shiftPart,
		ColdRateLimit:   s.coldBound,
		ColdStart:       s.coldStart,
	})
	return s
}

// coldBound is this host's part of what a cold upstream bears, shared among the
// hosts of the region.
func (s *state) coldBound(service string) float64 {
	table := s.table.Load()
	if table == nil {
		return 1
	}
	known := table.Service(service)
	if known == nil || known.ColdRate <= 0 {
		return 0
	}
	sharers := 0
	for _, host := range *s.hosts.Load() {
		if host.Region == s.settings.get().Region {
			sharers++
		}
	}
	return (known.ColdRate*s.settings.get().ColdExcess + s.settings.get().ColdSlack) * fairPart / float64(max(sharers, 1))
}

// coldStart is how long an upstream of a service is cold after its start.
func (s *state) coldStart(service string) time.Duration {
	if table := s.table.Load(); table != nil {
		if known := table.Service(service); known != nil {
			return known.ColdStart
		}
	}
	return 0
}

// Reset implements replica.Handler.
func (s *state) Reset(entries []kvstore.Entry, recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if recovered {
		s.outageEnded(now)
	}
	present := make(map[string]bool, len(entries))
	members := map[string]bool{}
	s.evacuated = map[string]bool{}
	for _, entry := range entries {
		s.apply(entry, now)
		if kind, id := s.schema.Classify(entry.Key); kind == ItemUpstream {
			present[id] = true
		}
		if key, ok := strings.CutPrefix(entry.Key, registration.Prefix); ok {
			members[key] = true
		}
	}
	s.upstreams.Retain(present, now)
	s.members.Retain(members, now)
	s.publish()
}

// Apply implements replica.Handler.
func (s *state) Apply(entries []kvstore.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	for _, entry := range entries {
		s.apply(entry, now)
	}
	s.publish()
}

// StoreLost implements replica.Handler.
func (s *state) StoreLost(error) {}

// StoreRegained implements replica.Handler.
func (s *state) StoreRegained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageEnded(boottime.Now())
}

func (s *state) outageEnded(now boottime.Instant) {
	s.upstreams.OutageEnded(now)
	s.members.OutageEnded(now)
}

// expire drops members whose entries did not come back after an outage.
func (s *state) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	gone := append(s.upstreams.Expire(now), s.members.Expire(now)...)
	if len(gone) == 0 {
		return
	}
	_ = level.Info(s.logger).Log("event", "entries absent after outage", "ids", strings.Join(gone, " "))
	s.publish()
}

// apply takes one entry. The caller holds mu.
func (s *state) apply(entry kvstore.Entry, now boottime.Instant) {
	if key, ok := strings.CutPrefix(entry.Key, registration.Prefix); ok {
		s.applyHost(key, entry, now)
		return
	}
	switch kind, id := s.schema.Classify(entry.Key); kind {
	case ItemPolicy:
		s.applyPolicy(entry)
	case ItemUpstream:
		s.applyUpstream(id, entry, now)
	case ItemEvacuation:
		if entry.Exists() {
			s.evacuated[id] = true
		} else {
			delete(s.evacuated, id)
		}
		_ = level.Info(s.logger).Log("event", "evacuation", "domain", id, "active", entry.Exists(), "revision", entry.Revision)
	case ItemOther:
	}
}

func (s *state) applyPolicy(entry kvstore.Entry) {
	if !entry.Exists() {
		return // a policy once in force stays until the next one
	}
	document, err := s.schema.Policy(entry.Value)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "policy rejected", "revision", entry.Revision, "err", err)
		return
	}
	if current := s.table.Load(); current != nil && document.Version <= current.Version() {
		return
	}
	table, err := routing.NewTable(document)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "policy rejected", "revision", entry.Revision, "err", err)
		return
	}
	s.table.Store(table)
	_ = level.Info(s.logger).Log("event", "policy in force", "version", document.Version, "revision", entry.Revision, "routes", len(document.Routes))
}

func (s *state) applyUpstream(id string, entry kvstore.Entry, now boottime.Instant) {
	if !entry.Exists() {
		s.upstreams.Remove(id, now)
		_ = level.Info(s.logger).Log("event", "upstream gone", "upstream", id)
		return
	}
	upstream, err := s.schema.Upstream(id, entry.Value, now)
	if err != nil {
		s.upstreams.Remove(id, now)
		_ = level.Warn(s.logger).Log("event", "upstream entry rejected", "upstream", id, "revision", entry.Revision, "err", err)
		return
	}
	s.upstreams.Put(id, upstream)
	_ = level.Info(s.logger).Log("event", "upstream", "upstream", id, "service", upstream.Service, "domain", upstream.FailureDomain, "draining", upstream.Draining, "revision", entry.Revision)
}

func (s *state) applyHost(key string, entry kvstore.Entry, now boottime.Instant) {
	if !entry.Exists() {
		s.members.Remove(key, now)
		return
	}
	var host catalog.Host
	if err := json.Unmarshal(entry.Value, &host); err != nil || host.Entry == "" {
		_ = level.Warn(s.logger).Log("event", "host entry rejected", "key", key, "err", err)
		return
	}
	s.members.Put(key, host)
}

// republish divides the limits anew under changed settings.
func (s *state) republish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish()
}

// publish makes the picture visible to requests. The caller holds mu.
func (s *state) publish() {
	upstreams := s.upstreams.All()
	s.pool.SetUpstreams(upstreams, cloneSet(s.evacuated))
	s.onUpstreams(upstreams)
	names := make(map[uint32]string, len(upstreams))
	for _, u := range upstreams {
		names[loadHash(u.ID)] = u.ID
	}
	s.upstreamNames.Store(&names)
	hosts := distinct(s.members.All())
	s.hosts.Store(&hosts)
	s.onHosts(hosts)
	s.limits.update(s.table.Load(), hosts, boottime.Now())
}

// watchHosts sets the receiver of the hosts that are known.
func (s *state) watchHosts(f func([]catalog.Host)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onHosts = f
}
