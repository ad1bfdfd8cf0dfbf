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

// Calls are the numbers of received calls by operation. A watch is one call however
// long it waits.
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

// Reads returns the number of calls that change nothing.
func (c Calls) Reads() int64 { return c.Get + c.List + c.Watch + c.Hosts }

// Writes returns the number of calls that may change something.
func (c Calls) Writes() int64 { return c.CompareAndSwap + c.Grant + c.Renew + c.Revoke }

func (c *Calls) count(op string) {
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

// faults are the faults that are injected at present.
type faults struct {
	down        bool
	delay       time.Duration
	loseNext    int
	loseRate    float64
	random      *rand.Rand
	watchLag    time.Duration
	dropWatches bool
	hostListLag time.Duration
	partitioned map[string]bool // by host name or failure domain
}

// SetDown makes every call fail without effect.
func (s *Store) SetDown(down bool) { s.setFaults(func(f *faults) { f.down = down }) }

// SetDelay delays every call by d before it takes effect.
func (s *Store) SetDelay(d time.Duration) { s.setFaults(func(f *faults) { f.delay = d }) }

// LoseNextResponses loses the responses to the next n writes after they took effect.
func (s *Store) LoseNextResponses(n int) { s.setFaults(func(f *faults) { f.loseNext = n }) }

// LoseResponses loses the responses to writes with the given probability, from 0 to 1.
// The writes are drawn from a generator with the given seed.
func (s *Store) LoseResponses(rate float64, seed uint64) {
	s.setFaults(func(f *faults) {
		f.loseRate = rate
		f.random = rand.New(rand.NewPCG(seed, seed))
	})
}

// SetWatchLag hides changes younger than d from watches.
func (s *Store) SetWatchLag(d time.Duration) { s.setFaults(func(f *faults) { f.watchLag = d }) }

// SetDropWatches makes watches miss all changes: they end without a change when their
// wait is over.
func (s *Store) SetDropWatches(drop bool) { s.setFaults(func(f *faults) { f.dropWatches = drop }) }

// SetHostListLag makes Hosts return the list as it was d ago.
func (s *Store) SetHostListLag(d time.Duration) { s.setFaults(func(f *faults) { f.hostListLag = d }) }

// SetPartitioned partitions the callers with the given host name or failure domain
// from the store, or ends the partition.
func (s *Store) SetPartitioned(hostOrDomain string, partitioned bool) {
	s.setFaults(func(f *faults) {
		if f.partitioned == nil {
			f.partitioned = map[string]bool{}
		}
		f.partitioned[hostOrDomain] = partitioned
	})
}

// setFaults changes the faults and wakes the waiting watches.
func (s *Store) setFaults(update func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// rejection returns the error of a call that does not reach the store, or nil. For a
// write of a partitioned caller that is an unknown outcome, because the caller can't
// tell whether the write took effect.
func (f *faults) rejection(caller Caller, op, key string, write bool) error {
	if f.partitioned[caller.Host] || f.partitioned[caller.FailureDomain] {
		if write {
			return newError(kvstore.KindUnknownOutcome, op, key)
		}
		return newError(kvstore.KindUnavailable, op, key)
	}
	if f.down {
		return newError(kvstore.KindUnavailable, op, key)
	}
	return nil
}

// losesResponse reports whether the response to a write is lost.
func (f *faults) losesResponse() bool {
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseRate > 0 && f.random.Float64() < f.loseRate
}

func newError(kind kvstore.ErrorKind, op, key string) error {
	return &kvstore.Error{Kind: kind, Op: op, Key: key}
}
