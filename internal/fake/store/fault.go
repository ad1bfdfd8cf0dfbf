package store

import (
	"math/rand/v2"
	"time"

	"peridotrail/internal/kvstore"
)

const (
	opGet            = "get"
	opList           = "list"
	opCompareAndSwap = "compare-and-swap"
	opGrant          = "grant"
	opRenew          = "renew"
	opRevoke         = "revoke"
	opWatch          = "watch"
	opHosts          = "hosts"
)

// Calls counts the received calls by kind. A waiting watch counts as one call.
type Calls struct {
	Get            int64 `json:"get"`
	List           int64 `json:"list"`
	CompareAndSwap int64 `json:"compareAndSwap"`
	Grant          int64 `json:"grant"`
	Renew          int64 `json:"renew"`
	Revoke         int64 `json:"revoke"`
	Watch          int64 `json:"watch"`
	Hosts          int64 `json:"hosts"`
}

// Reads returns the number of calls without effect.
func (c Calls) Reads() int64 { return c.Get + c.List + c.Watch + c.Hosts }

// Writes returns the number of calls that may take effect.
func (c Calls) Writes() int64 { return c.CompareAndSwap + c.Grant + c.Renew + c.Revoke }

func (c *Calls) add(op string) {
	switch op {
	case opGet:
		c.Get++
	case opList:
		c.List++
	case opCompareAndSwap:
		c.CompareAndSwap++
	case opGrant:
		c.Grant++
	case opRenew:
		c.Renew++
	case opRevoke:
		c.Revoke++
	case opWatch:
		c.Watch++
	case opHosts:
		c.Hosts++
	}
}

// faults is the set of faults that are switched on.
type faults struct {
	down        bool
	slow        time.Duration
	loseNext    int
	loseRate    float64
	random      *rand.Rand
	watchLag    time.Duration
	dropWatches bool
	hostListLag time.Duration
	partitioned map[string]bool // by host name or failure domain
}

// SetDown makes every call fail without effect.
func (s *Store) SetDown(down bool) { s.change(func(f *faults) { f.down = down }) }

// SetSlow delays every call by d before it takes effect.
func (s *Store) SetSlow(d time.Duration) { s.change(func(f *faults) { f.slow = d }) }

// LoseNextAnswers loses the answers of the next n writes after they took effect.
func (s *Store) LoseNextAnswers(n int) { s.change(func(f *faults) { f.loseNext = n }) }

// LoseAnswers loses the answers of writes at the given rate, from 0 to 1, chosen
// by seed.
func (s *Store) LoseAnswers(rate float64, seed uint64) {
	s.change(func(f *faults) {
		f.loseRate = rate
		f.random = rand.New(rand.NewPCG(seed, seed))
	})
}

// SetWatchLag hides changes younger than d from watches.
func (s *Store) SetWatchLag(d time.Duration) { s.change(func(f *faults) { f.watchLag = d }) }

// SetDropWatches makes watches end without a change after their wait, whatever
// changed.
func (s *Store) SetDropWatches(drop bool) { s.change(func(f *faults) { f.dropWatches = drop }) }

// SetHostListLag makes Hosts return the list as it was d ago.
func (s *Store) SetHostListLag(d time.Duration) { s.change(func(f *faults) { f.hostListLag = d }) }

// SetPartitioned cuts off, or reconnects, the callers with the given host name or
// failure domain.
func (s *Store) SetPartitioned(hostOrDomain string, cut bool) {
	s.change(func(f *faults) {
		if f.partitioned == nil {
			f.partitioned = map[string]bool{}
		}
		f.partitioned[hostOrDomain] = cut
	})
}

// change updates the faults and wakes the waiting watches.
func (s *Store) change(update func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuses returns the failure of a call that does not reach the store. A cut
// caller cannot tell whether its write arrived.
func (f *faults) refuses(caller Caller, op, key string, write bool) error {
	if f.partitioned[caller.Host] || f.partitioned[caller.FailureDomain] {
		if write {
			return failure(kvstore.KindUnknownOutcome, op, key)
		}
		return failure(kvstore.KindUnavailable, op, key)
	}
	if f.down {
		return failure(kvstore.KindUnavailable, op, key)
	}
	return nil
}

// losesAnswer decides whether the answer of a write is lost.
func (f *faults) losesAnswer() bool {
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseRate > 0 && f.random.Float64() < f.loseRate
}

func failure(kind kvstore.ErrorKind, op, key string) error {
	return &kvstore.Error{Kind: kind, Op: op, Key: key}
}
