package allotment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxInFlight is the number of unanswered requests that a holder remembers.
const maxInFlight = 64

// sentRequest is an unanswered request.
type sentRequest struct {
	sequence uint64
	sentAt   time.Time
}

// HostShares is the holder's view of the shares that a domain leader grants to one
// host. The caller must apply each change to its buckets and counters before it calls
// Request again, because that request confirms the change.
type HostShares struct {
	epoch        uint64
	lastRequest  uint64 // sequence of the last request
	appliedGrant uint64 // sequence of the newest grant in effect
	until        time.Time
	needFull     bool // the next request must report all resources
	leaving      bool
	heldOver     bool // the lease was extended without a leader; shares of accounts are reduced
	shares       map[Resource]Share
	lastReports  map[Resource]lastReport
	acknowledged uint64 // sequence of the newest request that the leader processed
	unanswered   []sentRequest
	mutations    mutations
}

// lastReport is the last report about one resource.
type lastReport struct {
	report   Report
	sequence uint64 // of the first request that carried it
}

// NewHostShares returns a holder without shares.
func NewHostShares() *HostShares {
	return &HostShares{needFull: true, shares: map[Resource]Share{}, lastReports: map[Resource]lastReport{}}
}

// Epoch returns the highest leadership epoch known.
func (h *HostShares) Epoch() uint64 { return h.epoch }

// Until returns the end of the lease, which is the same for all shares.
func (h *HostShares) Until() time.Time { return h.until }

// Share returns the share of a resource.
func (h *HostShares) Share(r Resource) Share { return h.shares[r] }

// ObserveEpoch records a leader's epoch. Replies with lower epochs are rejected from
// then on.
func (h *HostShares) ObserveEpoch(epoch uint64) {
	if epoch <= h.epoch {
		return
	}
	h.epoch = epoch
	h.resync()
}

// resync makes the next request report all resources. Replies to earlier requests
// no longer have an effect.
func (h *HostShares) resync() {
	h.needFull = true
	if !h.mutations.ignoreEpoch {
		h.unanswered = nil
	}
	h.appliedGrant = 0
	h.acknowledged = 0
	clear(h.lastReports)
}

// Leave makes all further requests release the shares. It returns the changes, which
// the caller must apply before it calls Request again.
func (h *HostShares) Leave() []ShareChange {
	h.leaving = true
	h.until = time.Time{}
	return h.dropAll()
}

// Expire drops all shares if their lease has expired, and returns the changes. The
// caller must call it before each Request.
func (h *HostShares) Expire(now time.Time) []ShareChange {
	if now.Before(h.until) || len(h.shares) == 0 {
		return nil
	}
	h.resync()
	h.heldOver = false
	return h.dropAll()
}

// HoldOver extends the lease without a renewal by a leader, to the given lease counted
// from asked. The caller must have learned from all hosts of the domain, at or after
// asked, that there is no leader. The first call after a renewal reduces the shares of
// accounts to floorFraction, the fraction of the domain's share that does not expire.
// HoldOver returns the changes.
func (h *HostShares) HoldOver(now, asked time.Time, lease time.Duration, floorFraction float64) []ShareChange {
	if h.leaving || !now.Before(h.until) {
		return nil
	}
	var changes []ShareChange
	if !h.heldOver {
		h.resync()
		h.heldOver = true
		changes = h.scaleAccountShares(floorFraction)
	}
	h.extend(now, asked, lease)
	return changes
}

// scaleAccountShares multiplies the shares of accounts by fraction.
func (h *HostShares) scaleAccountShares(fraction float64) []ShareChange {
	var changes []ShareChange
	for _, resource := range slices.Sorted(maps.Keys(h.shares)) {
		if _, account := resource.Account(); account {
			changes = append(changes, h.setShare(resource, h.shares[resource].Scale(fraction))...)
		}
	}
	return changes
}

func (h *HostShares) dropAll() []ShareChange {
	var changes []ShareChange
	for _, resource := range slices.Sorted(maps.Keys(h.shares)) {
		changes = append(changes, h.setShare(resource, Share{})...)
	}
	return changes
}

// Request returns the next request to the leader. The function usage returns the
// current use of a resource; it is called for each resource that has a share or was
// reported before, and for each one in wanted.
func (h *HostShares) Request(now time.Time, wanted []Resource, usage func(Resource) Usage) RenewRequest {
	h.lastRequest++
	h.recordSent(now)
	request := RenewRequest{
		Epoch:    h.epoch,
		Sequence: h.lastRequest,
		Applied:  h.appliedGrant,
		Full:     h.needFull,
		Leaving:  h.leaving,
	}
	for resource := range h.resourcesToReport(wanted) {
		if report, changed := h.updateReport(resource, usage(resource)); changed {
			request.Reports = append(request.Reports, report)
		}
	}
	slices.SortFunc(request.Reports, func(a, b Report) int { return cmp.Compare(a.Resource, b.Resource) })
	return request
}

func (h *HostShares) recordSent(now time.Time) {
	h.unanswered = append(h.unanswered, sentRequest{sequence: h.lastRequest, sentAt: now})
	if len(h.unanswered) > maxInFlight {
		h.unanswered = slices.Delete(h.unanswered, 0, 1)
	}
}

// resourcesToReport returns the resources that have a share or were reported before,
// and those in wanted.
func (h *HostShares) resourcesToReport(wanted []Resource) map[Resource]struct{} {
	set := make(map[Resource]struct{}, len(h.lastReports)+len(wanted))
	for r := range h.shares {
		set[r] = struct{}{}
	}
	for r := range h.lastReports {
		set[r] = struct{}{}
	}
	for _, r := range wanted {
		set[r] = struct{}{}
	}
	return set
}

// updateReport updates the report about one resource. It returns true if the leader
// may not have received the report yet.
func (h *HostShares) updateReport(resource Resource, usage Usage) (Report, bool) {
	current := Report{Resource: resource, Share: h.shares[resource], InUse: usage.InUse, Demand: usage.Demand}
	last, found := h.lastReports[resource]
	if !found || last.report != current {
		last = lastReport{report: current, sequence: h.lastRequest}
		h.lastReports[resource] = last
	}
	return last.report, h.needFull || last.sequence > h.acknowledged
}

// ShareChange is a change of the share of one resource.
type ShareChange struct {
	Resource Resource
	Share    Share
}

// Apply processes the leader's reply. It returns the changes, which the caller must
// apply before it extends the lease of its buckets to Until. A reply with a lower
// epoch, or to an unknown or already answered request, has no effect.
func (h *HostShares) Apply(now time.Time, reply RenewReply) []ShareChange {
	if reply.Epoch < h.epoch && !h.mutations.ignoreEpoch {
		return nil
	}
	h.ObserveEpoch(reply.Epoch)
	sentAt, found := h.takeUnanswered(reply.Request)
	if !found {
		return nil
	}
	if reply.Resync {
		h.resync()
		return nil
	}
	if h.leaving {
		return nil
	}
	h.needFull = false
	h.heldOver = false
	h.acknowledged = max(h.acknowledged, reply.Request)
	changes := h.applyGrants(reply)
	h.extend(now, sentAt, reply.Lease)
	return changes
}

// takeUnanswered removes a request from the unanswered ones and returns when it was
// sent.
func (h *HostShares) takeUnanswered(sequence uint64) (time.Time, bool) {
	i := slices.IndexFunc(h.unanswered, func(s sentRequest) bool { return s.sequence == sequence })
	if i < 0 {
		return time.Time{}, false
	}
	sentAt := h.unanswered[i].sentAt
	h.unanswered = slices.Delete(h.unanswered, i, i+1)
	return sentAt, true
}

func (h *HostShares) applyGrants(reply RenewReply) []ShareChange {
	if reply.Sequence <= h.appliedGrant {
		return nil
	}
	h.appliedGrant = reply.Sequence
	var changes []ShareChange
	granted := make(map[Resource]struct{}, len(reply.Grants))
	for _, grant := range reply.Grants {
		granted[grant.Resource] = struct{}{}
		changes = append(changes, h.setShare(grant.Resource, grant.Share)...)
	}
	if !reply.Reset {
		return changes
	}
	for _, resource := range slices.Sorted(maps.Keys(h.shares)) {
		if _, ok := granted[resource]; !ok {
			changes = append(changes, h.setShare(resource, Share{})...)
		}
	}
	return changes
}

func (h *HostShares) setShare(resource Resource, share Share) []ShareChange {
	if h.shares[resource] == share {
		return nil
	}
	if share.IsZero() {
		delete(h.shares, resource)
	} else {
		h.shares[resource] = share
	}
	return []ShareChange{{Resource: resource, Share: share}}
}

func (h *HostShares) extend(now, sentAt time.Time, lease time.Duration) {
	if h.mutations.leaseFromReply {
		sentAt = now
	}
	if until := sentAt.Add(lease); until.After(h.until) {
		h.until = until
	}
}
