package allotment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// LeaseTimes are the time limits for shares that a domain leader grants.
type LeaseTimes struct {
	Lease    time.Duration // of a share, from when the host sent its renewal request
	Margin   time.Duration // added by the leader to allow for clock differences
	Deadline time.Duration // largest request deadline; slots may stay in use for this long after a lease
}

// reclaimDelay returns how long a holder must be silent before its share of r has
// certainly expired.
func (t LeaseTimes) reclaimDelay(r Resource) time.Duration {
	if _, upstream := r.Upstream(); upstream {
		return t.Lease + t.Margin + t.Deadline
	}
	return t.Lease + t.Margin
}

// sweepInterval is the time between divisions of all resources, which reallocate
// expired shares of silent holders.
const sweepInterval = 3 * time.Second

// Hysteresis of a host's share: smaller changes are not made.
const (
	resizeFraction = 0.2  // of the current share
	resizeMinimum  = 0.01 // of the limit
)

// DomainAllotment divides the resources of a failure domain among its hosts. It
// holds the state of the domain leader for one leadership epoch.
//
// The sum of the live shares of a resource never exceeds its limit. A share is live
// until its holder has confirmed that it ended or its lease has certainly expired.
type DomainAllotment struct {
	epoch           uint64
	times           LeaseTimes
	startedAt       time.Time
	previousKnown   bool                   // SetPreviousHolders was called
	previousHolders map[holderKey]struct{} // holders under previous leaders that have not reported to this one yet
	sequence        uint64                 // newest grant to any holder; shared by all, so that a returning holder sees no sequence twice
	holders         map[holderKey]*holder
	limits          map[Resource]Share
	floors          map[Resource]Share    // the part of the domain's share that does not expire
	domainShares    map[Resource]Share    // the domain's share
	overAllocated   map[Resource]struct{} // accounts whose live shares may exceed the domain's share
	inherited       map[Resource]Share    // sum of the shares that hosts reported as granted by previous leaders
	fenced          map[Resource]struct{} // previous leaders can no longer change the domain's share
	dirty           map[Resource]struct{} // to be divided by the next Divide
	lastSweep       time.Time             // last division of all resources
	extraUntil      time.Time             // end of the lease of the shares above the floors
	mayExceedFloor  bool                  // the live shares of some account may exceed its floor
	mutations       mutations
}

// NewDomainAllotment returns the state of a leader that starts now. Shares that no
// host reports are allocated only once those of previous leaders have expired.
func NewDomainAllotment(now time.Time, epoch uint64, times LeaseTimes) *DomainAllotment {
	return &DomainAllotment{
		epoch:         epoch,
		times:         times,
		startedAt:     now,
		holders:       map[holderKey]*holder{},
		limits:        map[Resource]Share{},
		floors:        map[Resource]Share{},
		domainShares:  map[Resource]Share{},
		overAllocated: map[Resource]struct{}{},
		inherited:     map[Resource]Share{},
		fenced:        map[Resource]struct{}{},
		dirty:         map[Resource]struct{}{},
	}
}

// Epoch returns the leadership epoch.
func (d *DomainAllotment) Epoch() uint64 { return d.epoch }

// SetPreviousHolders sets the processes that held shares when this leadership began.
// Once all of them have reported, or their leases have expired, the leader may
// allocate the full limits. Calls after the first have no effect.
func (d *DomainAllotment) SetPreviousHolders(holders []HolderProcess) {
	if d.previousKnown {
		return
	}
	d.previousKnown = true
	d.previousHolders = map[holderKey]struct{}{}
	for _, p := range holders {
		key := holderKey{id: p.Host, incarnation: p.Incarnation}
		if d.holders[key] == nil {
			d.previousHolders[key] = struct{}{}
		}
	}
}

// RaiseDeadline raises the largest request deadline. It never lowers it.
func (d *DomainAllotment) RaiseDeadline(t time.Duration) { d.times.Deadline = max(d.times.Deadline, t) }

// Recovered reports whether all shares of r that previous leaders granted have been
// reported or have expired, and no previous leader can grant more.
func (d *DomainAllotment) Recovered(now time.Time, r Resource) bool {
	if d.mutations.skipRecoveryWait {
		return true
	}
	_, fenced := d.fenced[r]
	reported := d.previousKnown && len(d.previousHolders) == 0
	return fenced && (reported || now.Sub(d.startedAt) >= d.times.reclaimDelay(r))
}

// Fence records that previous leaders can no longer change the domain's share of r.
// Until then only the reported shares are allocated.
func (d *DomainAllotment) Fence(r Resource) {
	if _, fenced := d.fenced[r]; !fenced {
		d.fenced[r] = struct{}{}
		d.dirty[r] = struct{}{}
	}
}

// SetLimit sets the limit for the use of a resource by all hosts of the domain.
// DomainShare is the share that the domain has now; the part of it above floor may
// be used until the time given to SetExtraUntil. The next Divide reduces shares to a
// smaller limit; it is in effect once InEffect returns true.
func (d *DomainAllotment) SetLimit(r Resource, limit, domainShare, floor Share) {
	if limit != d.limits[r] || floor != d.floors[r] {
		d.dirty[r] = struct{}{}
	}
	if _, account := r.Account(); account && !d.domainShares[r].Within(domainShare) {
		d.overAllocated[r] = struct{}{}
		d.dirty[r] = struct{}{}
	}
	d.mayExceedFloor = d.mayExceedFloor || !d.floors[r].Within(floor)
	setOrDelete(d.limits, r, limit)
	setOrDelete(d.domainShares, r, domainShare)
	setOrDelete(d.floors, r, floor)
}

func setOrDelete(shares map[Resource]Share, r Resource, share Share) {
	if share.IsZero() {
		delete(shares, r)
		return
	}
	shares[r] = share
}

// SetExtraUntil extends the lease of the shares above the floors. Earlier times than
// the current one are ignored.
func (d *DomainAllotment) SetExtraUntil(until time.Time) {
	if until.After(d.extraUntil) {
		d.extraUntil = until
	}
}

// Limit returns the limit for the use of a resource by the domain.
func (d *DomainAllotment) Limit(r Resource) Share { return d.limits[r] }

// Resources returns all resources that have a limit or a live share, sorted.
func (d *DomainAllotment) Resources() []Resource {
	set := maps.Clone(d.limits)
	for _, h := range d.holders {
		for r, s := range h.shares {
			if !s.live().IsZero() {
				set[r] = Share{}
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// InEffect reports whether it is certain that the hosts use no more of a resource
// than limit.
func (d *DomainAllotment) InEffect(now time.Time, r Resource, limit Share) bool {
	return d.Recovered(now, r) && d.live(now, r).Within(limit)
}

// live returns the largest amount that the known holders may be using.
func (d *DomainAllotment) live(now time.Time, r Resource) Share {
	var live Share
	for _, h := range d.holders {
		if s := h.shares[r]; s != nil && !d.shareExpired(now, h, r) {
			live = live.Plus(s.live())
		}
	}
	return live
}

// shareExpired reports whether the holder's share of r has certainly expired.
func (d *DomainAllotment) shareExpired(now time.Time, h *holder, r Resource) bool {
	silence := now.Sub(h.lastSeen)
	if d.mutations.reclaimWithoutWait {
		return silence >= d.times.Lease/2
	}
	return silence >= d.times.reclaimDelay(r)
}

// Demand returns the sum of the demands that active hosts reported for a resource.
func (d *DomainAllotment) Demand(now time.Time, r Resource) float64 {
	total := 0.0
	for _, h := range d.holders {
		if s := h.shares[r]; s != nil && !h.leaving && now.Sub(h.lastSeen) < d.times.Lease {
			total += s.demand
		}
	}
	return total
}

// Renew processes a host's renewal request. The reply asks for a full request if
// the host's epoch differs or the process is not known.
func (d *DomainAllotment) Renew(now time.Time, from host.Identity, request RenewRequest) RenewReply {
	reply := RenewReply{Epoch: d.epoch, Request: request.Sequence}
	key := holderKey{id: from.ID, incarnation: from.Incarnation}
	h := d.holders[key]
	if request.Epoch != d.epoch || h == nil && !request.Full {
		reply.Resync = true
		return reply
	}
	if h == nil {
		h = d.addHolder(now, key, request)
	}
	d.reclaimExpired(now, h)
	h.lastSeen = now
	if request.Sequence > h.lastRequest {
		h.applyReports(request, d.dirty)
	}
	reply.Sequence = h.lastGrant
	reply.Lease = d.leaseFor(now, h)
	reply.Reset = request.Full
	reply.Grants = h.grantsAfter(request.Applied, request.Full)
	slices.SortFunc(reply.Grants, func(a, b Grant) int { return cmp.Compare(a.Resource, b.Resource) })
	return reply
}

// leaseFor returns the longest lease that a reply may give to a holder. It is
// zero for a holder of an account whose live shares exceed the domain's share,
// because those were granted from an extra share that has ended.
func (d *DomainAllotment) leaseFor(now time.Time, h *holder) time.Duration {
	if d.mutations.ignoreExtraExpiry {
		return d.times.Lease
	}
	for r := range d.overAllocated {
		if s := h.shares[r]; s != nil && !s.live().IsZero() {
			return 0
		}
	}
	if !d.mayExceedFloor {
		return d.times.Lease
	}
	return max(min(d.times.Lease, d.extraUntil.Sub(now)), 0)
}

// addHolder adds a process that this leader does not know. The process keeps the
// shares that it reports until the resource has recovered; after that, shares that
// previous leaders granted have expired.
func (d *DomainAllotment) addHolder(now time.Time, key holderKey, request RenewRequest) *holder {
	d.sequence++
	h := newHolder(d.sequence)
	h.lastSeen = now
	d.holders[key] = h
	d.lastSweep = time.Time{}
	defer delete(d.previousHolders, key)
	for _, report := range request.Reports {
		if report.Share.IsZero() || d.Recovered(now, report.Resource) && !d.mutations.skipRecoveryWait {
			continue
		}
		_, account := report.Resource.Account()
		d.mayExceedFloor = d.mayExceedFloor || account
		s := h.share(report.Resource)
		s.confirmed = report.Share
		s.lastGrant = h.lastGrant
		d.inherited[report.Resource] = d.inherited[report.Resource].Plus(report.Share)
	}
	return h
}

// reclaimExpired sets to zero the shares that expired while the holder was silent,
// because they may have been allocated to others.
func (d *DomainAllotment) reclaimExpired(now time.Time, h *holder) {
	if now.Sub(h.lastSeen) < d.times.Lease+d.times.Margin && !d.mutations.reclaimWithoutWait {
		return
	}
	for _, r := range slices.Sorted(maps.Keys(h.shares)) {
		if d.shareExpired(now, h, r) {
			h.shares[r].inUse = Share{}
			d.grant(h, r, Share{}, true)
		}
	}
}

// grant sets a holder's share. If confirmed is true, it takes effect without a
// confirmation by the holder.
func (d *DomainAllotment) grant(h *holder, r Resource, share Share, confirmed bool) {
	d.sequence++
	d.dirty[r] = struct{}{}
	h.grant(d.sequence, r, share, confirmed)
}

// available returns the unallocated amount of a resource.
func (d *DomainAllotment) available(now time.Time, r Resource) Share {
	limit := d.limits[r]
	if !d.Recovered(now, r) {
		limit = limit.Min(d.inherited[r])
	}
	return limit.Minus(d.live(now, r))
}

// Divide adapts the shares to the demand: it first reduces the shares that are too
// large, then allocates what is free. It removes holders whose shares have expired.
// It divides the resources that changed, and all resources every sweepInterval.
func (d *DomainAllotment) Divide(now time.Time) {
	d.removeExpiredHolders(now)
	keys := d.activeHolders(now)
	resources := slices.Sorted(maps.Keys(d.dirty))
	if now.Sub(d.lastSweep) >= sweepInterval {
		d.lastSweep = now
		d.mayExceedFloor = false
		resources = d.Resources()
	}
	clear(d.dirty)
	for _, r := range resources {
		d.divide(now, r, keys)
		d.mayExceedFloor = d.mayExceedFloor || d.accountExceeds(now, r, d.floors[r])
		if d.accountExceeds(now, r, d.domainShares[r]) {
			d.overAllocated[r] = struct{}{}
			d.dirty[r] = struct{}{}
		} else {
			delete(d.overAllocated, r)
		}
	}
}

// accountExceeds reports whether r is an account whose live shares exceed limit. It
// returns false for upstreams: they belong to one domain, whose share does not expire.
func (d *DomainAllotment) accountExceeds(now time.Time, r Resource, limit Share) bool {
	_, account := r.Account()
	return account && !d.live(now, r).Within(limit)
}

func (d *DomainAllotment) removeExpiredHolders(now time.Time) {
	for key, h := range d.holders {
		if d.holderExpired(now, h) {
			delete(d.holders, key)
		}
	}
}

func (d *DomainAllotment) holderExpired(now time.Time, h *holder) bool {
	if now.Sub(h.lastSeen) < d.times.Lease+d.times.Margin {
		return d.mutations.reclaimWithoutWait && now.Sub(h.lastSeen) >= d.times.Lease/2
	}
	for r, s := range h.shares {
		if !s.live().IsZero() && !d.shareExpired(now, h, r) {
			return false
		}
	}
	return true
}

// activeHolders returns the holders that can get shares, sorted: those that are not
// leaving and have sent a request within half a lease.
func (d *DomainAllotment) activeHolders(now time.Time) []holderKey {
	var keys []holderKey
	for key, h := range d.holders {
		if !h.leaving && now.Sub(h.lastSeen) < d.times.Lease/2 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b holderKey) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.incarnation, b.incarnation))
	})
	return keys
}

func (d *DomainAllotment) divide(now time.Time, r Resource, keys []holderKey) {
	claims := make([]claim, len(keys))
	for i, key := range keys {
		if s := d.holders[key].shares[r]; s != nil {
			claims[i] = claim{demand: s.demand, current: s.granted()}
		}
	}
	targets := d.targets(r, claims)
	d.shrink(r, keys, claims, targets)
	before := d.live(now, r)
	d.grow(now, r, keys, claims, targets)
	after := d.live(now, r)
	d.checkLimit(r, before, after)
}

// checkLimit asserts that a division did not raise the live shares above the limit.
func (d *DomainAllotment) checkLimit(r Resource, before, after Share) {
	name := invariant.RateWithinLimit
	if _, upstream := r.Upstream(); upstream {
		name = invariant.SlotsWithinLimit
	}
	limit := d.limits[r].Max(before)
	invariant.Check(after.Within(limit), name, "%s: live shares %+v exceed %+v", r, after, limit)
}

// targets returns the share that each claim should have.
func (d *DomainAllotment) targets(r Resource, claims []claim) []Share {
	if _, upstream := r.Upstream(); upstream {
		return divideSlots(d.limits[r], claims)
	}
	return divideRate(d.limits[r], claims, hostEqualFraction, minHostBurst)
}

// shrink reduces the shares that are above their target.
func (d *DomainAllotment) shrink(r Resource, keys []holderKey, claims []claim, targets []Share) {
	var sum Share
	for _, c := range claims {
		sum = sum.Plus(c.current)
	}
	overLimit := !sum.Within(d.limits[r])
	for i, key := range keys {
		lower := claims[i].current.Min(targets[i])
		if lower == claims[i].current || !overLimit && d.negligible(r, claims[i].current, lower) {
			continue
		}
		d.grant(d.holders[key], r, lower, d.mutations.growBeforeConfirm)
		claims[i].current = lower
	}
}

// negligible reports whether a reduction is too small to be made.
func (d *DomainAllotment) negligible(r Resource, current, target Share) bool {
	limit := d.limits[r]
	if current.IsZero() != target.IsZero() {
		return false
	}
	return current.near(target, current, resizeFraction) || current.near(target, limit, resizeMinimum)
}

// grow allocates what is free to the holders that are below their target.
func (d *DomainAllotment) grow(now time.Time, r Resource, keys []holderKey, claims []claim, targets []Share) {
	free := d.available(now, r)
	for i, key := range keys {
		missing := targets[i].Minus(claims[i].current).Min(free)
		if missing.IsZero() || !claims[i].current.IsZero() && missing.near(Share{}, d.limits[r], resizeMinimum) {
			continue
		}
		d.grant(d.holders[key], r, claims[i].current.Plus(missing), false)
		free = free.Minus(missing)
	}
}
