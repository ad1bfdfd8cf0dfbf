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

// reign is the state of one epoch of the leadership. The Leader's mutex guards it.
type reign struct {
	options  Options
	epoch    uint64
	cancel   context.CancelFunc
	closed   bool // no further renewals
	read     bool // the store was read completely
	term     *allotment.DomainLease
	observer *allotment.DomainObserver
	views    []*allotment.DocumentView
	hosts    *allotment.DomainAllotment
	accounts map[string]struct{} // with a share in hosts
	demands  map[string]float64  // of the accounts, averaged over demandHalfLife
	averaged time.Time
	balanced []time.Time // by document: when shares last shrank because of demand
	// upstreams of the last configuration
	upstreams map[string]struct{}
}

func newReign(o Options, epoch uint64, cancel context.CancelFunc) *reign {
	now := o.Now()
	t := o.Timing
	r := &reign{
		options:   o,
		epoch:     epoch,
		cancel:    cancel,
		term:      allotment.NewDomainLease(o.Self.FailureDomain, epoch, t.DomainTerm),
		observer:  allotment.NewDomainObserver(now, o.Self.FailureDomain, t.DomainTerm, t.Margin),
		hosts:     allotment.NewDomainAllotment(now, epoch, allotment.LeaseTimes{Lease: t.HostTerm, Margin: t.Margin, Deadline: defaultHold}),
		accounts:  map[string]struct{}{},
		demands:   map[string]float64{},
		averaged:  now,
		balanced:  make([]time.Time, allotment.DocumentCount),
		upstreams: map[string]struct{}{},
	}
	for i := range allotment.DocumentCount {
		r.views = append(r.views, allotment.NewDocumentView(o.Self.FailureDomain, i))
	}
	return r
}

func (r *reign) stop() { r.cancel() }

// ready reports whether shares may be divided: the store has been read, and the
// domain's record names this epoch.
func (r *reign) ready() bool { return r.read && r.term.Owned() }

// observe takes an entry of the store.
func (r *reign) observe(now time.Time, entry kvstore.Entry) error {
	if domain, ok := allotment.DomainFromKey(entry.Key); ok {
		if domain == r.options.Self.FailureDomain {
			return r.term.Observe(entry)
		}
		return r.observer.Observe(now, domain, entry)
	}
	if index, ok := allotment.DocumentIndexFromKey(entry.Key); ok {
		return r.views[index].Observe(entry)
	}
	return nil
}

// extraValid reports whether the domain's extra shares outlast a host's term.
func (r *reign) extraValid(now time.Time) bool {
	return now.Add(r.options.Timing.HostTerm).Before(r.term.Until())
}

// divide passes the domain's shares on to its hosts.
func (r *reign) divide(now time.Time, snapshot *configuration.Snapshot) {
	if snapshot == nil || !r.ready() || r.closed {
		return
	}
	if former, known := r.term.PreviousHolders(); known {
		r.hosts.SetPreviousHolders(former)
	}
	r.hosts.SetExtraUntil(r.term.Until())
	r.setAccounts(now, snapshot)
	r.setUpstreams(snapshot)
	r.hosts.Divide(now)
}

// setAccounts takes the domain's share of each account from the documents.
func (r *reign) setAccounts(now time.Time, snapshot *configuration.Snapshot) {
	extra := r.extraValid(now)
	seen := map[string]struct{}{}
	for _, view := range r.views {
		fenced := view.Fenced(r.epoch)
		for _, a := range view.Document().Accounts {
			resource := allotment.AccountResource(a.Account)
			whole, total, assured := view.UsableShare(a.Account, r.term.Generation(), extra)
			if dead(snapshot, r.options.Self.FailureDomain) {
				whole, total, assured = allotment.Share{}, allotment.Share{}, allotment.Share{}
			}
			r.hosts.SetLimit(resource, whole, total, assured)
			if fenced {
				r.hosts.Fence(resource)
			}
			seen[a.Account] = struct{}{}
		}
	}
	for name := range r.accounts {
		if _, ok := seen[name]; !ok {
			r.hosts.SetLimit(allotment.AccountResource(name), allotment.Share{}, allotment.Share{}, allotment.Share{})
		}
	}
	r.accounts = seen
}

// setUpstreams takes the slots and connections of the domain's upstreams from the
// configuration.
func (r *reign) setUpstreams(snapshot *configuration.Snapshot) {
	seen := map[string]struct{}{}
	for _, u := range snapshot.Upstreams {
		if u.FailureDomain != r.options.Self.FailureDomain {
			continue
		}
		resource := allotment.UpstreamResource(u.Name)
		whole := allotment.Share{Slots: u.Slots, Connections: u.Connections}
		r.hosts.SetLimit(resource, whole, whole, whole)
		r.hosts.Fence(resource)
		seen[u.Name] = struct{}{}
	}
	for name := range r.upstreams {
		if _, ok := seen[name]; !ok {
			r.hosts.SetLimit(allotment.UpstreamResource(name), allotment.Share{}, allotment.Share{}, allotment.Share{})
		}
	}
	r.upstreams = seen
	for _, s := range snapshot.Services {
		r.hosts.RaiseDeadline(s.MaxDeadline.Std())
	}
}

func dead(snapshot *configuration.Snapshot, domain string) bool {
	d := snapshot.Domain(domain)
	return d != nil && d.Dead
}

// peers returns the other domains whose leaders may end this domain's extra shares.
func (r *reign) peers(snapshot *configuration.Snapshot) []string {
	var peers []string
	for _, d := range snapshot.FailureDomains {
		if d.Name != r.options.Self.FailureDomain && !d.Dead {
			peers = append(peers, d.Name)
		}
	}
	return peers
}

// input returns what a document is planned from.
func (r *reign) input(now time.Time, snapshot *configuration.Snapshot, index int) allotment.FleetPlanInput {
	in := allotment.FleetPlanInput{
		Domain:        r.options.Self.FailureDomain,
		Epoch:         r.epoch,
		Generation:    r.term.Generation(),
		Revision:      uint64(snapshot.Revision),
		Generations:   r.observer.Generations(),
		FloorFraction: r.options.FloorFraction,
		ExtraValid:    r.extraValid(now),
		Demand:        func(account string) float64 { return r.demands[account] },
		InEffect: func(account string, limit allotment.Share) bool {
			return r.hosts.InEffect(now, allotment.AccountResource(account), limit)
		},
	}
	in.Generations[in.Domain] = in.Generation
	for _, a := range snapshot.ClientAccounts {
		if allotment.DocumentForAccount(a.Name) == index {
			whole := allotment.Share{Rate: a.Rate, Burst: float64(a.Burst)}
			in.Accounts = append(in.Accounts, allotment.Account{Name: a.Name, Limit: whole})
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

// demandHalfLife is the half-life of the domain's demand. Shares of domains follow
// it slowly; tokens that are lent follow the callers at once.
const demandHalfLife = 30 * time.Second

// average folds the present demand of the hosts into the domain's demand.
func (r *reign) average(now time.Time, snapshot *configuration.Snapshot) {
	keep := math.Exp2(-now.Sub(r.averaged).Seconds() / demandHalfLife.Seconds())
	r.averaged = now
	for _, a := range snapshot.ClientAccounts {
		former, known := r.demands[a.Name]
		if !known {
			former = r.published(a.Name)
		}
		present := r.hosts.Demand(now, allotment.AccountResource(a.Name))
		r.demands[a.Name] = former*keep + present*(1-keep)
	}
}

// published returns the demand that a former leader of the domain wrote.
func (r *reign) published(account string) float64 {
	a := r.views[allotment.DocumentForAccount(account)].Document().Account(account)
	if a == nil {
		return 0
	}
	return a.Domain(r.options.Self.FailureDomain).Demand
}

// rebalanceEvery is the time between reductions of a document's shares because of
// demand.
const rebalanceEvery = 10 * time.Second

// rebalanceFor is how long a reduction may take to come into effect at the hosts.
const rebalanceFor = 3 * time.Second

// plan returns the writes of documents that are due.
func (r *reign) plan(now time.Time, snapshot *configuration.Snapshot, operation func() string) map[int]kvstore.Write {
	r.average(now, snapshot)
	writes := map[int]kvstore.Write{}
	for i, view := range r.views {
		if !view.Loaded() {
			continue
		}
		in := r.input(now, snapshot, i)
		if len(in.Accounts) == 0 && len(view.Document().Accounts) == 0 {
			continue
		}
		in.Rebalance = now.Sub(r.balanced[i]) >= rebalanceEvery
		if write, ok := view.Plan(in, operation()); ok {
			writes[i] = write
		}
		if in.Rebalance && now.Sub(r.balanced[i]) >= rebalanceEvery+rebalanceFor {
			r.balanced[i] = now
		}
	}
	return writes
}

// fences returns the writes that end extra shares of silent domains.
func (r *reign) fences(now time.Time, operation func() string) map[string]kvstore.Write {
	writes := map[string]kvstore.Write{}
	generations := r.observer.Generations()
	for _, domain := range r.observer.ExpiredDomains(now) {
		if !r.hasExtra(domain, generations[domain]) {
			continue
		}
		if write, ok := r.observer.Fence(domain, operation()); ok {
			writes[domain] = write
		}
	}
	return writes
}

func (r *reign) hasExtra(domain string, generation uint64) bool {
	for _, view := range r.views {
		for _, a := range view.Document().Accounts {
			share := a.Domain(domain)
			if !share.Extra.IsZero() && share.Generation == generation {
				return true
			}
		}
	}
	return false
}

// keys returns all store keys that a reign reads, to learn which do not exist.
func (r *reign) keys() map[string]struct{} {
	keys := map[string]struct{}{allotment.DomainKey(r.options.Self.FailureDomain): {}}
	for i := range r.views {
		keys[allotment.DocumentKey(i)] = struct{}{}
	}
	return keys
}

const (
	nearLenders = 2 // suggested hosts of the own domain
	farLenders  = 2 // suggested leaders of other domains
)

// lenders returns hosts of the domain and then leaders of other domains: of each
// the one with the largest surplus and the one with the largest share.
func (r *reign) lenders(now time.Time, account string, borrower host.ID) []host.ID {
	ids := r.hosts.Lenders(now, allotment.AccountResource(account), borrower, nearLenders)
	a := r.views[allotment.DocumentForAccount(account)].Document().Account(account)
	if a == nil {
		return ids
	}
	for _, domain := range a.Lenders(r.options.Self.FailureDomain, farLenders) {
		if id := r.observer.LeaderOf(domain); id != "" && id != borrower {
			ids = append(ids, id)
		}
	}
	return ids
}
