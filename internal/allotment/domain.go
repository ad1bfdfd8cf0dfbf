package allotment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// Terms are the time limits of the shares that a domain leader grants.
type Terms struct {
	Term   time.Duration // a share ends this long after its renewal was sent
	Margin time.Duration // added by the giver for differences between clocks
	Hold   time.Duration // a silent holder's slots stay in use longer by the largest request deadline
}

// silence returns how long a holder must be silent before its share of r is surely over.
func (t Terms) silence(r Resource) time.Duration {
	if _, upstream := r.Upstream(); upstream {
		return t.Term + t.Margin + t.Hold
	}
	return t.Term + t.Margin
}

// sweepEvery is the time between divisions of all resources. Shares of silent
// holders are noticed to be over at these.
const sweepEvery = 3 * time.Second

// resize hysteresis of a host's share.
const (
	resizeFraction = 0.2  // of the present share
	resizeMinimum  = 0.01 // of the whole
)

// DomainAllotment is the leader's division of its failure domain's resources
// among the hosts of the domain, for one epoch of the leadership.
//
// The sum of the live shares of a resource never exceeds its whole, where a share
// is live until its holder confirmed that it ended or its term is surely over.
type DomainAllotment struct {
	epoch    uint64
	terms    Terms
	start    time.Time
	known    bool                   // only former may hold shares that this leader did not give out
	former   map[holderKey]struct{} // processes that have not reported yet
	sequence uint64                 // newest grant to any holder; a holder that returns sees no sequence twice
	holders  map[holderKey]*holder
	wholes   map[Resource]Share
	assured  map[Resource]Share    // part of the domain's share that has no end
	totals   map[Resource]Share    // the domain's share
	excess   map[Resource]struct{} // live shares may exceed the domain's share
	adopted  map[Resource]Share    // sum of the shares that former leaders granted
	fenced   map[Resource]struct{} // former leaders cannot change the domain's share any more
	dirty    map[Resource]struct{} // to be divided at the next Divide
	swept    time.Time             // last division of all resources
	end      time.Time             // end of the right to what exceeds the assured shares
	beyond   bool                  // live shares may exceed the assured ones
	rules    rules
}

// NewDomainAllotment returns the aggregate of a leader that starts now. Shares
// that no host reports are given out only after the longest term.
func NewDomainAllotment(now time.Time, epoch uint64, terms Terms) *DomainAllotment {
	return &DomainAllotment{
		epoch:   epoch,
		terms:   terms,
		start:   now,
		holders: map[holderKey]*holder{},
		wholes:  map[Resource]Share{},
		assured: map[Resource]Share{},
		totals:  map[Resource]Share{},
		excess:  map[Resource]struct{}{},
		adopted: map[Resource]Share{},
		fenced:  map[Resource]struct{}{},
		dirty:   map[Resource]struct{}{},
	}
}

// Epoch returns the epoch of the leadership.
func (d *DomainAllotment) Epoch() uint64 { return d.epoch }

// SetFormer says which processes held shares when this leadership began. Once all
// of them have reported, or the longest term has passed, all may be given out.
func (d *DomainAllotment) SetFormer(holders []HolderProcess) {
	if d.known {
		return
	}
	d.known = true
	d.former = map[holderKey]struct{}{}
	for _, p := range holders {
		key := holderKey{id: p.Host, incarnation: p.Incarnation}
		if d.holders[key] == nil {
			d.former[key] = struct{}{}
		}
	}
}

// SetHold raises the time that a silent holder's slots stay in use.
func (d *DomainAllotment) SetHold(hold time.Duration) { d.terms.Hold = max(d.terms.Hold, hold) }

// Open reports whether all shares of former leaders of r are reported or over.
func (d *DomainAllotment) Open(now time.Time, r Resource) bool {
	if d.rules.openWithoutWait {
		return true
	}
	_, fenced := d.fenced[r]
	reported := d.known && len(d.former) == 0
	return fenced && (reported || now.Sub(d.start) >= d.terms.silence(r))
}

// Fence records that no former leader can change the domain's share of r any more.
// Until then nothing beyond the reported shares is given out.
func (d *DomainAllotment) Fence(r Resource) {
	if _, fenced := d.fenced[r]; !fenced {
		d.fenced[r] = struct{}{}
		d.dirty[r] = struct{}{}
	}
}

// SetWhole changes what the hosts are to use of a resource. Total is the share that
// the domain has now, and the part above assured may be used until the end given
// to SetEnd. A smaller whole takes effect at the next Divide, and is in effect once
// InEffect says so.
func (d *DomainAllotment) SetWhole(r Resource, whole, total, assured Share) {
	if whole != d.wholes[r] || assured != d.assured[r] {
		d.dirty[r] = struct{}{}
	}
	if _, account := r.Account(); account && !d.totals[r].Within(total) {
		d.excess[r] = struct{}{}
		d.dirty[r] = struct{}{}
	}
	d.beyond = d.beyond || !d.assured[r].Within(assured)
	store(d.wholes, r, whole)
	store(d.totals, r, total)
	store(d.assured, r, assured)
}

func store(shares map[Resource]Share, r Resource, share Share) {
	if share.IsZero() {
		delete(shares, r)
		return
	}
	shares[r] = share
}

// SetEnd sets the end of the right to use more than the assured shares. It never
// moves back.
func (d *DomainAllotment) SetEnd(end time.Time) {
	if end.After(d.end) {
		d.end = end
	}
}

// Whole returns what the domain may use of a resource.
func (d *DomainAllotment) Whole(r Resource) Share { return d.wholes[r] }

// Resources returns all resources that have a whole or a live share, sorted.
func (d *DomainAllotment) Resources() []Resource {
	set := maps.Clone(d.wholes)
	for _, h := range d.holders {
		for r, e := range h.entries {
			if !e.live().IsZero() {
				set[r] = Share{}
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// InEffect reports whether the hosts surely use no more of a resource than limit.
func (d *DomainAllotment) InEffect(now time.Time, r Resource, limit Share) bool {
	return d.Open(now, r) && d.live(now, r).Within(limit)
}

// live returns the most that the known holders may be using.
func (d *DomainAllotment) live(now time.Time, r Resource) Share {
	var live Share
	for _, h := range d.holders {
		if e := h.entries[r]; e != nil && !d.over(now, h, r) {
			live = live.Plus(e.live())
		}
	}
	return live
}

// over reports whether the holder's share of r has surely ended.
func (d *DomainAllotment) over(now time.Time, h *holder, r Resource) bool {
	silent := now.Sub(h.seen)
	if d.rules.reclaimWithoutWait {
		return silent >= d.terms.Term/2
	}
	return silent >= d.terms.silence(r)
}

// Demand returns the demand that the hosts reported for a resource.
func (d *DomainAllotment) Demand(now time.Time, r Resource) float64 {
	total := 0.0
	for _, h := range d.holders {
		if e := h.entries[r]; e != nil && !h.leaving && now.Sub(h.seen) < d.terms.Term {
			total += e.demand
		}
	}
	return total
}

// Renew processes a host's request.
func (d *DomainAllotment) Renew(now time.Time, from host.Identity, request RenewRequest) RenewResponse {
	answer := RenewResponse{Epoch: d.epoch, Request: request.Sequence}
	key := holderKey{id: from.ID, incarnation: from.Incarnation}
	h := d.holders[key]
	if request.Epoch != d.epoch || h == nil && !request.Full {
		answer.Resync = true
		return answer
	}
	if h == nil {
		h = d.admit(now, key, request)
	}
	d.lapse(now, h)
	h.seen = now
	if request.Sequence > h.request {
		h.process(request, d.dirty)
	}
	answer.Sequence = h.sequence
	answer.Term = d.term(now, h)
	answer.Reset = request.Full
	answer.Grants = h.changes(request.Applied, request.Full)
	slices.SortFunc(answer.Grants, func(a, b Grant) int { return cmp.Compare(a.Resource, b.Resource) })
	return answer
}

// term returns the longest term that an answer to a holder may give. Nothing is
// renewed of an account whose live shares exceed the domain's share: they were
// granted under a right that has ended.
func (d *DomainAllotment) term(now time.Time, h *holder) time.Duration {
	if d.rules.ignoreEnd {
		return d.terms.Term
	}
	for r := range d.excess {
		if e := h.entries[r]; e != nil && !e.live().IsZero() {
			return 0
		}
	}
	if !d.beyond {
		return d.terms.Term
	}
	return max(min(d.terms.Term, d.end.Sub(now)), 0)
}

// admit adds a process that this leader does not know. While shares of former
// leaders may be live, it keeps the ones that it reports; later they are over.
func (d *DomainAllotment) admit(now time.Time, key holderKey, request RenewRequest) *holder {
	d.sequence++
	h := newHolder(d.sequence)
	h.seen = now
	d.holders[key] = h
	d.swept = time.Time{}
	defer delete(d.former, key)
	for _, report := range request.Reports {
		if report.Share.IsZero() || d.Open(now, report.Resource) && !d.rules.openWithoutWait {
			continue
		}
		_, account := report.Resource.Account()
		d.beyond = d.beyond || account
		e := h.entry(report.Resource)
		e.confirmed = report.Share
		e.sequence = h.sequence
		d.adopted[report.Resource] = d.adopted[report.Resource].Plus(report.Share)
	}
	return h
}

// lapse takes the shares back that ended while the holder was silent. They may
// have been given to others.
func (d *DomainAllotment) lapse(now time.Time, h *holder) {
	if now.Sub(h.seen) < d.terms.Term+d.terms.Margin && !d.rules.reclaimWithoutWait {
		return
	}
	for _, r := range slices.Sorted(maps.Keys(h.entries)) {
		if d.over(now, h, r) {
			h.entries[r].held = Share{}
			d.grant(h, r, Share{}, true)
		}
	}
}

// grant gives a holder a new share. Trusted grants count as confirmed.
func (d *DomainAllotment) grant(h *holder, r Resource, share Share, trusted bool) {
	d.sequence++
	d.dirty[r] = struct{}{}
	h.grant(d.sequence, r, share, trusted)
}

// available returns what is free of a resource.
func (d *DomainAllotment) available(now time.Time, r Resource) Share {
	limit := d.wholes[r]
	if !d.Open(now, r) {
		limit = limit.Min(d.adopted[r])
	}
	return limit.Minus(d.live(now, r))
}

// Divide adapts the shares to the demand: it first reduces the shares that are
// too large, then gives out what is free. It forgets holders whose shares are over.
// It looks at the resources that changed, and at all of them every sweepEvery.
func (d *DomainAllotment) Divide(now time.Time) {
	d.forget(now)
	keys := d.activeHolders(now)
	resources := slices.Sorted(maps.Keys(d.dirty))
	if now.Sub(d.swept) >= sweepEvery {
		d.swept = now
		d.beyond = false
		resources = d.Resources()
	}
	clear(d.dirty)
	for _, r := range resources {
		d.divide(now, r, keys)
		d.beyond = d.beyond || d.exceeds(now, r, d.assured[r])
		if d.exceeds(now, r, d.totals[r]) {
			d.excess[r] = struct{}{}
			d.dirty[r] = struct{}{}
		} else {
			delete(d.excess, r)
		}
	}
}

// exceeds reports whether the live shares of an account are more than limit.
// Upstreams belong to the domain.
func (d *DomainAllotment) exceeds(now time.Time, r Resource, limit Share) bool {
	_, account := r.Account()
	return account && !d.live(now, r).Within(limit)
}

func (d *DomainAllotment) forget(now time.Time) {
	for key, h := range d.holders {
		if d.expired(now, h) {
			delete(d.holders, key)
		}
	}
}

func (d *DomainAllotment) expired(now time.Time, h *holder) bool {
	if now.Sub(h.seen) < d.terms.Term+d.terms.Margin {
		return d.rules.reclaimWithoutWait && now.Sub(h.seen) >= d.terms.Term/2
	}
	for r, e := range h.entries {
		if !e.live().IsZero() && !d.over(now, h, r) {
			return false
		}
	}
	return true
}

// activeHolders returns the holders that take part in a division, sorted.
func (d *DomainAllotment) activeHolders(now time.Time) []holderKey {
	var keys []holderKey
	for key, h := range d.holders {
		if !h.leaving && now.Sub(h.seen) < d.terms.Term/2 {
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
		if e := d.holders[key].entries[r]; e != nil {
			claims[i] = claim{demand: e.demand, current: e.granted()}
		}
	}
	targets := d.targets(r, claims)
	d.shrink(r, keys, claims, targets)
	before := d.live(now, r)
	d.grow(now, r, keys, claims, targets)
	after := d.live(now, r)
	d.check(r, before, after)
}

// check asserts that a division gave out no more than the whole.
func (d *DomainAllotment) check(r Resource, before, after Share) {
	name := invariant.RateWithinWhole
	if _, upstream := r.Upstream(); upstream {
		name = invariant.SlotsWithinWhole
	}
	limit := d.wholes[r].Max(before)
	invariant.Check(after.Within(limit), name, "%s: live shares %+v exceed %+v", r, after, limit)
}

// targets returns the wanted share of each claim.
func (d *DomainAllotment) targets(r Resource, claims []claim) []Share {
	if _, upstream := r.Upstream(); upstream {
		return divideSlots(d.wholes[r], claims)
	}
	return divideRate(d.wholes[r], claims, hostIdle, minHostBurst)
}

// shrink reduces the shares that are above their target.
func (d *DomainAllotment) shrink(r Resource, keys []holderKey, claims []claim, targets []Share) {
	var sum Share
	for _, c := range claims {
		sum = sum.Plus(c.current)
	}
	tooMuch := !sum.Within(d.wholes[r])
	for i, key := range keys {
		lower := claims[i].current.Min(targets[i])
		if lower == claims[i].current || !tooMuch && d.settled(r, claims[i].current, lower) {
			continue
		}
		d.grant(d.holders[key], r, lower, d.rules.growBeforeConfirm)
		claims[i].current = lower
	}
}

// settled reports whether a reduction is too small to be worth a message.
func (d *DomainAllotment) settled(r Resource, current, target Share) bool {
	whole := d.wholes[r]
	if current.IsZero() != target.IsZero() {
		return false
	}
	return current.near(target, current, resizeFraction) || current.near(target, whole, resizeMinimum)
}

// grow gives out what is free to the shares that are below their target.
func (d *DomainAllotment) grow(now time.Time, r Resource, keys []holderKey, claims []claim, targets []Share) {
	free := d.available(now, r)
	for i, key := range keys {
		missing := targets[i].Minus(claims[i].current).Min(free)
		if missing.IsZero() || !claims[i].current.IsZero() && missing.near(Share{}, d.wholes[r], resizeMinimum) {
			continue
		}
		d.grant(d.holders[key], r, claims[i].current.Plus(missing), false)
		free = free.Minus(missing)
	}
}
