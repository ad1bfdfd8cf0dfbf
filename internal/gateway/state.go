package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/crashguard"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/leasedshare"
	"peridotrail/internal/placement"
	"peridotrail/internal/registration"
	"peridotrail/internal/routing"
)

// state is this host's view of the deployment, built from the entries of the store.
// It implements replica.Handler. Requests read the table and the hosts without a
// lock.
type state struct {
	settings *liveSettings
	schema   Schema
	logger   log.Logger
	clock    boottime.Clock
	pool     *placement.Pool
	limits   *limits
	shares   *leasedshare.Holder
	crashes  *crashguard.Table
	// storeDoubted reports whether the store may not respond to this host, whose view then comes from
	// another host or not at all. It is set before the replica runs.
	storeDoubted func() bool
	// onUpstreams is called with all known upstreams after each change.
	onUpstreams func([]catalog.Upstream)
	// onPolicy is called with each policy before it is in force.
	onPolicy func(*routing.Table)
	// onHosts is called with all known hosts after each change. It is guarded by mu.
	onHosts func([]catalog.Host)

	table atomic.Pointer[routing.Table] // nil before the first policy
	hosts atomic.Pointer[[]catalog.Host]
	// regionHosts is the number of known hosts of this host's region, and allHosts of all regions.
	regionHosts, allHosts atomic.Int64
	// upstreamList holds the registered upstreams.
	upstreamList atomic.Pointer[[]catalog.Upstream]
	// upstreamNames holds the IDs of the upstreams by their hash in load reports.
	upstreamNames atomic.Pointer[map[uint32]string]

	// restoringUntil is the boottime.Instant until which hosts write again what the store
	// has lost.
	restoringUntil atomic.Int64

	versions versionCheck // begin and update are called with mu held

	mu          sync.Mutex // guards the fields below
	upstreams   *catalog.Set[catalog.Upstream]
	hostMembers *catalog.Set[catalog.Host]
	held        map[string]*heldHost // by key, of hostMembers whose entries are absent
	evacuated   map[string]bool      // by failure domain
	// policyUnread tells that the store's policy can't be decoded, so that its version is not
	// known here. Hosts of another build may have it in force.
	policyUnread bool
	loaded       bool        // entries were read
	era          kvstore.Era // of the store's entries
	departures   *catalog.Departures
	// keptEvacuations holds evacuations that the store has lost, with the instant at which
	// they end unless they are written again.
	keptEvacuations map[string]boottime.Instant
}

func newState(settings *liveSettings, schema Schema, logger log.Logger, limits *limits, clock boottime.Clock, viewProof func() boottime.Instant) *state {
	s := &state{
		settings:    settings,
		schema:      schema,
		logger:      logger,
		clock:       clock,
		limits:      limits,
		shares:      limits.shares,
		crashes:     crashguard.NewTable(settings.get().Host),
		upstreams:   catalog.NewSet[catalog.Upstream](),
		hostMembers: catalog.NewSet[catalog.Host](),
		held:        map[string]*heldHost{},
		evacuated:   map[string]bool{},
		departures:  catalog.NewDepartures(),

		keptEvacuations: map[string]boottime.Instant{},

		onHosts:  func([]catalog.Host) {},
		onPolicy: func(*routing.Table) {},

		storeDoubted: func() bool { return false },
	}
	s.hosts.Store(&[]catalog.Host{})
	s.upstreamNames.Store(&map[uint32]string{})
	s.upstreamList.Store(&[]catalog.Upstream{})
	initial := settings.get()
	s.versions.self, s.versions.logger = initial.Host, logger
	s.pool = placement.NewPool(placement.Settings{
		Host:             initial.Host,
		FailureDomain:    initial.FailureDomain,
		Region:           initial.Region,
		Regions:          func(domain string) string { return settings.get().Regions[domain] },
		LateScore:        lateScore,
		CrossDomainCost:  crossDomainCost,
		CrossRegionCost:  crossRegionCost,
		RegionRoundTrip:  regionRoundTrip,
		MaxShift:         initial.MaxShift * maxShiftFraction,
		ColdLimit:        s.coldLimit,
		LimitUnits:       s.limitUnits,
		LimitRecordDelay: s.limitRecordDelay,
		ViewProof:        viewProof,
		HostCounts:       func() (region, all int) { return int(s.regionHosts.Load()), int(s.allHosts.Load()) },
		ColdStart:        s.coldStart,
	})
	return s
}

// coldLimit returns how many requests this host may send to a cold upstream within one
// second: the units of the upstream's limit that belong to the shares that this host
// holds. limited is false if the policy sets no limit.
func (s *state) coldLimit(u catalog.Upstream, now boottime.Instant) (requests int, limited bool) {
	table := s.table.Load()
	if table == nil {
		return 0, true
	}
	serviceConfig := table.Service(u.Service)
	if serviceConfig == nil || serviceConfig.ColdRate <= 0 {
		return 0, false
	}
	settings := s.settings.get()
	units := int((serviceConfig.ColdRate*settings.ColdExcess + settings.ColdSlack) * sharedLimitFraction)
	return s.shares.Usable(u.FailureDomain, coldLimitWindow, now).Units(units, xxhash.Sum64String(u.ID)), true
}

// currentUpstreams returns the registered upstreams. The caller must not modify the slice.
func (s *state) currentUpstreams() []catalog.Upstream { return *s.upstreamList.Load() }

// hostCounts returns how many hosts this host knows, in all and in its region.
func (s *state) hostCounts() (all, region int) {
	hosts := *s.hosts.Load()
	for _, host := range hosts {
		if host.Region == s.settings.get().Region {
			region++
		}
	}
	return len(hosts), region
}

// coldStart returns how long an upstream of a service is cold after its start.
func (s *state) coldStart(service string) time.Duration {
	if table := s.table.Load(); table != nil {
		if serviceConfig := table.Service(service); serviceConfig != nil {
			return serviceConfig.ColdStart
		}
	}
	return 0
}

// Reset implements replica.Handler. In a new era the store may have lost what this host has
// seen; it is kept until it is written again, for a limited time.
func (s *state) Reset(entries []kvstore.Entry, at kvstore.Revision, recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.versions.begin(at.Era, now)
	newEra := s.loaded && at.Era != s.era
	if recovered || newEra {
		s.outageEnded(now)
	}
	if newEra {
		s.departures.EraBegan(now)
	}
	s.resetCrashes(entries, at.Era, now) // before a policy is in force, from which on requests are served
	presentUpstreams := make(map[string]bool, len(entries))
	presentHosts := map[string]bool{}
	s.resetEvacuations(newEra, now)
	for _, entry := range entries {
		s.apply(entry, newEra, now)
		if kind, id := s.schema.Classify(entry.Key); kind == ItemUpstream {
			presentUpstreams[id] = true
		}
		if key, ok := strings.CutPrefix(entry.Key, registration.Prefix); ok {
			presentHosts[key] = true
		}
	}
	s.shares.Reset(entries, at.Era, now)
	s.resetLimits(entries, newEra, now)
	s.departures.Present(presentUpstreams)
	for _, gone := range s.upstreams.Retain(presentUpstreams, now) {
		s.departures.Gone(gone, now)
	}
	s.hostMembers.Retain(presentHosts, now)
	if newEra {
		s.restoringUntil.Store(int64(now.Add(restoreTime)))
	}
	s.era, s.loaded = at.Era, true
	s.publish()
}

// Apply implements replica.Handler.
func (s *state) Apply(entries []kvstore.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.holdHosts(now)
	for _, entry := range entries {
		s.apply(entry, false, now)
		s.shares.Apply(entry, now)
		if strings.HasPrefix(entry.Key, crashguard.Prefix) {
			s.applyCrash(entry, now)
		}
		if id, ok := strings.CutPrefix(entry.Key, limitPrefix); ok {
			s.pool.SetStoredLimit(id, s.readLimit(id, entry), now)
		}
	}
	s.publish()
}

// StoreLost implements replica.Handler.
func (s *state) StoreLost(error) {}

// StoreRegained implements replica.Handler.
func (s *state) StoreRegained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageEnded(s.clock())
}

// outageEnded records the end of an outage of the store. The caller holds mu.
func (s *state) outageEnded(now boottime.Instant) {
	s.upstreams.OutageEnded(now)
	s.hostMembers.OutageEnded(now)
}

// expireAbsent removes upstreams and hosts whose entries did not reappear after an
// outage of the store.
func (s *state) expireAbsent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.holdHosts(now)
	changed := s.endRetention(now)
	var expired []string
	for _, gone := range s.upstreams.Expire(now) {
		s.departures.Gone(gone, now)
		expired = append(expired, gone.ID)
	}
	for _, gone := range s.hostMembers.Expire(now) {
		expired = append(expired, gone.Name)
	}
	if len(expired) > 0 {
		_ = level.Info(s.logger).Log("event", "entries absent after outage", "ids", strings.Join(expired, " "))
	}
	s.checkVersions(s.hostMembers.All())
	if changed || len(expired) > 0 {
		s.publish()
	}
}

// apply applies the change of one entry. newEra tells that it is one of those that the store
// has in a new era. The caller holds mu.
func (s *state) apply(entry kvstore.Entry, newEra bool, now boottime.Instant) {
	if key, ok := strings.CutPrefix(entry.Key, registration.Prefix); ok {
		s.applyHost(key, entry, now)
		return
	}
	switch kind, id := s.schema.Classify(entry.Key); kind {
	case ItemPolicy:
		s.applyPolicy(entry)
	case ItemUpstream:
		s.applyUpstream(id, entry, newEra, now)
	case ItemEvacuation:
		delete(s.keptEvacuations, id)
		if entry.Exists() {
			s.evacuated[id] = true
		} else {
			delete(s.evacuated, id)
		}
		_ = level.Info(s.logger).Log("event", "evacuation", "domain", id, "active", entry.Exists(), "revision", entry.Revision)
	case ItemOther:
	}
}

// applyPolicy puts a policy in force if it is valid and newer than the current one.
// The caller holds mu.
func (s *state) applyPolicy(entry kvstore.Entry) {
	if !entry.Exists() {
		return // a deleted policy stays in force until the next one
	}
	document, err := s.schema.Policy(entry.Value)
	s.policyUnread = err != nil
	if err != nil {
		_ = level.Error(s.logger).Log("event", "policy rejected", "revision", entry.Revision, "err", err)
		return
	}
	current := s.table.Load()
	if current != nil && document.Version <= current.Version() {
		_ = level.Info(s.logger).Log("event", "policy ignored", "version", document.Version, "in_force", current.Version(), "revision", entry.Revision)
		return
	}
	table := routing.NewTable(document)
	for _, problem := range table.Problems() {
		_ = level.Warn(s.logger).Log("event", "policy entry not applied", "version", problem.Version, "item", problem.Item, "detail", problem.Reason, "revision", entry.Revision)
	}
	if current != nil {
		table.Follow(current)
	}
	s.onPolicy(table)
	s.table.Store(table)
	_ = level.Info(s.logger).Log("event", "policy in force", "version", document.Version, "revision", entry.Revision, "routes", len(document.Routes))
}

// applyUpstream adds, replaces or removes an upstream. An entry that can't be decoded
// removes it. The caller holds mu.
func (s *state) applyUpstream(id string, entry kvstore.Entry, newEra bool, now boottime.Instant) {
	if !entry.Exists() {
		s.departures.Removed(id)
		s.removeUpstream(id, now)
		_ = level.Info(s.logger).Log("event", "upstream gone", "upstream", id)
		return
	}
	upstream, err := s.schema.Upstream(id, entry.Value, now)
	if err != nil {
		s.departures.Removed(id)
		s.removeUpstream(id, now)
		_ = level.Warn(s.logger).Log("event", "upstream entry rejected", "upstream", id, "revision", entry.Revision, "err", err)
		return
	}
	upstream, counts := s.reconcileUpstream(upstream, entry.Revision, newEra, now)
	if !counts {
		return
	}
	s.upstreams.Put(id, upstream)
	_ = level.Info(s.logger).Log("event", "upstream", "upstream", id, "service", upstream.Service, "domain", upstream.FailureDomain, "draining", upstream.Draining,
		"cold_ms", max(0, upstream.ColdUntil.Sub(now)).Milliseconds(), "revision", entry.Revision)
}

// applyHost adds, replaces or removes a host. An entry that can't be decoded is
// ignored. The caller holds mu.
func (s *state) applyHost(key string, entry kvstore.Entry, now boottime.Instant) {
	if !entry.Exists() {
		s.hostMembers.Remove(key, now)
		return
	}
	var host catalog.Host
	if err := json.Unmarshal(entry.Value, &host); err != nil || host.EntryAddress == "" {
		_ = level.Warn(s.logger).Log("event", "host entry rejected", "key", key, "err", err)
		return
	}
	s.hostMembers.Put(key, host)
}

// republish publishes the view again after the settings changed.
func (s *state) republish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish()
}

// publish makes the current view visible to requests. The caller holds mu.
func (s *state) publish() {
	upstreams := s.upstreams.All()
	s.pool.SetUpstreams(upstreams, s.evacuatedDomains(), s.clock())
	s.onUpstreams(upstreams)
	names := make(map[uint32]string, len(upstreams))
	for _, u := range upstreams {
		names[loadHash(u.ID)] = u.ID
	}
	s.upstreamNames.Store(&names)
	s.upstreamList.Store(&upstreams)
	s.checkVersions(s.hostMembers.All())
	hosts := inRegions(newestIncarnations(s.servingHosts(s.clock())), s.settings.get().Regions)
	s.hosts.Store(&hosts)
	all, region := s.hostCounts()
	s.regionHosts.Store(int64(region))
	s.allHosts.Store(int64(all))
	s.shares.SetHosts(hosts, s.clock())
	s.onHosts(hosts)
	s.limits.update(s.table.Load(), hosts)
}

// setOnHosts sets the function that is called with all known hosts after each
// change.
func (s *state) setOnHosts(f func([]catalog.Host)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onHosts = f
}

// policyVersion returns the version of the policy in force, zero if there is none.
func (s *state) policyVersion() routing.Version {
	if table := s.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// checkVersions compares the version in force with those of the registered hosts. The caller
// holds mu.
func (s *state) checkVersions(registered []catalog.Host) {
	inForce := s.policyVersion()
	if s.policyUnread {
		registered = slices.Clone(registered)
		for i := range registered {
			registered[i].PolicyVersion = min(registered[i].PolicyVersion, uint64(inForce))
		}
	}
	s.versions.update(registered, s.era, inForce, s.clock())
}

// keysOutdated returns why the keys of the policy in force may be revoked although the store
// has no newer policy, empty if nothing is known.
func (s *state) keysOutdated(now boottime.Instant) string {
	return s.versions.outdated(s.policyVersion(), now)
}
