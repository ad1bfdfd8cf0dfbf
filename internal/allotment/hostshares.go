package allotment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxInFlight bounds the unanswered requests that a holder remembers.
const maxInFlight = 64

// sentRequest is one unanswered request.
type sentRequest struct {
	sequence uint64
	at       time.Time
}

// HostShares is the holder's side of the shares that a domain leader grants to
// one host. The caller applies each change to its buckets and counters before it
// asks for the next request, because that request confirms the change.
type HostShares struct {
	epoch    uint64
	sequence uint64 // last request
	applied  uint64 // newest grant sequence in effect
	until    time.Time
	full     bool // the next request must be complete
	leaving  bool
	heldOver bool // the shares last without a leader; those of accounts are reduced
	shares   map[Resource]Share
	reported map[Resource]reported
	acked    uint64 // newest request that the leader processed
	sent     []sentRequest
	rules    rules
}

// reported is the last report of one resource.
type reported struct {
	report   Report
	sequence uint64 // request that first carried it
}

// NewHostShares returns a holder without shares.
func NewHostShares() *HostShares {
	return &HostShares{full: true, shares: map[Resource]Share{}, reported: map[Resource]reported{}}
}

// Epoch returns the highest epoch known.
func (h *HostShares) Epoch() uint64 { return h.epoch }

// Until returns the end of the term of all shares.
func (h *HostShares) Until() time.Time { return h.until }

// Share returns the share of a resource.
func (h *HostShares) Share(r Resource) Share { return h.shares[r] }

// Observe learns of a leader's epoch. A higher one fences all lower ones.
func (h *HostShares) Observe(epoch uint64) {
	if epoch <= h.epoch {
		return
	}
	h.epoch = epoch
	h.resync()
}

// resync makes the next request complete. Answers to former requests have no
// effect any more.
func (h *HostShares) resync() {
	h.full = true
	if !h.rules.ignoreEpoch {
		h.sent = nil
	}
	h.applied = 0
	h.acked = 0
	clear(h.reported)
}

// Leave makes all further requests give the shares back. It returns the shares
// to change; the caller stops to use them before it asks for the next request.
func (h *HostShares) Leave() []Change {
	h.leaving = true
	h.until = time.Time{}
	return h.drop()
}

// Expire drops the shares whose term is over and returns the shares to change.
// The caller calls it before each Request.
func (h *HostShares) Expire(now time.Time) []Change {
	if now.Before(h.until) || len(h.shares) == 0 {
		return nil
	}
	h.resync()
	h.heldOver = false
	return h.drop()
}

// HoldOver extends the term to asked plus term although no leader renews it. The
// caller has learned at or after asked, from all hosts of the domain, that there is
// no leader. Shares of accounts are first reduced to floor, the part of the
// domain's share that has no end. It returns the shares to change.
func (h *HostShares) HoldOver(now, asked time.Time, term time.Duration, floor float64) []Change {
	if h.leaving || !now.Before(h.until) {
		return nil
	}
	var changes []Change
	if !h.heldOver {
		h.resync()
		h.heldOver = true
		changes = h.reduce(floor)
	}
	h.extend(now, asked, term)
	return changes
}

// reduce scales the shares of accounts.
func (h *HostShares) reduce(fraction float64) []Change {
	var changes []Change
	for _, resource := range slices.Sorted(maps.Keys(h.shares)) {
		if _, account := resource.Account(); account {
			changes = append(changes, h.set(resource, h.shares[resource].Scale(fraction))...)
		}
	}
	return changes
}

func (h *HostShares) drop() []Change {
	var changes []Change
	for _, resource := range slices.Sorted(maps.Keys(h.shares)) {
		changes = append(changes, h.set(resource, Share{})...)
	}
	return changes
}

// Request returns the next request to the leader. Usage returns the present use
// of a resource; it is called for each resource that has a share and for each
// one in wanted.
func (h *HostShares) Request(now time.Time, wanted []Resource, usage func(Resource) Usage) RenewRequest {
	h.sequence++
	h.remember(now)
	request := RenewRequest{
		Epoch:    h.epoch,
		Sequence: h.sequence,
		Applied:  h.applied,
		Full:     h.full,
		Leaving:  h.leaving,
	}
	for resource := range h.resources(wanted) {
		if report, changed := h.report(resource, usage(resource)); changed {
			request.Reports = append(request.Reports, report)
		}
	}
	slices.SortFunc(request.Reports, func(a, b Report) int { return cmp.Compare(a.Resource, b.Resource) })
	return request
}

func (h *HostShares) remember(now time.Time) {
	h.sent = append(h.sent, sentRequest{sequence: h.sequence, at: now})
	if len(h.sent) > maxInFlight {
		h.sent = slices.Delete(h.sent, 0, 1)
	}
}

// resources returns each resource with a share, a former report or a wish.
func (h *HostShares) resources(wanted []Resource) map[Resource]struct{} {
	set := make(map[Resource]struct{}, len(h.reported)+len(wanted))
	for r := range h.shares {
		set[r] = struct{}{}
	}
	for r := range h.reported {
		set[r] = struct{}{}
	}
	for _, r := range wanted {
		set[r] = struct{}{}
	}
	return set
}

// report updates the report of one resource and says whether the leader may not
// have it yet.
func (h *HostShares) report(resource Resource, usage Usage) (Report, bool) {
	current := Report{Resource: resource, Share: h.shares[resource], Held: usage.Held, Demand: usage.Demand}
	last, known := h.reported[resource]
	if !known || last.report != current {
		last = reported{report: current, sequence: h.sequence}
		h.reported[resource] = last
	}
	return last.report, h.full || last.sequence > h.acked
}

// Change is one share that has a new size.
type Change struct {
	Resource Resource
	Share    Share
}

// Apply takes the leader's answer. It returns the shares to change, which the
// caller must do before it extends the term to Until. An answer of a lower epoch,
// or to an unknown or already answered request, has no effect.
func (h *HostShares) Apply(now time.Time, answer RenewResponse) []Change {
	if answer.Epoch < h.epoch && !h.rules.ignoreEpoch {
		return nil
	}
	h.Observe(answer.Epoch)
	sentAt, known := h.answered(answer.Request)
	if !known {
		return nil
	}
	if answer.Resync {
		h.resync()
		return nil
	}
	if h.leaving {
		return nil
	}
	h.full = false
	h.heldOver = false
	h.acked = max(h.acked, answer.Request)
	changes := h.apply(answer)
	h.extend(now, sentAt, answer.Term)
	return changes
}

// answered removes the request from the unanswered ones and returns its time.
func (h *HostShares) answered(sequence uint64) (time.Time, bool) {
	i := slices.IndexFunc(h.sent, func(s sentRequest) bool { return s.sequence == sequence })
	if i < 0 {
		return time.Time{}, false
	}
	at := h.sent[i].at
	h.sent = slices.Delete(h.sent, i, i+1)
	return at, true
}

func (h *HostShares) apply(answer RenewResponse) []Change {
	if answer.Sequence <= h.applied {
		return nil
	}
	h.applied = answer.Sequence
	var changes []Change
	granted := make(map[Resource]struct{}, len(answer.Grants))
	for _, grant := range answer.Grants {
		granted[grant.Resource] = struct{}{}
		changes = append(changes, h.set(grant.Resource, grant.Share)...)
	}
	if !answer.Reset {
		return changes
	}
	for _, resource := range slices.Sorted(maps.Keys(h.shares)) {
		if _, ok := granted[resource]; !ok {
			changes = append(changes, h.set(resource, Share{})...)
		}
	}
	return changes
}

func (h *HostShares) set(resource Resource, share Share) []Change {
	if h.shares[resource] == share {
		return nil
	}
	if share.IsZero() {
		delete(h.shares, resource)
	} else {
		h.shares[resource] = share
	}
	return []Change{{Resource: resource, Share: share}}
}

func (h *HostShares) extend(now, sentAt time.Time, term time.Duration) {
	if h.rules.termFromAnswer {
		sentAt = now
	}
	if until := sentAt.Add(term); until.After(h.until) {
		h.until = until
	}
}
