package servicelevel

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/configuration"
)

// Outcome is the result of one request. Refused requests are recorded too, except
// those refused because the client account exceeded its rate.
type Outcome struct {
	Service string
	Account string // client account; empty on open routes
	Good    bool   // complete response, without a failure of the system or an upstream
	Latency time.Duration
}

// retentionMinutes is how long a host keeps its counts for the domain leader to collect.
const retentionMinutes = 60

// counter counts the outcomes of one objective on this host.
type counter struct {
	objective configuration.Objective

	mu      sync.Mutex // guards buckets; never held across I/O
	buckets []Bucket   // one a minute, sorted by Start
}

func (c *counter) record(minute Minute, good bool) {
	counts := Counts{Total: 1}
	if good {
		counts.Good = 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := len(c.buckets) - 1; last >= 0 && c.buckets[last].Start == minute {
		c.buckets[last].add(counts)
		return
	}
	c.buckets = mergeBucket(c.buckets, Bucket{Start: minute, Counts: counts})
	c.buckets = dropThrough(c.buckets, minute-retentionMinutes)
}

// bucketsBetween returns the buckets of minutes after from, up to through.
func (c *counter) bucketsBetween(from, through Minute) []Bucket {
	c.mu.Lock()
	defer c.mu.Unlock()
	var buckets []Bucket
	for _, bucket := range c.buckets {
		if bucket.Start > from && bucket.Start <= through {
			buckets = append(buckets, bucket)
		}
	}
	return buckets
}

// replacement returns a counter for the changed objective that starts with the counts
// of c. c may be nil.
func (c *counter) replacement(objective configuration.Objective) *counter {
	next := &counter{objective: objective}
	if c != nil {
		next.buckets = c.bucketsBetween(0, maxMinute)
	}
	return next
}

// scope selects objectives. An empty service or account means any.
type scope struct {
	service string
	account string
}

// counterTable finds the counters of an outcome. It is immutable.
type counterTable struct {
	byName  map[string]*counter
	byScope map[scope][]*counter
}

// recorder counts outcomes on this host. It is safe for concurrent use.
type recorder struct {
	table atomic.Pointer[counterTable]
}

func newRecorder() *recorder {
	r := &recorder{}
	r.table.Store(&counterTable{})
	return r
}

// update replaces the objectives. An objective that keeps its name keeps its counts,
// also when its other fields change.
func (r *recorder) update(objectives []configuration.Objective) {
	previous := r.table.Load()
	next := &counterTable{byName: map[string]*counter{}, byScope: map[scope][]*counter{}}
	for _, objective := range objectives {
		c := previous.byName[objective.Name]
		if c == nil || c.objective != objective {
			c = c.replacement(objective)
		}
		next.byName[objective.Name] = c
		key := scope{objective.Service, objective.Account}
		next.byScope[key] = append(next.byScope[key], c)
	}
	r.table.Store(next)
}

const maxMinute = Minute(1<<63 - 1)

// record counts an outcome at the given time.
func (r *recorder) record(o Outcome, now time.Time) {
	table := r.table.Load()
	minute := MinuteOf(now)
	scopes := [3]scope{{service: o.Service}, {account: o.Account}, {o.Service, o.Account}}
	for i, key := range scopes {
		if i > 0 && o.Account == "" {
			return
		}
		for _, c := range table.byScope[key] {
			latency := c.objective.Latency.Std()
			c.record(minute, o.Good && (latency == 0 || o.Latency <= latency))
		}
	}
}
