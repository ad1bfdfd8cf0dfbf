package leasedshare

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
)

const (
	// MaxSendDelay bounds the time from a host's decision to use a unit until the use
	// takes effect, such as the time in which a connection is opened.
	MaxSendDelay = 500 * time.Millisecond
	// claimDelay is how long the set of hosts must have been unchanged before a share
	// without a holder is claimed, unless it has had none for maxClaimDelay. Hosts that
	// start together would claim each other's shares otherwise. It is the time in which a
	// registration becomes known to all hosts; requests of limited accounts are refused
	// meanwhile if all hosts have just started.
	claimDelay    = 400 * time.Millisecond
	maxClaimDelay = 1 * time.Second
	// orphanDelay is how long after the last host of a region has gone the hosts of other
	// regions claim its shares.
	orphanDelay = 1 * time.Second
	// startOrphanDelay is the same for a region of which this process has seen no host. It is
	// longer than hosts that start together take to register.
	startOrphanDelay = 5 * time.Second
	// moveDelay is how long the set of hosts must have been unchanged before a host
	// gives up shares that another host should hold.
	moveDelay = 2 * time.Second
	// minLocalHosts is the number of hosts from which a failure domain holds its shares
	// alone. With fewer, the loss of one host would leave many units without a holder.
	minLocalHosts = 4
	// retryDelay is the pause after a claim that failed.
	retryDelay = 1 * time.Second
)

// Options configures a Holder.
type Options struct {
	Host          string
	FailureDomain string            // its group
	Regions       map[string]string // region by failure domain
	LeaseTTL      time.Duration     // the longest TTL of a lease under which any host claims shares
}

// Holder decides which shares this host claims and gives up, and knows which it may
// use. It is safe for concurrent use.
type Holder struct {
	options Options

	mu           sync.Mutex        // guards the fields below
	hosts        map[string]string // failure domain of each known host of any region, this one included
	registered   bool              // this host has read its own registration
	hostsChanged boottime.Instant
	hostsSet     bool
	orphanedFrom map[string]boottime.Instant // when the shares of a region without hosts may be claimed
	shares       map[share]*record
	loaded       boottime.Instant // when the first view of the store was complete, zero before
	lease        kvstore.LeaseID
	leaseValid   boottime.Instant // the lease is certain to exist until then
	era          kvstore.Era      // the era seen last
	eraSeen      boottime.Instant // when this process first saw it
	viewEra      kvstore.Era      // era of the view of the store
	settledEra   kvstore.Era      // the era that settledKey names
	settledSeen  boottime.Instant // when this process read that
	settleRetry  boottime.Instant // when settledKey may be written
	settledAt    kvstore.Revision // of settledKey
	version      uint64           // changes with the shares that are held
	held         *Held            // as of heldVersion and heldSettled
	heldVersion  uint64
	heldSettled  bool
	assigned     map[string][SharesPerGroup]string // results of assign by group, for the hosts known now
}

// record is what this host knows about one share.
type record struct {
	// As read from the store, possibly outdated.
	revision    kvstore.Revision // zero if it has no holder; of an earlier era until the view is of the last one seen
	holder      string
	lease       kvstore.LeaseID
	changedSeen boottime.Instant // when this host read the revision

	// As written by this process. The share is held while the lease exists.
	heldUnder kvstore.LeaseID // zero if it is not held
	heldFrom  boottime.Instant
	readBack  bool // this host has read its claim in the store
	carried   bool // this process held the share when the era before the current one ended

	retryAt boottime.Instant
}

// NewHolder returns a holder without shares.
func NewHolder(options Options) *Holder {
	return &Holder{
		options: options, hosts: map[string]string{options.Host: options.FailureDomain}, orphanedFrom: map[string]boottime.Instant{},
		shares: map[share]*record{}, assigned: map[string][SharesPerGroup]string{},
	}
}

// record returns the record of a share. The caller holds mu.
func (h *Holder) record(s share) *record {
	r := h.shares[s]
	if r == nil {
		r = &record{changedSeen: h.loaded}
		h.shares[s] = r
	}
	return r
}

// Reset replaces the view of the store by a complete one of an era.
func (h *Holder) Reset(entries []kvstore.Entry, era kvstore.Era, now boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enterEra(era, now)
	h.viewEra = era
	if h.loaded == 0 {
		h.loaded, h.hostsChanged = now, now
	}
	present := map[share]bool{}
	settled := kvstore.Entry{Key: settledKey}
	for _, entry := range entries {
		if s, ok := parseKey(entry.Key); ok {
			present[s] = true
			h.apply(s, entry, now)
		}
		if entry.Key == settledKey {
			settled = entry
		}
	}
	h.readSettled(settled, now)
	for s := range h.shares {
		if !present[s] {
			h.apply(s, kvstore.Entry{}, now)
		}
	}
}

// Apply updates the view of the store with a changed entry. Entries that are not
// about shares are ignored.
func (h *Holder) Apply(entry kvstore.Entry, now boottime.Instant) {
	s, isShare := parseKey(entry.Key)
	if !isShare && entry.Key != settledKey {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if isShare {
		h.apply(s, entry, now)
	}
	h.readSettled(entry, now)
}

// enterEra gives up all shares if the era is another one than before: the claims may be gone,
// and other hosts may claim the shares. The caller holds mu.
func (h *Holder) enterEra(era kvstore.Era, now boottime.Instant) {
	if era == h.era {
		return
	}
	leased := h.leased(now)
	h.era, h.eraSeen = era, now
	for _, r := range h.shares {
		r.carried = leased && h.holds(r)
		r.drop()
	}
	h.version++
}

// drop records that the share is not held.
func (r *record) drop() { r.heldUnder, r.readBack = kvstore.LeaseID{}, false }

// apply records the entry of a share. A share whose claim was read and is gone is not held
// any longer: a write of an earlier era may have removed it late. The caller holds mu.
func (h *Holder) apply(s share, entry kvstore.Entry, now boottime.Instant) {
	r := h.record(s)
	if r.revision == entry.Revision {
		return
	}
	r.revision, r.holder, r.lease, r.changedSeen = entry.Revision, string(entry.Value), entry.Lease, now
	switch claimed := r.holder == h.options.Host && r.lease == r.heldUnder; {
	case r.heldUnder.IsZero():
	case claimed:
		r.readBack = true
	case r.readBack:
		r.drop()
		h.version++
	}
}

// SetHosts replaces the known hosts. Shares without a holder are not claimed before the hosts
// include this one.
func (h *Holder) SetHosts(hosts []catalog.Host, now boottime.Instant) {
	known := map[string]string{}
	for _, host := range hosts {
		known[host.Name] = host.FailureDomain
	}
	_, registered := known[h.options.Host]
	known[h.options.Host] = h.options.FailureDomain
	h.mu.Lock()
	defer h.mu.Unlock()
	if !maps.Equal(known, h.hosts) {
		before := h.regionHosts()
		h.hosts = known
		clear(h.assigned)
		if !slices.Equal(before, h.regionHosts()) {
			h.hostsChanged = now
		}
	}
	if registered != h.registered {
		h.registered, h.hostsChanged = registered, now
	}
	h.noteEmptyRegions(h.hostsSet, now)
	h.hostsSet = true
}

// regionHosts returns the names of the known hosts of this host's region, in order. The
// caller holds mu.
func (h *Holder) regionHosts() []string {
	var names []string
	for _, host := range sortedKeys(h.hosts) {
		if h.options.Regions[h.hosts[host]] == h.options.Regions[h.options.FailureDomain] {
			names = append(names, host)
		}
	}
	return names
}

// noteEmptyRegions notes from when the shares of regions without hosts may be claimed. seen
// tells whether this process knew hosts before. The caller holds mu.
func (h *Holder) noteEmptyRegions(seen bool, now boottime.Instant) {
	populated := map[string]bool{}
	for _, domain := range h.hosts {
		populated[h.options.Regions[domain]] = true
	}
	delay := startOrphanDelay
	if seen {
		delay = orphanDelay
	}
	for _, region := range h.options.Regions {
		if _, noted := h.orphanedFrom[region]; populated[region] {
			delete(h.orphanedFrom, region)
		} else if !noted {
			h.orphanedFrom[region] = now.Add(delay)
		}
	}
}

// orphaned reports whether hosts of other regions may claim the shares of a region. The
// caller holds mu.
func (h *Holder) orphaned(region string, now boottime.Instant) bool {
	from, empty := h.orphanedFrom[region]
	return empty && !now.Before(from)
}

// SetLease sets the lease under which this host claims shares, and the instant until
// which the lease is certain to exist. A lease of zero gives up all shares.
func (h *Holder) SetLease(lease kvstore.LeaseID, validUntil, now boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !lease.IsZero() {
		h.enterEra(lease.Era, now)
	}
	if lease != h.lease {
		h.version++
	}
	h.lease, h.leaseValid = lease, validUntil
}

// Leased reports whether the lease of this host is certain to exist now.
func (h *Holder) Leased(now boottime.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leased(now)
}

// leased is Leased for a caller that holds mu.
func (h *Holder) leased(now boottime.Instant) bool {
	return !h.lease.IsZero() && h.lease.Era == h.era && now.Before(h.leaseValid)
}

// RegionUnits returns how many of the n units of a limit that the hosts of this region
// share this host may use now. The limit counts over window, see Usable. The units are
// dealt in turn to the shares of all failure domains of the region, beginning with the
// one that start selects. The units of all hosts never add up to more than n.
func (h *Holder) RegionUnits(n int, start uint64, window time.Duration, now boottime.Instant) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	groups := h.groups()
	shares := SharesPerGroup * len(groups)
	if n <= 0 || shares == 0 {
		return 0
	}
	units := 0
	for i, group := range groups {
		set := h.usable(group, window, now)
		units += n / shares * set.Count()
		for index := range SharesPerGroup {
			if set&(1<<index) != 0 && dealRank(i, index, len(groups), start) < n%shares {
				units++
			}
		}
	}
	return units
}

// dealRank returns the position of a share, by the index of its group and its own, in the
// order in which units are dealt to the shares of all groups. Successive units go to
// different groups.
func dealRank(group, index, groups int, start uint64) int {
	shares := SharesPerGroup * groups
	position := index*groups + group
	return (position + shares - int(start%uint64(shares))) % shares
}

// RegionRank returns the position of the first share that this host holds in the order
// in which RegionUnits deals units. ok is false if it holds none.
func (h *Holder) RegionRank(start uint64) (rank int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	groups := h.groups()
	rank = SharesPerGroup * len(groups)
	for i, group := range groups {
		for index := range SharesPerGroup {
			if r := h.shares[share{group, index}]; r != nil && h.holds(r) {
				rank, ok = min(rank, dealRank(i, index, len(groups), start)), true
			}
		}
	}
	return rank, ok
}

// Usable returns the shares of a group that this host may use now for a limit that
// counts over window. The previous holder of a share stopped before this host could
// claim it, and its last uses took effect within MaxSendDelay. This host waits for that
// and for a window, so that no window contains uses of both. A holder of an earlier era of
// the store may not have stopped: it uses the share until its lease would have ended, so
// that in a new era this host waits for the longest lease too.
func (h *Holder) Usable(group string, window time.Duration, now boottime.Instant) Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usable(group, window, now)
}

// Fraction returns the part, from 0 to 1, of a limit of all failure domains together
// that this host may use now. The limit counts over window, see Usable. The parts of
// all hosts never add up to more than 1.
func (h *Holder) Fraction(window time.Duration, now boottime.Instant) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for domain := range h.options.Regions {
		count += h.usable(domain, window, now).Count()
	}
	return float64(count) / float64(SharesPerGroup*max(len(h.options.Regions), 1))
}

// usable is Usable for a caller that holds mu.
func (h *Holder) usable(group string, window time.Duration, now boottime.Instant) Set {
	if !h.leased(now) || !h.settled(now, window) {
		return 0
	}
	var set Set
	for index := range SharesPerGroup {
		r := h.shares[share{group, index}]
		if r != nil && h.holds(r) && now.Sub(r.heldFrom) >= window+MaxSendDelay {
			set |= 1 << index
		}
	}
	return set
}

// holds reports whether this process holds a share under the current lease. The
// caller holds mu.
func (h *Holder) holds(r *record) bool { return !r.heldUnder.IsZero() && r.heldUnder == h.lease }

// groups returns the failure domains of this host's region, in order. The caller holds mu.
func (h *Holder) groups() []string {
	return h.groupsOf(func(region string) bool { return region == h.options.Regions[h.options.FailureDomain] })
}

func (h *Holder) groupsOf(include func(region string) bool) []string {
	var groups []string
	for _, domain := range sortedKeys(h.options.Regions) {
		if include(h.options.Regions[domain]) {
			groups = append(groups, domain)
		}
	}
	return groups
}

func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }

// claimGroups returns the groups of which this host may have to hold shares: the failure
// domains of its region and of regions without hosts. The caller holds mu.
func (h *Holder) claimGroups(now boottime.Instant) []string {
	own := h.options.Regions[h.options.FailureDomain]
	return h.groupsOf(func(region string) bool { return region == own || h.orphaned(region, now) })
}

// assignment returns which host should hold each share of a group: one of its failure
// domain, of the region if the failure domain has fewer than minLocalHosts, or of any
// region if its own has none. The caller holds mu.
func (h *Holder) assignment(group string) [SharesPerGroup]string {
	if holders, ok := h.assigned[group]; ok {
		return holders
	}
	var local, regional, all []string
	for _, host := range sortedKeys(h.hosts) {
		all = append(all, host)
		if h.options.Regions[h.hosts[host]] == h.options.Regions[group] {
			regional = append(regional, host)
		}
		if h.hosts[host] == group {
			local = append(local, host)
		}
	}
	switch {
	case len(local) >= minLocalHosts:
		all = local
	case len(regional) > 0:
		all = regional
	}
	h.assigned[group] = assign(group, all)
	return h.assigned[group]
}

// Transaction is a set of conditional writes of shares under one lease.
type Transaction struct {
	Writes []kvstore.Write

	lease   kvstore.LeaseID
	shares  []share // of the first writes
	settles bool    // the last write is that of settledKey
}

// Next returns the next transaction to send to the store. It reports false if there is
// none now. Shares that it gives up are not used from then on. Finish must be called
// with the result before the next call.
func (h *Holder) Next(now boottime.Instant) (Transaction, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leased(now) || h.loaded == 0 || h.viewEra != h.era {
		return Transaction{}, false
	}
	t := Transaction{lease: h.lease}
	h.giveUp(&t, now)
	for _, group := range h.claimGroups(now) {
		for index, holder := range h.assignment(group) {
			s := share{group, index}
			if r := h.record(s); holder == h.options.Host && h.claimable(r, now) && len(t.Writes) < maxWrites {
				t.add(s, kvstore.Write{Key: s.key(), Value: []byte(h.options.Host), Expected: r.revision, Lease: h.lease})
			}
		}
	}
	h.settle(&t, now)
	return t, len(t.Writes) > 0
}

// Counts returns how many shares the transaction claims and how many it gives up.
func (t Transaction) Counts() (claimed, removed int) {
	for _, w := range t.Writes {
		if w.Delete {
			removed++
		}
	}
	return len(t.Writes) - removed, removed
}

func (t *Transaction) add(s share, w kvstore.Write) {
	t.Writes = append(t.Writes, w)
	t.shares = append(t.shares, s)
}

// giveUp adds the removal of shares that other hosts should hold, once this host has
// read its own claim back. The caller holds mu.
func (h *Holder) giveUp(t *Transaction, now boottime.Instant) {
	if now.Sub(h.hostsChanged) < moveDelay {
		return
	}
	for _, s := range slices.SortedFunc(maps.Keys(h.shares), compareShares) {
		r := h.shares[s]
		if h.holds(r) && r.lease == h.lease && h.assignment(s.group)[s.index] != h.options.Host && len(t.Writes) < maxWrites {
			t.add(s, kvstore.Write{Key: s.key(), Expected: r.revision, Lease: h.lease, Delete: true})
			r.drop()
			h.version++
		}
	}
}

func compareShares(a, b share) int {
	return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.index, b.index))
}

// claimable reports whether this host may claim a share that it should hold: the share
// has had no holder for long enough, or its holder was an earlier lease of this host.
// The caller holds mu.
func (h *Holder) claimable(r *record, now boottime.Instant) bool {
	switch {
	case h.holds(r) || now.Before(r.retryAt):
		return false
	case r.revision.IsZero():
		free := now.Sub(r.changedSeen)
		return h.registered && (free >= maxClaimDelay || now.Sub(h.hostsChanged) >= claimDelay)
	default:
		return r.holder == h.options.Host
	}
}

// Finish records the result of a transaction: nil, or the error of the store.
func (h *Holder) Finish(t Transaction, err error, now boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	if t.settles && err != nil {
		h.settleRetry = now.Add(retryDelay)
	}
	for i, s := range t.shares {
		r := h.record(s)
		switch {
		case err != nil:
			r.retryAt = now.Add(retryDelay)
		case !t.Writes[i].Delete:
			r.heldUnder, r.heldFrom = t.lease, now
			r.readBack = r.holder == h.options.Host && r.lease == t.lease
		}
	}
}
