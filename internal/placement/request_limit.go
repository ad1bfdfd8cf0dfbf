package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
)

// LimitReport is what a response says about the request limit of its upstream.
type LimitReport struct {
	Named   bool    // the response names a limit
	Rate    float64 // requests per second that the upstream accepts from all hosts together
	Invalid bool    // a value could not be used
}

// StoredLimit is the entry of the store about the request limit of an upstream.
type StoredLimit struct {
	Incarnation int64            // of the process that named it
	Rate        float64          // requests per second
	Revision    kvstore.Revision // zero if there is no entry: no limit is in force
}

// LimitChange is a change of the entry of a request limit that this host should make.
type LimitChange struct {
	Upstream string      // ID
	Limit    StoredLimit // its revision is that of the entry to replace or to delete
	Delete   bool        // the limit has ended, or the process that named it
}

// LimitSource says how a host learned of a request limit.
type LimitSource string

// Sources of a request limit.
const (
	SourceResponse LimitSource = "response"
	SourceStore    LimitSource = "store"
)

// LimitState describes the request limit of an upstream, for the log.
type LimitState struct {
	Rate   float64          // requests per second that all hosts together may send; zero if there is no limit
	Source LimitSource      // of the last change
	Since  boottime.Instant // when this host learned that there is a limit
	Window time.Duration    // over which requests are counted
	Units  int              // requests that this host may send within Window
	Sent   int              // requests that this host sent within Window
}

const (
	// shortLimitWindow is the time over which the requests to an upstream with a limit
	// are counted.
	shortLimitWindow = 4 * time.Second
	// longLimitWindow replaces it for low limits, of which less than a few requests
	// belong to the shorter one.
	longLimitWindow = 10 * time.Second
	// longLimitWindowBelow is the limit in requests per second below which requests are
	// counted over longLimitWindow.
	longLimitWindowBelow = 1.0
	// minLimitRate replaces lower limits. Some responses are needed to learn that a limit
	// has ended.
	minLimitRate = 0.1
	// maxLimitRate replaces higher limits.
	maxLimitRate = 1e6
	// limitSettleTime is how long a host sends nothing to an upstream whose limit it has
	// just learned. Other hosts learn of it meanwhile.
	limitSettleTime = 1 * time.Second
	// limitEntryDelay is the time until the entry of a limit reaches this host. Until
	// then, what a response says takes precedence over an older entry.
	limitEntryDelay = 2 * time.Second
	// limitRetryDelay is the time between two attempts to record a limit.
	limitRetryDelay = 1 * time.Second
	// limitTolerance is the relative difference between a limit and its entry below which
	// the entry is not replaced.
	limitTolerance = 0.05
	// lostLimitTime is how long a limit is kept whose entry the store has lost. It is
	// written again meanwhile.
	lostLimitTime = 10 * time.Second
	// limitCleanupDelay is how long an upstream must have been gone before the entry of its
	// limit is deleted.
	limitCleanupDelay = 30 * time.Second
)

// requestLimit is what a host knows about the request limit of one upstream process,
// from responses and from the store. It outlives the upstream's entry, which may vanish
// and return while the process continues.
type requestLimit struct {
	incarnation int64
	rate        float64          // requests per second; zero if it has none
	source      LimitSource      // of the last change of rate
	since       boottime.Instant // when this host learned that there is a limit
	changedAt   boottime.Instant // when rate changed
	namedAt     boottime.Instant // when a response last named it, zero if none did
	ended       bool             // responses have shown that it ended

	stored       StoredLimit
	keptUntil    boottime.Instant // the store has lost the entry, or the last change of it; zero if it has not
	goneSince    boottime.Instant // since when the upstream has no entry, zero while it has one
	differsSince boottime.Instant // since when stored needs a change, zero if it needs none
	retryAt      boottime.Instant // no attempt to change it before
}

// set puts a limit in force.
func (l *requestLimit) set(rate float64, source LimitSource, now boottime.Instant) {
	if l.rate == 0 {
		l.since = now
	}
	if rate != l.rate {
		l.rate, l.source, l.changedAt = rate, source, now
	}
	l.ended = false
}

// end removes the limit.
func (l *requestLimit) end(source LimitSource, now boottime.Instant) {
	l.rate, l.source, l.changedAt, l.since = 0, source, now, 0
	l.ended = source == SourceResponse
}

// readResponse applies a response to a request that was placed at the given instant.
// Responses may overtake each other: one to a request from before the last change does
// not raise or end the limit.
func (l *requestLimit) readResponse(report LimitReport, placed, now boottime.Instant) {
	older := placed < l.changedAt
	switch {
	case report.Named:
		rate := min(max(report.Rate, minLimitRate), maxLimitRate)
		if older && l.rate > 0 && rate > l.rate {
			return
		}
		l.namedAt = now
		l.set(rate, SourceResponse, now)
	case report.Invalid || older || l.rate == 0:
	default:
		l.end(SourceResponse, now)
	}
}

// readEntry applies an entry of the store. What a response said within limitEntryDelay
// takes precedence, unless the entry has a lower limit.
func (l *requestLimit) readEntry(entry StoredLimit, now boottime.Instant) {
	if entry == l.stored {
		return
	}
	l.applyEntry(entry, now)
}

// readLost applies the entry that the store has in a new era. A limit that the store has
// lost, or that was lower before, is kept for lostLimitTime unless its entry changes.
func (l *requestLimit) readLost(entry StoredLimit, now boottime.Instant) {
	sameProcess := !entry.Revision.IsZero() && entry.Incarnation >= l.incarnation
	if l.rate > 0 && (!sameProcess || entry.Incarnation == l.incarnation && entry.Rate > l.rate) {
		l.stored, l.keptUntil = entry, now.Add(lostLimitTime)
		return
	}
	l.applyEntry(entry, now)
}

// endKept applies the entry of the store once a limit has been kept for lostLimitTime.
func (l *requestLimit) endKept(now boottime.Instant) {
	if l.keptUntil != 0 && !now.Before(l.keptUntil) {
		l.applyEntry(l.stored, now)
	}
}

// applyEntry puts an entry of the store in force. The end of an entry ends the limit, unless
// it was that of an earlier process.
func (l *requestLimit) applyEntry(entry StoredLimit, now boottime.Instant) {
	obsolete := l.obsolete() && l.keptUntil == 0
	l.stored, l.keptUntil = entry, 0
	named := l.namedAt != 0 && now.Sub(l.namedAt) < limitEntryDelay
	switch {
	case !l.recorded():
		if !named && !obsolete && l.rate > 0 {
			l.end(SourceStore, now)
		}
	case named && entry.Rate > l.rate && l.rate > 0:
	default:
		l.set(min(max(entry.Rate, minLimitRate), maxLimitRate), SourceStore, now)
	}
}

// recorded reports whether the store has an entry of a limit of this process.
func (l *requestLimit) recorded() bool {
	return !l.stored.Revision.IsZero() && l.stored.Incarnation == l.incarnation
}

// obsolete reports whether the store has an entry of a limit of an earlier process.
func (l *requestLimit) obsolete() bool {
	return !l.stored.Revision.IsZero() && l.stored.Incarnation < l.incarnation
}

// change returns the change that the entry needs, if it lacks what responses to this host
// have shown, or if it is obsolete.
func (l *requestLimit) change(id string) (change LimitChange, ok bool) {
	change = LimitChange{Upstream: id, Limit: StoredLimit{Incarnation: l.incarnation, Rate: l.rate, Revision: l.stored.Revision}}
	switch {
	case l.rate == 0:
		change.Delete = true
		return change, l.recorded() && l.ended || l.obsolete()
	case !l.recorded():
		return change, true
	default:
		return change, math.Abs(l.stored.Rate-l.rate) > limitTolerance*max(l.stored.Rate, l.rate)
	}
}

// limitWindow returns the time over which requests are counted for a limit in requests
// per second.
func limitWindow(rate float64) time.Duration {
	if rate < longLimitWindowBelow {
		return longLimitWindow
	}
	return shortLimitWindow
}

// limitRecord returns the record of the limit of an upstream process and creates it if
// necessary. The caller holds mu.
func (p *Pool) limitRecord(id string, incarnation int64, now boottime.Instant) *requestLimit {
	before := p.limits[id]
	if before != nil && before.incarnation == incarnation {
		return before
	}
	l := &requestLimit{incarnation: incarnation}
	p.limits[id] = l
	if before != nil {
		l.readEntry(before.stored, now)
	}
	return l
}

// pruneLimits drops the records of upstreams that are gone. The caller holds mu.
func (p *Pool) pruneLimits(now boottime.Instant) {
	for id, l := range p.limits {
		switch {
		case p.upstreams[id] != nil:
			l.goneSince = 0
		case l.goneSince == 0:
			l.goneSince = now
		case l.stored.Revision.IsZero() && now.Sub(l.goneSince) > limitCleanupDelay:
			delete(p.limits, id)
		}
	}
}

// SetStoredLimit sets the entry of the store about the limit of an upstream; one without
// a revision means that there is none.
func (p *Pool) SetStoredLimit(id string, entry StoredLimit, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setStoredLimit(id, entry, now)
}

// setStoredLimit is SetStoredLimit for a caller that holds mu.
func (p *Pool) setStoredLimit(id string, entry StoredLimit, now boottime.Instant) {
	l := p.limits[id]
	if l == nil {
		l = p.limitRecord(id, entry.Incarnation, now)
		l.goneSince = now // until the entry of the upstream is read
	}
	l.readEntry(entry, now)
}

// SetStoredLimits replaces all entries of the store about limits. newEra tells that the
// store has returned from an older copy since the last entries.
func (p *Pool) SetStoredLimits(entries map[string]StoredLimit, newEra bool, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if newEra {
		for id, l := range p.limits {
			l.readLost(entries[id], now)
		}
	}
	for id, l := range p.limits {
		if entries[id].Revision.IsZero() {
			l.readEntry(StoredLimit{}, now)
		}
	}
	for id, entry := range entries {
		p.setStoredLimit(id, entry, now)
	}
}

// LimitChanges returns the changes of entries that this host should make in the store
// now, sorted by upstream. A change that the store still lacks is returned again after
// limitRetryDelay.
func (p *Pool) LimitChanges(now boottime.Instant) []LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []LimitChange
	for id, l := range p.limits {
		l.endKept(now)
		change, needed := l.change(id)
		delay := time.Duration(0)
		if l.obsolete() && change.Delete {
			delay = limitEntryDelay
		}
		u := p.upstreams[id]
		if u == nil { // its entry may return
			needed, change.Delete, delay = !l.stored.Revision.IsZero() && l.goneSince != 0, true, limitCleanupDelay
			u = &upstream{Upstream: catalog.Upstream{ID: id}}
		}
		if !needed {
			l.differsSince = 0
			continue
		}
		if l.differsSince == 0 {
			l.differsSince = now
		}
		if now < l.retryAt || now.Sub(l.differsSince) < delay+p.settings.LimitRecordDelay(u.Upstream) {
			continue
		}
		l.retryAt = now.Add(limitRetryDelay)
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b LimitChange) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return changes
}

// SetLimit records what a response says about the limit, and returns its state.
func (p *Placement) SetLimit(report LimitReport, now boottime.Instant) LimitState {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.chosen.upstream.limit.readResponse(report, p.start, now)
	return p.pool.limitState(p.chosen.upstream, now)
}

// limitState returns the state of an upstream's limit. Its rate is zero if there is none.
// The caller holds mu.
func (p *Pool) limitState(u *upstream, now boottime.Instant) LimitState {
	l := u.limit
	if l.rate == 0 {
		return LimitState{}
	}
	state := LimitState{Rate: l.rate, Source: l.source, Since: l.since, Window: limitWindow(l.rate)}
	total := int(l.rate * state.Window.Seconds())
	state.Units = p.settings.LimitUnits(u.Upstream, total, state.Window, now)
	state.Sent = u.sends.recent(state.Window, now)
	// Requests that other hosts sent before they knew the limit are still part of the
	// window, so the allowance grows over the first one.
	if known := now.Sub(l.since) - limitSettleTime; known < state.Window {
		state.Units = int(float64(state.Units) * max(0, float64(known)/float64(state.Window)))
	}
	return state
}

// limitRetryAfter returns when this host expects to send again to an upstream whose limit
// it has used up. Successive results differ by up to a half, so that callers do not return
// together. The caller holds mu.
func (p *Pool) limitRetryAfter(u *upstream, state LimitState, now boottime.Instant) time.Duration {
	wait := time.Duration(float64(time.Second) / state.Rate)
	if state.Units > 0 {
		wait = u.sends.untilBelow(state.Window, state.Units, now)
	}
	wait = max(wait, limitSettleTime-now.Sub(state.Since))
	p.limitRefusals++
	spread := math.Mod(float64(p.limitRefusals)*math.Phi, 1)
	return min(max(wait, minRetryAfter)+time.Duration(spread*float64(wait)/2), shortLimitWindow)
}
