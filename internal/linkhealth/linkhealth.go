// Package linkhealth decides from the results of attempts and probes whether a host has
// lost its links to all upstreams.
//
// All types work without I/O and take the time from the caller.
package linkhealth

import (
	"maps"
	"sync"
	"time"

	"peridotrail/internal/boottime"
)

const (
	// ProbeCount is the number of upstreams to probe at once, of different failure domains
	// where there are several.
	ProbeCount = 3
	// minFailed is the number of upstreams whose links must have failed within failureAge,
	// without a new connection to any, before the links are probed.
	minFailed  = 3
	failureAge = 1 * time.Second
	// silence is how long no upstream has responded when the links are probed, if attempts
	// at minFailed upstreams have waited for minPending.
	silence    = 600 * time.Millisecond
	minPending = 400 * time.Millisecond
	// cutOffProbeInterval is the time between probes while the host is cut off or links
	// have failed.
	cutOffProbeInterval = 250 * time.Millisecond
	// silenceProbeInterval is the time between probes of silent links.
	silenceProbeInterval = time.Second
)

// Change is a change of the state of a host's links.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	Lost             // the host is cut off from all upstreams from now on
	Restored         // it is no longer cut off
)

// Tracker follows the links of one host to its upstreams. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex                  // guards the fields below
	failed    map[string]boottime.Instant // last failure of the link to each upstream since the last new connection
	pending   map[string]boottime.Instant // first attempt at each upstream since the last response
	responded boottime.Instant            // last response of any upstream, or last new connection
	cutOff    bool
	lostAt    boottime.Instant // of the current or the last cut
	nextProbe boottime.Instant
	suspected bool // probes are due or under way because links failed or are silent
}

// NewTracker returns the tracker of a host that is not cut off.
func NewTracker() *Tracker {
	return &Tracker{failed: map[string]boottime.Instant{}, pending: map[string]boottime.Instant{}}
}

// Sent records that an attempt at an upstream begins.
func (t *Tracker) Sent(upstream string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.pending[upstream]; !ok {
		t.pending[upstream] = now
	}
}

// Responded records a response. It may have come over an old connection, so it says
// nothing about new ones.
func (t *Tracker) Responded(now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responded = now
	clear(t.pending)
}

// Connected records a new connection to an upstream.
func (t *Tracker) Connected(now boottime.Instant) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responded, t.suspected = now, false
	clear(t.failed)
	clear(t.pending)
	if !t.cutOff {
		return Unchanged
	}
	t.cutOff = false
	return Restored
}

// Failed records that the link to an upstream failed: a connection could not be opened,
// or ended before a response.
func (t *Tracker) Failed(upstream string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[upstream] = now
}

// ProbesFailed records that none of the upstreams of one round of probes was reached.
func (t *Tracker) ProbesFailed(now boottime.Instant) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cutOff || !t.suspected {
		return Unchanged // an upstream was reached meanwhile
	}
	t.cutOff, t.lostAt = true, now
	return Lost
}

// CutOff reports whether the host is cut off from all upstreams, and since when it is or
// last was.
func (t *Tracker) CutOff() (cutOff bool, since boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff, t.lostAt
}

// Suspected reports whether the host is cut off, or may be as far as the last attempts
// tell.
func (t *Tracker) Suspected(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff || t.linksFail(now)
}

// ProbeDue reports whether a round of probes should begin now: while the host is cut off,
// and when links fail or upstreams don't respond.
func (t *Tracker) ProbeDue(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.nextProbe {
		return false
	}
	switch {
	case t.cutOff || t.linksFail(now):
		t.nextProbe = now.Add(cutOffProbeInterval)
	case t.silent(now):
		t.nextProbe = now.Add(silenceProbeInterval)
	default:
		t.suspected = false
		return false
	}
	t.suspected = true
	return true
}

// linksFail reports whether links to several upstreams failed lately, without a new
// connection to any. The caller holds mu.
func (t *Tracker) linksFail(now boottime.Instant) bool {
	maps.DeleteFunc(t.failed, func(_ string, at boottime.Instant) bool { return now.Sub(at) > failureAge })
	return len(t.failed) >= minFailed
}

// silent reports whether several upstreams have not responded for a while and no other
// one has. The caller holds mu.
func (t *Tracker) silent(now boottime.Instant) bool {
	if now.Sub(t.responded) < silence {
		return false
	}
	waiting := 0
	for _, sent := range t.pending {
		if now.Sub(sent) >= minPending {
			waiting++
		}
	}
	return waiting >= minFailed
}
