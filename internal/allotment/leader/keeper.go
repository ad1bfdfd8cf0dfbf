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
	watchWait  = 20 * time.Second
	retryMin   = 200 * time.Millisecond
	retryMax   = 3 * time.Second
	idleChecks = 200 * time.Millisecond
)

// keeper is the duty of one reign towards the store. It holds the Leader's mutex
// only between calls.
type keeper struct {
	leader   *Leader
	reign    *reign
	failures int       // calls of run that failed in a row
	recordAt time.Time // next renewal of the domain's record
	planAt   time.Time
	askAt    time.Time // next request for promises
}

// watch reads the store completely, and then its changes, until ctx ends.
func (k *keeper) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		revision, ok := k.readAll(ctx)
		if ok {
			failures = 0
			k.follow(ctx, revision)
			continue
		}
		failures++
		pause(ctx, backoff(failures))
	}
}

// readAll reads every document and record and returns the newest revision seen.
func (k *keeper) readAll(ctx context.Context) (kvstore.Revision, bool) {
	call, cancel := context.WithTimeout(ctx, k.leader.options.Timing.StoreCall)
	defer cancel()
	entries, err := k.leader.options.Store.List(call, allotment.StorePrefix)
	if err != nil {
		k.leader.failed("list", err)
		return 0, false
	}
	var newest kvstore.Revision
	k.leader.mu.Lock()
	defer k.leader.mu.Unlock()
	missing := k.reign.keys()
	for _, entry := range entries {
		newest = max(newest, entry.Revision)
		delete(missing, entry.Key)
		k.observe(entry)
	}
	for key := range missing {
		k.observe(kvstore.Entry{Key: key})
	}
	k.reign.read = true
	return newest, true
}

// observe takes an entry. The caller holds the Leader's mutex.
func (k *keeper) observe(entry kvstore.Entry) {
	if err := k.reign.observe(k.leader.options.Now(), entry); err != nil {
		k.leader.stats.decodeFailures.Inc(1)
		level.Error(k.leader.options.Logger).Log("msg", "allotment not readable", "key", entry.Key, "err", err)
	}
}

// follow watches for changes until a call fails or a complete read is due.
func (k *keeper) follow(ctx context.Context, after kvstore.Revision) {
	due := time.Now().Add(k.leader.options.Timing.ReadEvery/2 + rand.N(k.leader.options.Timing.ReadEvery))
	for ctx.Err() == nil && time.Now().Before(due) {
		wait := min(watchWait, time.Until(due))
		call, cancel := context.WithTimeout(ctx, wait+k.leader.options.Timing.StoreCall)
		entries, revision, err := k.leader.options.Store.Watch(call, allotment.StorePrefix, after, wait)
		cancel()
		if err != nil {
			k.leader.failed("watch", err)
			pause(ctx, backoff(1))
			return
		}
		after = max(after, revision)
		k.leader.mu.Lock()
		for _, entry := range entries {
			k.observe(entry)
		}
		k.leader.mu.Unlock()
	}
}

// run renews the domain's record and writes documents until ctx ends.
func (k *keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		ok := k.renewRecord(ctx) && k.fence(ctx) && k.writeDocuments(ctx)
		if ok {
			k.failures = 0
			pause(ctx, idleChecks)
			continue
		}
		k.failures++
		k.unanimity(ctx)
		pause(ctx, backoff(k.failures))
	}
}

// renewRecord renews the domain's record when it is due. It returns false if the
// store did not answer.
func (k *keeper) renewRecord(ctx context.Context) bool {
	l := k.leader
	l.mu.Lock()
	now := l.options.Now()
	snapshot := l.options.Snapshot()
	due := k.reign.term.Loaded() && !k.reign.closed && snapshot != nil && !now.Before(k.recordAt)
	if !due {
		l.mu.Unlock()
		return true
	}
	write, ok := k.reign.term.Renew(now, l.options.Self.ID, k.reign.peers(snapshot), l.operation())
	l.mu.Unlock()
	if !ok {
		return true
	}
	entry, err := k.swap(ctx, write)
	l.mu.Lock()
	defer l.mu.Unlock()
	k.settle(k.reign.term.RecordOutcome(entry, err))
	if !reached(err) {
		return false
	}
	if err == nil {
		k.recordAt = now.Add(l.options.Timing.RecordEvery)
	}
	return true
}

// fence ends the extra shares of domains that are surely over.
func (k *keeper) fence(ctx context.Context) bool {
	l := k.leader
	l.mu.Lock()
	var writes map[string]kvstore.Write
	if k.reign.ready() {
		writes = k.reign.fences(l.options.Now(), l.operation)
	}
	l.mu.Unlock()
	for domain, write := range writes {
		level.Info(l.options.Logger).Log("msg", "ending extra shares of a silent domain", "domain", domain)
		entry, err := k.swap(ctx, write)
		l.mu.Lock()
		k.settle(k.reign.observer.RecordOutcome(l.options.Now(), domain, entry, err))
		l.mu.Unlock()
		if !reached(err) {
			return false
		}
		l.stats.fenced.Inc(1)
	}
	return true
}

// writeDocuments plans the documents when that is due, and writes what changed.
func (k *keeper) writeDocuments(ctx context.Context) bool {
	l := k.leader
	l.mu.Lock()
	now := l.options.Now()
	snapshot := l.options.Snapshot()
	var writes map[int]kvstore.Write
	if snapshot != nil && k.reign.ready() && !k.reign.closed && !now.Before(k.planAt) {
		writes = k.reign.plan(now, snapshot, l.operation)
		k.reign.divide(now, snapshot)
		k.planAt = now.Add(l.options.Timing.PlanEvery/2 + rand.N(l.options.Timing.PlanEvery))
	}
	l.mu.Unlock()
	for index, write := range writes {
		entry, err := k.swap(ctx, write)
		l.mu.Lock()
		k.settle(k.reign.views[index].RecordOutcome(entry, err))
		l.mu.Unlock()
		if !reached(err) {
			return false
		}
		l.stats.documents.Inc(1)
	}
	return true
}

// swap performs one write with a bounded wait.
func (k *keeper) swap(ctx context.Context, write kvstore.Write) (kvstore.Entry, error) {
	call, cancel := context.WithTimeout(ctx, k.leader.options.Timing.StoreCall)
	defer cancel()
	entry, err := k.leader.options.Store.CompareAndSwap(call, write)
	if err != nil && !kvstore.IsKind(err, kvstore.KindConflict) {
		k.leader.failed("compare-and-swap", err)
	}
	return entry, err
}

// settle logs an entry that could not be read.
func (k *keeper) settle(err error) {
	if err != nil {
		k.leader.stats.decodeFailures.Inc(1)
		level.Error(k.leader.options.Logger).Log("msg", "allotment not readable", "err", err)
	}
}

// reached reports whether the store answered.
func reached(err error) bool { return err == nil || kvstore.IsKind(err, kvstore.KindConflict) }

func (l *Leader) failed(call string, err error) {
	l.stats.storeFailures.Inc(1)
	level.Debug(l.options.Logger).Log("msg", "store call failed", "call", call, "err", err)
}

// backoff returns the jittered pause after a number of failures in a row.
func backoff(failures int) time.Duration {
	ceiling := min(retryMin<<min(failures, 8), retryMax)
	return ceiling/2 + rand.N(ceiling)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
