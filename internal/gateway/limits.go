package gateway

import (
	"sync"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/quota"
	"peridotrail/internal/routing"
)

// limits are this host's parts of the limits that all hosts share. It is safe for
// concurrent use.
type limits struct {
	settings Settings

	mu      sync.Mutex // guards the fields below
	hosts   int
	share   float64
	buckets map[string]*quota.Bucket       // by client account
	repeats map[string]*quota.RepeatBudget // by service
}

func newLimits(settings Settings) *limits {
	return &limits{
		settings: settings, hosts: 1,
		buckets: map[string]*quota.Bucket{},
		repeats: map[string]*quota.RepeatBudget{},
	}
}

// update divides the limits of a policy anew.
func (l *limits) update(table *routing.Table, share float64, hosts int, now boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share, l.hosts = share, max(hosts, 1)
	if table == nil {
		return
	}
	for _, account := range table.Accounts() {
		if account.Rate <= 0 {
			delete(l.buckets, account.Name)
			continue
		}
		bucket := l.buckets[account.Name]
		if bucket == nil {
			bucket = &quota.Bucket{}
			l.buckets[account.Name] = bucket
		}
		bucket.SetLimit(account.Rate*share, max(account.Burst*share, 1), now)
	}
	for _, budget := range l.repeats {
		budget.Slack = l.repeatSlack()
	}
}

func (l *limits) repeatSlack() float64 {
	return l.settings.RepeatSlack * fairPart / float64(l.hosts)
}

// takeRate spends one request of an account's rate.
func (l *limits) takeRate(account string, now boottime.Instant) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.buckets[account]
	if bucket == nil {
		return true, 0
	}
	return bucket.Take(now)
}

// returnRate gives back a request that was not sent.
func (l *limits) returnRate(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[account]; bucket != nil {
		bucket.Return()
	}
}

// firstSend counts a request of a service.
func (l *limits) firstSend(service string, now boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget(service).Request(now)
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
		budget = quota.NewRepeatBudget(l.settings.RepeatWindow, l.settings.RepeatRatio*fairPart, l.repeatSlack())
		l.repeats[service] = budget
	}
	return budget
}
