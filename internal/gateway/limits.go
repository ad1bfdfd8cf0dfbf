package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/lending"
	"peridotrail/internal/quota"
	"peridotrail/internal/routing"
)

// limits are this host's parts of the limits that all hosts share. It is safe for
// concurrent use.
type limits struct {
	settings *liveSettings
	logger   log.Logger

	mu      sync.Mutex // guards the fields below
	table   *routing.Table
	hosts   []catalog.Host
	buckets map[uint64]*rateBucket         // by the hash of the client account
	repeats map[string]*quota.RepeatBudget // by service
	ask     askFunc
}

// askFunc asks hosts for tokens of an account. It reports whether an answer is
// expected.
type askFunc func(account uint64, want float64, near, far []netip.AddrPort) bool

// rateBucket is a bucket with the requests that wait for borrowed tokens.
type rateBucket struct {
	quota.Bucket
	whole     float64          // requests a second over all hosts
	near, far []netip.AddrPort // hosts that may lend
	arrived   chan struct{}    // closed and replaced when an answer comes
}

func newLimits(settings *liveSettings, logger log.Logger) *limits {
	return &limits{
		settings: settings, logger: logger,
		buckets: map[uint64]*rateBucket{},
		repeats: map[string]*quota.RepeatBudget{},
		ask:     func(uint64, float64, []netip.AddrPort, []netip.AddrPort) bool { return false },
	}
}

// lendBy makes the limits borrow tokens through an exchange.
func (l *limits) lendBy(exchange *lending.Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ask = exchange.RequestTokens
}

func accountHash(name string) uint64 { return xxhash.Sum64String(name) }

// leastBurst is the smallest burst of a part: with a single token, a host that has
// one refuses the second of two requests that come together.
const leastBurst = 2

// update divides the limits of a policy among hosts, if either has changed.
func (l *limits) update(table *routing.Table, hosts []catalog.Host, now boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	same := l.table == table && slices.Equal(l.hosts, hosts)
	l.table, l.hosts = table, hosts
	for _, budget := range l.repeats {
		budget.Slack = l.repeatSlack()
	}
	if table == nil || same {
		return
	}
	division := divisionOf(hosts, *l.settings.get())
	present := make(map[uint64]bool, len(l.buckets))
	for _, account := range table.Accounts() {
		if account.Rate > 0 {
			hash := accountHash(account.Name)
			present[hash] = true
			l.divide(hash, account, division, now)
		}
	}
	for hash := range l.buckets {
		if !present[hash] {
			delete(l.buckets, hash)
		}
	}
}

// divide sets this host's part of one account. The caller holds mu.
func (l *limits) divide(hash uint64, account routing.Account, division *quota.Division, now boottime.Instant) {
	bucket := l.buckets[hash]
	if bucket == nil {
		bucket = &rateBucket{arrived: make(chan struct{})}
		l.buckets[hash] = bucket
	}
	part := division.Share(hash, account.Rate)
	if account.Rate != bucket.whole {
		_ = level.Info(l.logger).Log("event", "account rate", "account", account.Name, "rate", account.Rate, "burst", account.Burst,
			"before", bucket.whole, "share", part, "version", l.table.Version())
	}
	bucket.whole = account.Rate
	bucket.near, bucket.far = division.Lenders(hash, account.Rate)
	bucket.SetRegionRate(account.Rate * division.RegionShare(hash, account.Rate))
	if part > 0 {
		bucket.SetLimit(account.Rate*part, max(account.Burst*part, leastBurst), now)
	} else {
		bucket.SetLimit(0, 0, now)
	}
}

func (l *limits) repeatSlack() float64 {
	return l.settings.get().RepeatSlack * fairPart / float64(max(len(l.hosts), 1))
}

// borrowWait is how long a request waits for a token: a round trip to the farthest
// region and some queueing.
const borrowWait = 60 * time.Millisecond

// leastAwait keeps requests that wait for the same token from turning in a circle.
const leastAwait = time.Millisecond

// takeRate spends one request of an account's rate. If this host has none left it
// asks others, and waits for their answer or for a token of its own that is due
// soon. A request whose turn comes later is refused at once.
func (l *limits) takeRate(ctx context.Context, account string) (bool, time.Duration) {
	hash := accountHash(account)
	end := boottime.Now().Add(borrowWait)
	for first := true; ; first = false {
		t := l.tryRate(hash, first)
		left := end.Sub(boottime.Now())
		if t.due > 0 && t.due < left {
			left = max(t.due, leastAwait)
		} else if t.arrived == nil {
			return t.ok, t.wait
		}
		if t.ok || left <= 0 || !await(ctx, t.arrived, left) {
			return t.ok, t.wait
		}
	}
}

// await waits for an answer or for a time. It returns false if ctx ended.
func await(ctx context.Context, arrived <-chan struct{}, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// try is one attempt to spend a request of a rate.
type try struct {
	ok      bool
	wait    time.Duration   // after which a caller may come back
	due     time.Duration   // until this host's own token comes, zero: not known
	arrived <-chan struct{} // closed when an answer of another host comes, nil: none is expected
}

// tryRate takes a token, or asks other hosts for some.
func (l *limits) tryRate(hash uint64, first bool) try {
	l.mu.Lock()
	bucket := l.buckets[hash]
	if bucket == nil {
		l.mu.Unlock()
		return try{ok: true}
	}
	now := boottime.Now()
	if first {
		bucket.RecordDemand(now)
	}
	var t try
	t.ok, t.wait = bucket.Take(now)
	if !t.ok {
		t.due = bucket.OwnTokenDelay(now)
	}
	want, arrived, near, far, ask := bucket.TokensToBorrow(now), bucket.arrived, bucket.near, bucket.far, l.ask
	l.mu.Unlock()
	if want > 0 && ask(hash, want, near, far) && !t.ok {
		t.arrived = arrived
	}
	return t
}

// rateOf returns a copy of an account's bucket for the log, empty if its rate is
// not limited.
func (l *limits) rateOf(account string) rateBucket {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[accountHash(account)]; bucket != nil {
		return *bucket
	}
	return rateBucket{}
}

// Lend implements lending.Lender.
func (l *limits) Lend(account uint64, want float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[account]; bucket != nil {
		return bucket.Lend(want, boottime.Now())
	}
	return 0
}

// Receive implements lending.Lender.
func (l *limits) Receive(account uint64, granted float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[account]; bucket != nil {
		bucket.Borrow(granted, boottime.Now())
		close(bucket.arrived)
		bucket.arrived = make(chan struct{})
	}
}

// returnRate gives back a request that was not sent.
func (l *limits) returnRate(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[accountHash(account)]; bucket != nil {
		bucket.Refund()
	}
}

// firstSend counts a request of a service.
func (l *limits) firstSend(service string, now boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget(service).RecordRequest(now)
}

// takeRepeat spends one repeat of a service.
func (l *limits) takeRepeat(service string, now boottime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget(service).Take(now)
}

// budget returns the repeat budget of a service. The caller holds mu.
func (l *limits) budget(service string) *quota.RepeatBudget {
	budget := l.repeats[service]
	if budget == nil {
		budget = quota.NewRepeatBudget(l.settings.get().RepeatWindow, l.settings.get().RepeatRatio*fairPart, l.repeatSlack())
		l.repeats[service] = budget
	}
	return budget
}
