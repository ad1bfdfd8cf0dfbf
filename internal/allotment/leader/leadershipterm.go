package leader

import (
	"context"
	"math"
	"slices"
	"time"

	"peridotrail/internal/allotment"
	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// leadershipTerm is the state of one leadership epoch. The Leader's mutex guards it.
type leadershipTerm struct {
	options      Options
	epoch        uint64
	cancel       context.CancelFunc
	closed       bool // set by a handover: nothing more is granted or renewed
	storeRead    bool // all documents and records have been read
	lease        *allotment.DomainLease
	observer     *allotment.DomainObserver
	views        []*allotment.DocumentView
	allotment    *allotment.DomainAllotment
	accounts     map[string]struct{} // accounts in the documents at the last update
	demands      map[string]float64  // by account; averages with demandHalfLife, in requests per second
	averagedAt   time.Time
	rebalancedAt []time.Time // by document: end of the last rebalanceWindow
	// upstreams are those of the domain at the last update.
	upstreams map[string]struct{}
}

func newLeadershipTerm(o Options, epoch uint64, cancel context.CancelFunc) *leadershipTerm {
	now := o.Now()
	timing := o.Timing
	term := &leadershipTerm{
		options:      o,
		epoch:        epoch,
		cancel:       cancel,
		lease:        allotment.NewDomainLease(o.Self.FailureDomain, epoch, timing.DomainLease),
		observer:     allotment.NewDomainObserver(now, o.Self.FailureDomain, timing.DomainLease, timing.Margin),
		allotment:    allotment.NewDomainAllotment(now, epoch, allotment.LeaseTimes{Lease: timing.HostLease, Margin: timing.Margin, Deadline: defaultMaxDeadline}),
		accounts:     map[string]struct{}{},
		demands:      map[string]float64{},
		averagedAt:   now,
		rebalancedAt: make([]time.Time, allotment.DocumentCount),
		upstreams:    map[string]struct{}{},
	}
	for i := range allotment.DocumentCount {
		term.views = append(term.views, allotment.NewDocumentView(o.Self.FailureDomain, i))
	}
	return term
}

func (t *leadershipTerm) stop() { t.cancel() }

// ready reports whether shares may be divided: the store has been read, and the
// domain's record names this epoch.
func (t *leadershipTerm) ready() bool { return t.storeRead && t.lease.Owned() }

// observe processes an entry that was read from the store.
func (t *leadershipTerm) observe(now time.Time, entry kvstore.Entry) error {
	if domain, ok := allotment.DomainFromKey(entry.Key); ok {
		if domain == t.options.Self.FailureDomain {
			return t.lease.Observe(entry)
		}
		return t.observer.Observe(now, domain, entry)
	}
	if index, ok := allotment.DocumentIndexFromKey(entry.Key); ok {
		return t.views[index].Observe(entry)
	}
	return nil
}

// extraShareUsable reports whether the domain's hosts may use its extra shares: whether
// the lease of the domain's record outlasts a host's lease that starts now. The extra
// share is the part of the domain's share of an account above its floor. It is valid
// while the domain's record is renewed.
func (t *leadershipTerm) extraShareUsable(now time.Time) bool {
	return now.Add(t.options.Timing.HostLease).Before(t.lease.Until())
}

// divide divides the domain's shares among its hosts.
func (t *leadershipTerm) divide(now time.Time, snapshot *configuration.Snapshot) {
	if snapshot == nil || !t.ready() || t.closed {
		return
	}
	if previous, known := t.lease.PreviousHolders(); known {
		t.allotment.SetPreviousHolders(previous)
	}
	t.allotment.SetExtraUntil(t.lease.Until())
	t.updateAccounts(now, snapshot)
	t.updateUpstreams(snapshot)
	t.allotment.Divide(now)
}

// updateAccounts sets the limits of accounts to the domain's shares in the documents.
func (t *leadershipTerm) updateAccounts(now time.Time, snapshot *configuration.Snapshot) {
	extra := t.extraShareUsable(now)
	seen := map[string]struct{}{}
	for _, view := range t.views {
		fenced := view.Fenced(t.epoch)
		for _, a := range view.Document().Accounts {
			resource := allotment.AccountResource(a.Account)
			limit, domainShare, floor := view.UsableShare(a.Account, t.lease.Generation(), extra)
			if markedDead(snapshot, t.options.Self.FailureDomain) {
				limit, domainShare, floor = allotment.Share{}, allotment.Share{}, allotment.Share{}
			}
			t.allotment.SetLimit(resource, limit, domainShare, floor)
			if fenced {
				t.allotment.Fence(resource)
			}
			seen[a.Account] = struct{}{}
		}
	}
	for name := range t.accounts {
		if _, ok := seen[name]; !ok {
			t.allotment.SetLimit(allotment.AccountResource(name), allotment.Share{}, allotment.Share{}, allotment.Share{})
		}
	}
	t.accounts = seen
}

// updateUpstreams sets the limits of the domain's upstreams to the slots and
// connections of the configuration, and the largest request deadline.
func (t *leadershipTerm) updateUpstreams(snapshot *configuration.Snapshot) {
	seen := map[string]struct{}{}
	for _, u := range snapshot.Upstreams {
		if u.FailureDomain != t.options.Self.FailureDomain {
			continue
		}
		resource := allotment.UpstreamResource(u.Name)
		limit := allotment.Share{Slots: u.Slots, Connections: u.Connections}
		t.allotment.SetLimit(resource, limit, limit, limit)
		t.allotment.Fence(resource)
		seen[u.Name] = struct{}{}
	}
	for name := range t.upstreams {
		if _, ok := seen[name]; !ok {
			t.allotment.SetLimit(allotment.UpstreamResource(name), allotment.Share{}, allotment.Share{}, allotment.Share{})
		}
	}
	t.upstreams = seen
	for _, s := range snapshot.Services {
		t.allotment.RaiseDeadline(s.MaxDeadline.Std())
	}
}

func markedDead(snapshot *configuration.Snapshot, domain string) bool {
	d := snapshot.Domain(domain)
	return d != nil && d.Dead
}

// peerDomains returns the other domains whose leaders may end this domain's extra shares.
func (t *leadershipTerm) peerDomains(snapshot *configuration.Snapshot) []string {
	var peers []string
	for _, d := range snapshot.FailureDomains {
		if d.Name != t.options.Self.FailureDomain && !d.Dead {
			peers = append(peers, d.Name)
		}
	}
	return peers
}

// planInput returns the input for the plan of the document with the given index.
func (t *leadershipTerm) planInput(now time.Time, snapshot *configuration.Snapshot, index int) allotment.FleetPlanInput {
	in := allotment.FleetPlanInput{
		Domain:           t.options.Self.FailureDomain,
		Epoch:            t.epoch,
		Generation:       t.lease.Generation(),
		Revision:         uint64(snapshot.Revision),
		Generations:      t.observer.Generations(),
		FloorFraction:    t.options.FloorFraction,
		ExtraShareUsable: t.extraShareUsable(now),
		Demand:           func(account string) float64 { return t.demands[account] },
		InEffect: func(account string, limit allotment.Share) bool {
			return t.allotment.InEffect(now, allotment.AccountResource(account), limit)
		},
	}
	in.Generations[in.Domain] = in.Generation
	for _, a := range snapshot.ClientAccounts {
		if allotment.DocumentForAccount(a.Name) == index {
			limit := allotment.Share{Rate: a.Rate, Burst: float64(a.Burst)}
			in.Accounts = append(in.Accounts, allotment.Account{Name: a.Name, Limit: limit})
		}
	}
	for _, d := range snapshot.FailureDomains {
		if d.Dead {
			in.Dead = append(in.Dead, d.Name)
		} else {
			in.Domains = append(in.Domains, d.Name)
		}
	}
	slices.Sort(in.Domains)
	return in
}

// demandHalfLife is the half-life of the averaged demand. Shares of domains follow the
// demand slowly, because loans of tokens cover sudden changes.
const demandHalfLife = 30 * time.Second

// averageDemand updates the moving average of the domain's demand with the current
// demand of its hosts.
func (t *leadershipTerm) averageDemand(now time.Time, snapshot *configuration.Snapshot) {
	decay := math.Exp2(-now.Sub(t.averagedAt).Seconds() / demandHalfLife.Seconds())
	t.averagedAt = now
	for _, a := range snapshot.ClientAccounts {
		previous, known := t.demands[a.Name]
		if !known {
			previous = t.publishedDemand(a.Name)
		}
		current := t.allotment.Demand(now, allotment.AccountResource(a.Name))
		t.demands[a.Name] = previous*decay + current*(1-decay)
	}
}

// publishedDemand returns the domain's demand in the account's allotment document. A new
// leader starts the moving average of the domain's demand for the account with it.
func (t *leadershipTerm) publishedDemand(account string) float64 {
	a := t.views[allotment.DocumentForAccount(account)].Document().Account(account)
	if a == nil {
		return 0
	}
	return a.Domain(t.options.Self.FailureDomain).Demand
}

// rebalanceInterval is the time after which the shares of a document may be reduced
// again to follow the demand.
const rebalanceInterval = 10 * time.Second

// rebalanceWindow is the time for such a reduction to take effect at the hosts and to
// be written.
const rebalanceWindow = 3 * time.Second

// plan plans all documents and returns the writes by index of the document. Operation
// returns an identifier for each write.
func (t *leadershipTerm) plan(now time.Time, snapshot *configuration.Snapshot, operation func() string) map[int]kvstore.Write {
	t.averageDemand(now, snapshot)
	writes := map[int]kvstore.Write{}
	for i, view := range t.views {
		if !view.Loaded() {
			continue
		}
		in := t.planInput(now, snapshot, i)
		if len(in.Accounts) == 0 && len(view.Document().Accounts) == 0 {
			continue
		}
		in.Rebalance = now.Sub(t.rebalancedAt[i]) >= rebalanceInterval
		if write, ok := view.Plan(in, operation()); ok {
			writes[i] = write
		}
		if in.Rebalance && now.Sub(t.rebalancedAt[i]) >= rebalanceInterval+rebalanceWindow {
			t.rebalancedAt[i] = now
		}
	}
	return writes
}

// fenceWrites returns the writes that end the extra shares of silent domains, by
// domain. Operation returns an identifier for each write.
func (t *leadershipTerm) fenceWrites(now time.Time, operation func() string) map[string]kvstore.Write {
	writes := map[string]kvstore.Write{}
	generations := t.observer.Generations()
	for _, domain := range t.observer.ExpiredDomains(now) {
		if !t.hasExtra(domain, generations[domain]) {
			continue
		}
		if write, ok := t.observer.Fence(domain, operation()); ok {
			writes[domain] = write
		}
	}
	return writes
}

func (t *leadershipTerm) hasExtra(domain string, generation uint64) bool {
	for _, view := range t.views {
		for _, a := range view.Document().Accounts {
			share := a.Domain(domain)
			if !share.Extra.IsZero() && share.Generation == generation {
				return true
			}
		}
	}
	return false
}

// storeKeys returns the keys that must be read before the leadership term is ready,
// so that missing ones can be recognised.
func (t *leadershipTerm) storeKeys() map[string]struct{} {
	keys := map[string]struct{}{allotment.DomainKey(t.options.Self.FailureDomain): {}}
	for i := range t.views {
		keys[allotment.DocumentKey(i)] = struct{}{}
	}
	return keys
}

const (
	localLenders  = 2 // number of suggested hosts of this domain
	remoteLenders = 2 // number of suggested leaders of other domains
)

// lenders returns hosts of this domain, followed by leaders of other domains. Of each
// it returns the one with the largest surplus and the one with the largest share.
func (t *leadershipTerm) lenders(now time.Time, account string, borrower host.ID) []host.ID {
	ids := t.allotment.Lenders(now, allotment.AccountResource(account), borrower, localLenders)
	a := t.views[allotment.DocumentForAccount(account)].Document().Account(account)
	if a == nil {
		return ids
	}
	for _, domain := range a.Lenders(t.options.Self.FailureDomain, remoteLenders) {
		if id := t.observer.LeaderOf(domain); id != "" && id != borrower {
			ids = append(ids, id)
		}
	}
	return ids
}
