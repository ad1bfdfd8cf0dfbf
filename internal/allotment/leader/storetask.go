package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/allotment"
	"peridotrail/internal/kvstore"
)

const (
	maxWatchWait = 20 * time.Second
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 3 * time.Second
	idleInterval = 200 * time.Millisecond
)

// storeTask reads and writes the store during one leadership term. It does not hold the
// Leader's mutex during store calls.
type storeTask struct {
	leader       *Leader
	term         *leadershipTerm
	failures     int       // consecutive failures in run
	nextRenewal  time.Time // when to renew the domain's record
	nextPlan     time.Time // when to plan the documents
	nextPromises time.Time // earliest time of the next request for promises
}

// watch reads all entries and then follows the changes, until ctx ends. After a failure
// or Timing.ReadInterval it starts again.
func (s *storeTask) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		revision, ok := s.readAll(ctx)
		if ok {
			failures = 0
			s.followChanges(ctx, revision)
			continue
		}
		failures++
		sleep(ctx, backoff(failures))
	}
}

// readAll reads all documents and records. It returns the newest revision, or false if
// the store call failed.
func (s *storeTask) readAll(ctx context.Context) (kvstore.Revision, bool) {
	call, cancel := context.WithTimeout(ctx, s.leader.options.Timing.StoreTimeout)
	defer cancel()
	entries, err := s.leader.options.Store.List(call, allotment.StorePrefix)
	if err != nil {
		s.leader.logStoreFailure("list", err)
		return kvstore.Revision{}, false
	}
	var newest kvstore.Revision
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	missing := s.term.storeKeys()
	for _, entry := range entries {
		newest = kvstore.Latest(newest, entry.Revision)
		delete(missing, entry.Key)
		s.observe(entry)
	}
	for key := range missing {
		s.observe(kvstore.Entry{Key: key})
	}
	s.term.storeRead = true
	return newest, true
}

// observe processes an entry, and logs it if it cannot be decoded. The caller holds the
// Leader's mutex.
func (s *storeTask) observe(entry kvstore.Entry) {
	if err := s.term.observe(s.leader.options.Now(), entry); err != nil {
		s.leader.stats.decodeFailures.Inc(1)
		level.Error(s.leader.options.Logger).Log("msg", "could not decode allotment entry", "key", entry.Key, "err", err)
	}
}

// followChanges watches for changes after the given revision, until a call fails or a
// complete read is due.
func (s *storeTask) followChanges(ctx context.Context, after kvstore.Revision) {
	due := time.Now().Add(s.leader.options.Timing.ReadInterval/2 + rand.N(s.leader.options.Timing.ReadInterval))
	for ctx.Err() == nil && time.Now().Before(due) {
		wait := min(maxWatchWait, time.Until(due))
		call, cancel := context.WithTimeout(ctx, wait+s.leader.options.Timing.StoreTimeout)
		entries, revision, err := s.leader.options.Store.Watch(call, allotment.StorePrefix, after, wait)
		cancel()
		if err != nil {
			s.leader.logStoreFailure("watch", err)
			sleep(ctx, backoff(1))
			return
		}
		after = kvstore.Latest(after, revision)
		s.leader.mu.Lock()
		for _, entry := range entries {
			s.observe(entry)
		}
		s.leader.mu.Unlock()
	}
}

// run renews the domain's record, fences silent domains and writes documents, until
// ctx ends. While the store does not answer it requests promises.
func (s *storeTask) run(ctx context.Context) {
	for ctx.Err() == nil {
		ok := s.renewRecord(ctx) && s.fenceDomains(ctx) && s.writeDocuments(ctx)
		if ok {
			s.failures = 0
			sleep(ctx, idleInterval)
			continue
		}
		s.failures++
		s.requestPromises(ctx)
		sleep(ctx, backoff(s.failures))
	}
}

// renewRecord renews the domain's record if that is due. It returns false if the store
// did not answer.
func (s *storeTask) renewRecord(ctx context.Context) bool {
	l := s.leader
	l.mu.Lock()
	now := l.options.Now()
	snapshot := l.options.Snapshot()
	due := s.term.lease.Loaded() && !s.term.closed && snapshot != nil && !now.Before(s.nextRenewal)
	if !due {
		l.mu.Unlock()
		return true
	}
	write, ok := s.term.lease.Renew(now, l.options.Self.ID, s.term.peerDomains(snapshot), l.operation())
	l.mu.Unlock()
	if !ok {
		return true
	}
	entry, err := s.compareAndSwap(ctx, write)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.logDecodeFailure(s.term.lease.RecordOutcome(entry, err))
	if !storeAnswered(err) {
		return false
	}
	if err == nil {
		s.nextRenewal = now.Add(l.options.Timing.RecordInterval)
	}
	return true
}

// fenceDomains ends the extra shares of domains whose lease has certainly expired. It
// returns false if the store did not answer.
func (s *storeTask) fenceDomains(ctx context.Context) bool {
	l := s.leader
	l.mu.Lock()
	var writes map[string]kvstore.Write
	if s.term.ready() {
		writes = s.term.fenceWrites(l.options.Now(), l.operation)
	}
	l.mu.Unlock()
	for domain, write := range writes {
		level.Info(l.options.Logger).Log("msg", "fencing the extra shares of a silent failure domain", "domain", domain)
		entry, err := s.compareAndSwap(ctx, write)
		l.mu.Lock()
		s.logDecodeFailure(s.term.observer.RecordOutcome(l.options.Now(), domain, entry, err))
		l.mu.Unlock()
		if !storeAnswered(err) {
			return false
		}
		l.stats.fenced.Inc(1)
	}
	return true
}

// writeDocuments plans the documents if that is due, and writes those that changed. It
// returns false if the store did not answer.
func (s *storeTask) writeDocuments(ctx context.Context) bool {
	l := s.leader
	l.mu.Lock()
	now := l.options.Now()
	snapshot := l.options.Snapshot()
	var writes map[int]kvstore.Write
	if snapshot != nil && s.term.ready() && !s.term.closed && !now.Before(s.nextPlan) {
		writes = s.term.plan(now, snapshot, l.operation)
		s.term.divide(now, snapshot)
		s.nextPlan = now.Add(l.options.Timing.PlanInterval/2 + rand.N(l.options.Timing.PlanInterval))
	}
	l.mu.Unlock()
	for index, write := range writes {
		entry, err := s.compareAndSwap(ctx, write)
		l.mu.Lock()
		s.logDecodeFailure(s.term.views[index].RecordOutcome(entry, err))
		l.mu.Unlock()
		if !storeAnswered(err) {
			return false
		}
		l.stats.documents.Inc(1)
	}
	return true
}

// compareAndSwap performs a write with a timeout, and logs failures except conflicts.
func (s *storeTask) compareAndSwap(ctx context.Context, write kvstore.Write) (kvstore.Entry, error) {
	call, cancel := context.WithTimeout(ctx, s.leader.options.Timing.StoreTimeout)
	defer cancel()
	entry, err := s.leader.options.Store.CompareAndSwap(call, write)
	if err != nil && !kvstore.IsKind(err, kvstore.KindConflict) {
		s.leader.logStoreFailure("compare-and-swap", err)
	}
	return entry, err
}

// logDecodeFailure logs an entry that could not be decoded; a nil err is ignored. The
// caller holds the Leader's mutex.
func (s *storeTask) logDecodeFailure(err error) {
	if err != nil {
		s.leader.stats.decodeFailures.Inc(1)
		level.Error(s.leader.options.Logger).Log("msg", "could not decode allotment entry", "err", err)
	}
}

// storeAnswered reports whether err means that the store answered, if only with a
// conflict.
func storeAnswered(err error) bool { return err == nil || kvstore.IsKind(err, kvstore.KindConflict) }

func (l *Leader) logStoreFailure(call string, err error) {
	l.stats.storeFailures.Inc(1)
	level.Debug(l.options.Logger).Log("msg", "store call failed", "call", call, "err", err)
}

// backoff returns the pause after a number of consecutive failures, with jitter.
func backoff(failures int) time.Duration {
	ceiling := min(minBackoff<<min(failures, 8), maxBackoff)
	return ceiling/2 + rand.N(ceiling)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
