package placement

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
)

const (
	// announcementCleanupDelay is how long an upstream must have been gone before what it
	// announced is dropped.
	announcementCleanupDelay = 30 * time.Second
	// restSpread is the time over which the hosts that an upstream asked for rest send to it
	// again, each from an instant of its own. It is shorter for short rests.
	restSpread = 500 * time.Millisecond
	// restRamp is the time from then on over which the requests that a host may have at the
	// upstream grow from one to its slots.
	restRamp = time.Second
	// maxRestRetrySpread limits how far apart callers are asked to return after a rest.
	maxRestRetrySpread = time.Second
)

// announcements holds what a process of an upstream announced to this host in its responses.
// It outlives the upstream's entry, which may vanish and return while the process continues.
type announcements struct {
	incarnation int64
	restUntil   boottime.Instant // this host sends nothing before, zero if it was never asked for rest
	resumesAt   boottime.Instant // this host places requests there from then on
	leaving     bool             // the process will end soon
	goneSince   boottime.Instant // since when the upstream has no entry, zero while it has one
}

// announcementsOf returns the announcements of an upstream process and creates them if
// necessary. The caller holds mu.
func (p *Pool) announcementsOf(id string, incarnation int64) *announcements {
	a := p.announcements[id]
	if a == nil || a.incarnation != incarnation {
		a = &announcements{incarnation: incarnation}
		p.announcements[id] = a
	}
	return a
}

// pruneAnnouncements drops the announcements of upstreams that are gone. The caller holds mu.
func (p *Pool) pruneAnnouncements(now boottime.Instant) {
	for id, a := range p.announcements {
		switch {
		case p.upstreams[id] != nil:
			a.goneSince = 0
		case a.goneSince == 0:
			a.goneSince = now
		case now.Sub(a.goneSince) > announcementCleanupDelay && now > a.restUntil:
			delete(p.announcements, id)
		}
	}
}

// Rest records that the upstream wants no requests from this host for the given time. A
// shorter time does not end an earlier rest.
func (p *Placement) Rest(rest time.Duration, now boottime.Instant) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	a := p.chosen.upstream.announced
	until := now.Add(rest)
	if until <= a.restUntil {
		return
	}
	spread := float64(min(restSpread, rest/4)) * unitHash(p.Upstream.ID, p.pool.settings.Host)
	a.restUntil, a.resumesAt = until, until.Add(time.Duration(spread))
}

// Leave records that the upstream's process will end soon. From then on it is treated like
// one whose entry says that it drains.
func (p *Placement) Leave() { p.pool.SetLeaving(p.Upstream.ID, p.Upstream.Incarnation) }

// SetLeaving is Placement.Leave for the process of an upstream that another host has used.
func (p *Pool) SetLeaving(id string, incarnation int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.announcements[id]
	if a == nil || a.incarnation != incarnation {
		return // the process has ended, or its entry is not known yet
	}
	a.leaving = true
	if u := p.upstreams[id]; u != nil && !u.Draining {
		u.Draining = true
		p.service(u.Service).rebuildIndex(p.evacuated, p.settings.FailureDomain)
	}
}

// Leaving reports whether an upstream drains, as its entry or its responses say, or is not
// registered.
func (p *Pool) Leaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[id]
	return u == nil || u.Draining
}

// WithheldError reports that a request was placed at an upstream but must not be sent to it.
type WithheldError struct {
	Upstream string // ID
	Reason   Reason
}

// Error implements error.
func (e *WithheldError) Error() string {
	return "upstream " + e.Upstream + " accepts no request now: " + string(e.Reason)
}

// CheckSend returns a *WithheldError if the request must not be sent any more: the upstream
// has asked for rest since it was placed, or has said that it leaves.
func (p *Placement) CheckSend(now boottime.Instant) error {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	u := p.chosen.upstream
	if now.Before(u.announced.restUntil) {
		return &WithheldError{Upstream: u.ID, Reason: ReasonRest}
	}
	if u.announced.leaving {
		return &WithheldError{Upstream: u.ID, Reason: ReasonLeaving}
	}
	known := p.pool.upstreams[u.ID]
	gone := known == nil && p.request.RegionAllowed != nil // its address may be used again in another region
	if gone || known != nil && known.region != u.region || now.Before(u.movedUntil) {
		return &WithheldError{Upstream: u.ID, Reason: ReasonMoved}
	}
	return nil
}

// resting reports whether an upstream gets no request because it asked this host for rest, or
// because it has as many as it may get right after one, and when it may get the next one.
func (u *upstream) resting(now boottime.Instant) (until boottime.Instant, resting bool) {
	if u.announced.restUntil == 0 {
		return 0, false
	}
	elapsed := now.Sub(u.announced.resumesAt)
	if elapsed < 0 {
		return u.announced.resumesAt, true
	}
	if elapsed < restRamp && float64(u.inflight) >= 1+float64(elapsed)/float64(restRamp)*float64(u.slots) {
		return now.Add(restRamp / time.Duration(u.slots)), true
	}
	return 0, false
}

// allResting reports whether none of the upstreams gets a request now because of a rest.
func allResting(all []*upstream, now boottime.Instant) bool {
	for _, u := range all {
		if _, resting := u.resting(now); !resting {
			return false
		}
	}
	return true
}

// restRetryAfter returns when a caller should return to a host whose upstreams rest. Successive
// results differ, so that callers do not return together. The caller holds mu.
func (p *Pool) restRetryAfter(until, now boottime.Instant) time.Duration {
	wait := until.Sub(now)
	p.restRefusals++
	spread := math.Mod(float64(p.restRefusals)*math.Phi, 1)
	return wait + time.Duration(spread*float64(min(max(wait, minRetryAfter), maxRestRetrySpread)))
}
