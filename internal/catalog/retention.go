package catalog

import (
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

const (
	// RetentionTime is how long what this host knew of an upstream takes precedence over the
	// older entry with which the store has returned, unless the entry changes.
	RetentionTime = 10 * time.Second
	// departureMemory is how long an upstream that is gone is remembered.
	departureMemory = time.Minute
)

// Departures remembers upstreams that are gone, and upstreams of which the store has
// returned older entries. It is not safe for concurrent use.
type Departures struct {
	gone       map[string]departure
	retained   map[string]retention
	restoredAt boottime.Instant // the store has all that its last copy lacked, zero before the first one
}

type departure struct {
	upstream Upstream
	at       boottime.Instant
}

// retention is an older entry of the store that does not count.
type retention struct {
	revision kvstore.Revision // of the entry; a later one counts
	read     Upstream
	until    boottime.Instant
}

// NewDepartures returns an empty memory.
func NewDepartures() *Departures {
	return &Departures{gone: map[string]departure{}, retained: map[string]retention{}}
}

// Gone records that an upstream is gone.
func (d *Departures) Gone(u Upstream, now boottime.Instant) {
	d.gone[u.ID] = departure{upstream: u, at: now}
}

// Registered records an entry that counts.
func (d *Departures) Registered(id string) {
	delete(d.gone, id)
	delete(d.retained, id)
}

// EraBegan records that the store has returned from an older copy. What the copy lacks is
// written again from now on, perhaps in several steps.
func (d *Departures) EraBegan(now boottime.Instant) { d.restoredAt = now.Add(RetentionTime) }

// Merge returns the state of an upstream whose entry was read at a revision after the store
// had returned from an older copy. known is what this host knew, if anything: an upstream
// that drained still does, one that was cold stays so, and one that is gone, or belongs to
// an earlier process than the known one, does not return. present is false if it is gone.
func (d *Departures) Merge(known *Upstream, read Upstream, revision kvstore.Revision, now boottime.Instant) (merged Upstream, present bool) {
	merged, present = read, true
	left, gone := d.gone[read.ID]
	switch {
	case known != nil:
		merged = newerState(*known, read)
	case gone && read.Incarnation <= left.upstream.Incarnation:
		present = false
	}
	if present && merged == read {
		d.Registered(read.ID)
		return merged, true
	}
	if !present {
		d.gone[read.ID] = departure{upstream: left.upstream, at: now}
	}
	d.retained[read.ID] = retention{revision: revision, read: read, until: now.Add(RetentionTime)}
	return merged, present
}

// Update returns the state of an upstream whose entry has changed. While the store's entries
// are written again, a change may restore a state from before what this host knew: an
// upstream of the same process still drains and stays cold, an earlier process does not
// return. An upstream that was gone and registers again does. counts is false if the entry
// changes nothing.
func (d *Departures) Update(known *Upstream, read Upstream, revision kvstore.Revision, now boottime.Instant) (merged Upstream, counts bool) {
	if r, ok := d.retained[read.ID]; ok && revision.Compare(r.revision) <= 0 {
		return Upstream{}, false
	}
	merged, counts = read, true
	left, gone := d.gone[read.ID]
	switch {
	case !now.Before(d.restoredAt):
	case known != nil:
		merged = newerState(*known, read)
	case gone:
		counts = read.Incarnation >= left.upstream.Incarnation
	}
	if counts && merged == read {
		d.Registered(read.ID)
		return merged, true
	}
	d.retained[read.ID] = retention{revision: revision, read: read, until: d.restoredAt}
	return merged, counts
}

// newerState returns the newer of two states of an upstream, given that a process never ends
// to drain and that it stays cold for as long as it has said.
func newerState(known, read Upstream) Upstream {
	switch {
	case read.Incarnation < known.Incarnation:
		return known
	case read.Incarnation == known.Incarnation:
		read.Draining = read.Draining || known.Draining
		read.ColdUntil = max(read.ColdUntil, known.ColdUntil)
	}
	return read
}

// Expire returns the upstreams whose entries count from now on because they have not changed
// within RetentionTime. It forgets upstreams that are long gone.
func (d *Departures) Expire(now boottime.Instant) []Upstream {
	var counting []Upstream
	for id, r := range d.retained {
		if !now.Before(r.until) {
			counting = append(counting, r.read)
			delete(d.retained, id)
		}
	}
	for id, g := range d.gone {
		if _, retained := d.retained[id]; !retained && now.Sub(g.at) > departureMemory {
			delete(d.gone, id)
		}
	}
	return counting
}

// Removed records that the store has no usable entry of an upstream any more.
func (d *Departures) Removed(id string) { delete(d.retained, id) }

// Present records which upstreams the store has entries of.
func (d *Departures) Present(ids map[string]bool) {
	for id := range d.retained {
		if !ids[id] {
			d.Removed(id)
		}
	}
}
