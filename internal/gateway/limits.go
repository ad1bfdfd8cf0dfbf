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
	"peridotrail/internal/leasedshare"
	"peridotrail/internal/lending"
	"peridotrail/internal/quota"
	"peridotrail/internal/routing"
)

// limits holds this host's shares of the limits that apply to all hosts together:
// the rates of client accounts and the retry budgets of services. It is safe for
// concurrent use.
type limits struct {
	settings *liveSettings
	logger   log.Logger
	shares   *leasedshare.Holder
	division *leasedshare.Division
	clock    boottime.Clock

	mu            sync.Mutex // guards the fields below
	table         *routing.Table
	hosts         []catalog.Host
	peers         map[string]peer               // other hosts that can be asked for tokens, by name
	rates         map[uint64]accountRate        // of the limited accounts, by the hash of the client account
	buckets       map[uint64]*rateBucket        // by the same hash, of accounts that had requests
	retryBudgets  map[string]*quota.RetryBudget // by service
	requestTokens requestTokensFunc             // asks other hosts
}

// peer is another host that may hold shares of rates.
type peer struct {
	address netip.AddrPort
	near    bool // in the failure domain of this host
}

// accountRate is the limit of a client account.
type accountRate struct {
	rate, burst float64 // of all hosts together: requests per second, requests
	parts       int     // into which the rate is divided
}

// requestTokensFunc asks other hosts to lend tokens of a client account, near hosts
// first. It reports whether a reply is expected.
type requestTokensFunc func(account uint64, want float64, near, far []netip.AddrPort) bool

// rateBucket is this host's token bucket for one client account.
type rateBucket struct {
	quota.Bucket
	limit     accountRate      // for which the share was computed
	held      uint64           // version of the shares for which it was computed
	replied   chan struct{}    // closed and replaced when a host replies to a request for tokens
	near, far []netip.AddrPort // hosts that may lend tokens, in the own failure domain and elsewhere
	lendersAt boottime.Instant // when these were determined
}

// lendersTTL is how long the hosts that hold shares of a rate are taken from the last search.
// They change when hosts join or leave; a host that has none any longer replies so.
const lendersTTL = 500 * time.Millisecond

func newLimits(settings *liveSettings, logger log.Logger, clock boottime.Clock) *limits {
	initial := settings.get()
	regions := initial.allRegions()
	return &limits{
		settings: settings, logger: logger, clock: clock,
		shares:        leasedshare.NewHolder(leasedshare.Options{Host: initial.Host, FailureDomain: initial.FailureDomain, Regions: regions, LeaseTTL: initial.leaseTTL()}),
		division:      leasedshare.NewDivision(regions),
		peers:         map[string]peer{},
		rates:         map[uint64]accountRate{},
		buckets:       map[uint64]*rateBucket{},
		retryBudgets:  map[string]*quota.RetryBudget{},
		requestTokens: func(uint64, float64, []netip.AddrPort, []netip.AddrPort) bool { return false },
	}
}

// borrowThrough makes the limits borrow tokens from other hosts through exchange.
func (l *limits) borrowThrough(exchange *lending.Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestTokens = exchange.RequestTokens
}

// accountHash returns the hash by which hosts refer to a client account.
func accountHash(name string) uint64 { return xxhash.Sum64String(name) }

// update takes over the policy and the set of hosts.
func (l *limits) update(table *routing.Table, hosts []catalog.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.hosts, hosts) {
		l.hosts, l.peers = hosts, peersOf(hosts, *l.settings.get())
	}
	if table == nil || l.table == table {
		return
	}
	l.table = table
	rates := make(map[uint64]accountRate, len(l.rates))
	for _, account := range table.Accounts() {
		if account.Rate <= 0 {
			continue
		}
		hash := accountHash(account.Name)
		limit := accountRate{rate: account.Rate, burst: account.Burst, parts: quota.Parts(account.Rate, l.division.Regions(), l.division.MaxParts())}
		if before := l.rates[hash]; before != limit {
			_ = level.Info(l.logger).Log("event", "account rate", "account", account.Name, "rate", account.Rate, "burst", account.Burst,
				"before", before.rate, "parts", limit.parts, "version", table.Version())
		}
		rates[hash] = limit
	}
	l.rates = rates
	for hash := range l.buckets {
		if _, limited := rates[hash]; !limited {
			delete(l.buckets, hash)
		}
	}
}

// bucket returns the bucket of a client account with this host's share of its rate as of
// now, nil if its rate is not limited. The caller holds mu.
func (l *limits) bucket(hash uint64, now boottime.Instant) *rateBucket {
	limit, limited := l.rates[hash]
	if !limited {
		return nil
	}
	held, usable := l.shares.Held(now)
	bucket := l.buckets[hash]
	if bucket == nil {
		bucket = &rateBucket{replied: make(chan struct{})}
		l.buckets[hash] = bucket
	}
	if bucket.limit != limit || bucket.held != held.Version {
		parts, kept := held.Parts(l.division, limit.parts, hash, bucket.RefilledAt())
		bucket.SetShare(quota.PartsOf(limit.rate, limit.burst, kept, limit.parts), quota.PartsOf(limit.rate, limit.burst, parts, limit.parts), now)
		bucket.SetRegionRate(limit.rate * l.division.RegionFraction(l.settings.get().Region, limit.parts, hash))
		bucket.limit, bucket.held = limit, held.Version
	}
	bucket.Suspend(!usable)
	return bucket
}

// findLenders determines the hosts that hold shares of a bucket's rate, unless that was done
// a short time ago. The caller holds mu.
func (l *limits) findLenders(hash uint64, bucket *rateBucket, now boottime.Instant) {
	if now.Sub(bucket.lendersAt) < lendersTTL && bucket.lendersAt != 0 {
		return
	}
	bucket.lendersAt, bucket.near, bucket.far = now, nil, nil
	for _, name := range l.shares.HoldersOf(l.division, bucket.limit.parts, hash) {
		p, known := l.peers[name]
		switch {
		case !known:
		case p.near:
			bucket.near = append(bucket.near, p.address)
		default:
			bucket.far = append(bucket.far, p.address)
		}
	}
}

// retrySlack returns the part of the retry slack that belongs to the shares that this
// host holds.
func (l *limits) retrySlack(now boottime.Instant) float64 {
	settings := l.settings.get()
	return settings.RetrySlack * sharedLimitFraction * l.shares.Fraction(settings.RetryWindow, now)
}

// maxTokenWait bounds how long a request waits for a token. It covers a round trip
// to the farthest region and some queueing.
const maxTokenWait = 60 * time.Millisecond

// minTokenWait keeps requests that wait for the same token from retrying in a busy
// loop.
const minTokenWait = time.Millisecond

// takeToken takes one token of a client account. If this host has none left, it
// asks other hosts, and waits up to maxTokenWait for their reply or for the next
// token of its own bucket. If neither is expected in that time it fails at once. On
// failure it returns the time after which the caller may retry, who waits for as long as
// longest.
func (l *limits) takeToken(ctx context.Context, account string, longest time.Duration) (bool, time.Duration) {
	hash := accountHash(account)
	deadline := l.clock().Add(maxTokenWait)
	for first := true; ; first = false {
		attempt := l.tryToken(hash, first)
		remaining := deadline.Sub(l.clock())
		if attempt.untilNextToken > 0 && attempt.untilNextToken < remaining {
			remaining = max(attempt.untilNextToken, minTokenWait)
		} else if attempt.replied == nil {
			return attempt.ok, l.returnAfter(hash, attempt.ok, longest)
		}
		if attempt.ok || remaining <= 0 || !awaitReply(ctx, attempt.replied, remaining) {
			return attempt.ok, l.returnAfter(hash, attempt.ok, longest)
		}
	}
}

// returnAfter returns the time after which the caller of a request that got no token may return;
// zero if it got one.
func (l *limits) returnAfter(hash uint64, ok bool, longest time.Duration) time.Duration {
	if ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	bucket := l.bucket(hash, now)
	if bucket == nil {
		return 0 // the rate is not limited any more
	}
	return bucket.ReturnAfter(longest, now)
}

// awaitReply waits until replied is closed or the timeout has passed. It returns
// false if ctx ended first.
func awaitReply(ctx context.Context, replied <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-replied:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// tokenAttempt is the result of one attempt to take a token.
type tokenAttempt struct {
	ok             bool
	untilNextToken time.Duration   // until this host's own bucket has a token, zero if unknown
	replied        <-chan struct{} // closed when another host replies, nil if no reply is expected
}

// tryToken takes a token if there is one. It asks other hosts for tokens if the
// bucket runs short. The first attempt of a request counts as demand.
func (l *limits) tryToken(hash uint64, first bool) tokenAttempt {
	l.mu.Lock()
	now := l.clock()
	bucket := l.bucket(hash, now)
	if bucket == nil {
		l.mu.Unlock()
		return tokenAttempt{ok: true}
	}
	if first {
		bucket.RecordDemand(now)
	}
	var attempt tokenAttempt
	attempt.ok = bucket.Take(now)
	if !attempt.ok {
		attempt.untilNextToken = bucket.OwnTokenDelay(now)
	}
	want, replied, requestTokens := bucket.TokensToBorrow(!attempt.ok, now), bucket.replied, l.requestTokens
	if want > 0 {
		l.findLenders(hash, bucket, now)
	}
	near, far := bucket.near, bucket.far
	l.mu.Unlock()
	if want > 0 && requestTokens(hash, want, near, far) && !attempt.ok {
		attempt.replied = replied
	}
	return attempt
}

// bucketSnapshot returns a copy of a client account's bucket for the log, zero if
// its rate is not limited.
func (l *limits) bucketSnapshot(account string) rateBucket {
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
	now := l.clock()
	if bucket := l.bucket(account, now); bucket != nil {
		return bucket.Lend(want, now)
	}
	return 0
}

// Receive implements lending.Lender.
func (l *limits) Receive(account uint64, granted float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[account]; bucket != nil {
		bucket.Borrow(granted, l.clock())
		close(bucket.replied)
		bucket.replied = make(chan struct{})
	}
}

// returnToken returns the token of a request that was not sent.
func (l *limits) returnToken(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[accountHash(account)]; bucket != nil {
		bucket.Refund()
	}
}

// countFirstAttempt adds a request to the count that the retry budget of a service
// is relative to.
func (l *limits) countFirstAttempt(service string, now boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryBudget(service).RecordRequest(now)
}

// takeRetry takes one retry from the budget of a service. It reports whether there
// was one left.
func (l *limits) takeRetry(service string, now boottime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.retryBudget(service)
	budget.Slack = l.retrySlack(now)
	return budget.Take(now)
}

// retryBudget returns the retry budget of a service. The caller holds mu.
func (l *limits) retryBudget(service string) *quota.RetryBudget {
	budget := l.retryBudgets[service]
	if budget == nil {
		budget = quota.NewRetryBudget(l.settings.get().RetryWindow, l.settings.get().RetryRatio*sharedLimitFraction, 0)
		l.retryBudgets[service] = budget
	}
	return budget
}
