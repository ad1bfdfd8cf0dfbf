package allotment

import (
	"time"

	"peridotrail/internal/host"
)

// holderKey identifies a process that holds shares.
type holderKey struct {
	id          host.ID
	incarnation host.Incarnation
}

// pendingGrant is a grant that the holder has not confirmed yet.
type pendingGrant struct {
	sequence uint64
	share    Share
}

// holderShare is the leader's view of a holder's share of one resource.
type holderShare struct {
	confirmed Share          // in effect at the holder
	pending   []pendingGrant // in ascending order of sequence
	inUse     Share
	demand    float64
	lastGrant uint64 // sequence of the newest grant
}

// granted returns the share of the newest grant.
func (s *holderShare) granted() Share {
	if len(s.pending) == 0 {
		return s.confirmed
	}
	return s.pending[len(s.pending)-1].share
}

// live returns the largest amount that the holder may be using.
func (s *holderShare) live() Share {
	live := s.confirmed.Max(s.inUse)
	for _, g := range s.pending {
		live = live.Max(g.share)
	}
	return live
}

// confirm records that the holder has applied all grants up to the given sequence.
func (s *holderShare) confirm(sequence uint64) {
	for len(s.pending) > 0 && s.pending[0].sequence <= sequence {
		s.confirmed = s.pending[0].share
		s.pending = s.pending[1:]
	}
}

// holder is the leader's view of one process that holds shares of the domain.
type holder struct {
	lastSeen       time.Time // when the newest request was received
	lastRequest    uint64    // sequence of the newest request processed
	lastGrant      uint64    // sequence of the newest grant
	confirmedGrant uint64    // sequence of the newest grant that the holder confirmed
	leaving        bool
	shares         map[Resource]*holderShare
}

func newHolder(sequence uint64) *holder {
	return &holder{lastGrant: sequence, shares: map[Resource]*holderShare{}}
}

func (h *holder) share(r Resource) *holderShare {
	s := h.shares[r]
	if s == nil {
		s = &holderShare{}
		h.shares[r] = s
	}
	return s
}

// grant sets the holder's share of one resource. If confirmed is true, it takes
// effect without a confirmation by the holder.
func (h *holder) grant(sequence uint64, r Resource, share Share, confirmed bool) {
	h.lastGrant = sequence
	s := h.share(r)
	s.lastGrant = sequence
	if confirmed {
		s.confirmed, s.pending = share, nil
		return
	}
	s.pending = append(s.pending, pendingGrant{sequence: sequence, share: share})
}

// applyReports processes the reports and confirmations of a request that is newer
// than the last one. It adds the resources that changed to dirty.
func (h *holder) applyReports(request RenewRequest, dirty map[Resource]struct{}) {
	h.lastRequest = request.Sequence
	h.leaving = h.leaving || request.Leaving
	for _, report := range request.Reports {
		dirty[report.Resource] = struct{}{}
		s := h.share(report.Resource)
		s.inUse = report.InUse
		s.demand = report.Demand
	}
	if request.Leaving {
		h.releaseAll(dirty)
		return
	}
	if request.Applied <= h.confirmedGrant {
		return
	}
	h.confirmedGrant = request.Applied
	for r, s := range h.shares {
		if len(s.pending) > 0 {
			dirty[r] = struct{}{}
			s.confirm(request.Applied)
		}
	}
}

// releaseAll ends all shares of a leaving holder, which applies no further grants.
func (h *holder) releaseAll(dirty map[Resource]struct{}) {
	for r, s := range h.shares {
		dirty[r] = struct{}{}
		s.confirmed, s.pending = Share{}, nil
	}
}

// grantsAfter returns the grants after the given sequence or, if full is true, all
// shares that are not empty.
func (h *holder) grantsAfter(applied uint64, full bool) []Grant {
	var grants []Grant
	for r, s := range h.shares {
		share := s.granted()
		if full && !share.IsZero() || !full && s.lastGrant > applied {
			grants = append(grants, Grant{Resource: r, Share: share})
		}
	}
	return grants
}
