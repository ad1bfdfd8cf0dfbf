package allotment

import (
	"time"

	"peridotrail/internal/host"
)

// holderKey names one process that holds shares.
type holderKey struct {
	id          host.ID
	incarnation host.Incarnation
}

// grantRecord is a share that was granted and not yet confirmed.
type grantRecord struct {
	sequence uint64
	share    Share
}

// entry is one resource of one holder as the leader knows it.
type entry struct {
	confirmed Share         // in effect at the holder
	pending   []grantRecord // in the order of their sequence
	held      Share
	demand    float64
	sequence  uint64 // last grant
}

// granted returns the newest share.
func (e *entry) granted() Share {
	if len(e.pending) == 0 {
		return e.confirmed
	}
	return e.pending[len(e.pending)-1].share
}

// live returns the most that the holder may be using.
func (e *entry) live() Share {
	live := e.confirmed.Max(e.held)
	for _, g := range e.pending {
		live = live.Max(g.share)
	}
	return live
}

// confirm records that the holder applied all grants up to a sequence.
func (e *entry) confirm(sequence uint64) {
	for len(e.pending) > 0 && e.pending[0].sequence <= sequence {
		e.confirmed = e.pending[0].share
		e.pending = e.pending[1:]
	}
}

// holder is one process that holds shares of the domain.
type holder struct {
	seen     time.Time // receipt of the newest request
	request  uint64    // newest request processed
	sequence uint64    // newest grant
	applied  uint64    // newest grant that the holder confirmed
	leaving  bool
	entries  map[Resource]*entry
}

func newHolder(sequence uint64) *holder {
	return &holder{sequence: sequence, entries: map[Resource]*entry{}}
}

func (h *holder) entry(r Resource) *entry {
	e := h.entries[r]
	if e == nil {
		e = &entry{}
		h.entries[r] = e
	}
	return e
}

// grant gives the holder a new share of one resource. A trusted grant counts as
// confirmed at once.
func (h *holder) grant(sequence uint64, r Resource, share Share, trusted bool) {
	h.sequence = sequence
	e := h.entry(r)
	e.sequence = sequence
	if trusted {
		e.confirmed, e.pending = share, nil
		return
	}
	e.pending = append(e.pending, grantRecord{sequence: sequence, share: share})
}

// process takes the reports of a request that is newer than the last one, and adds
// the resources that changed to dirty.
func (h *holder) process(request RenewRequest, dirty map[Resource]struct{}) {
	h.request = request.Sequence
	h.leaving = h.leaving || request.Leaving
	for _, report := range request.Reports {
		dirty[report.Resource] = struct{}{}
		e := h.entry(report.Resource)
		e.held = report.Held
		e.demand = report.Demand
	}
	if request.Leaving {
		h.giveBack(dirty)
		return
	}
	if request.Applied <= h.applied {
		return
	}
	h.applied = request.Applied
	for r, e := range h.entries {
		if len(e.pending) > 0 {
			dirty[r] = struct{}{}
			e.confirm(request.Applied)
		}
	}
}

// giveBack ends all shares of a leaving holder, which applies no further grant.
func (h *holder) giveBack(dirty map[Resource]struct{}) {
	for r, e := range h.entries {
		dirty[r] = struct{}{}
		e.confirmed, e.pending = Share{}, nil
	}
}

// changes returns the grants after a sequence; all of them for a full request.
func (h *holder) changes(applied uint64, full bool) []Grant {
	var grants []Grant
	for r, e := range h.entries {
		share := e.granted()
		if full && !share.IsZero() || !full && e.sequence > applied {
			grants = append(grants, Grant{Resource: r, Share: share})
		}
	}
	return grants
}
