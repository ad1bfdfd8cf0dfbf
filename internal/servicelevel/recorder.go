package servicelevel

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/configuration"
)

// Outcome is one request as an objective sees it. A refusal counts too, unless
// the client account was over its rate.
type Outcome struct {
	Service string
	Account string // empty on open routes
	Good    bool   // answered whole and without a failure of the system or an upstream
	Latency time.Duration
}

// heldMinutes is how long a host keeps its counts for the leader to collect.
const heldMinutes = 60

// counter counts the outcomes of one objective on this host.
type counter struct {
	objective configuration.Objective

	mu      sync.Mutex // guards buckets; never held across I/O
	buckets []Bucket   // by the minute, sorted
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
	c.buckets = addTo(c.buckets, Bucket{Start: minute, Counts: counts})
	c.buckets = after(c.buckets, minute-heldMinutes)
}

// between returns the buckets of minutes after from, up to through.
func (c *counter) between(from, through Minute) []Bucket {
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

// replacement returns a counter of the changed objective with the counts so far.
// The counter may be nil.
func (c *counter) replacement(objective configuration.Objective) *counter {
	next := &counter{objective: objective}
	if c != nil {
		next.buckets = c.between(0, maxMinute)
	}
	return next
}

// scope selects the objectives that an outcome counts towards.
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

// update takes in the objectives in force. Counts of an objective stay as long
// as its name does.
func (r *recorder) update(objectives []configuration.Objective) {
	previous := r.table.Load()
	next := &counterTable{byName: map[string]*counter{}, byScope: map[scope][]*counter{}}
	for _, objective := range objectives {
		c := previous.byName[objective.Name]
		if c == nil || c.objective != objective {
			c = c.replacement(objective)
		}
		next.byName[objective.Name] = c
		at := scope{objective.Service, objective.Account}
		next.byScope[at] = append(next.byScope[at], c)
	}
	r.table.Store(next)
}

const maxMinute = Minute(1<<63 - 1)

// record counts an outcome at the given time.
func (r *recorder) record(o Outcome, now time.Time) {
	table := r.table.Load()
	minute := MinuteOf(now)
	scopes := [3]scope{{service: o.Service}, {account: o.Account}, {o.Service, o.Account}}
	for i, at := range scopes {
		if i > 0 && o.Account == "" {
			return
		}
		for _, c := range table.byScope[at] {
			latency := c.objective.Latency.Std()
			c.record(minute, o.Good && (latency == 0 || o.Latency <= latency))
		}
	}
}
