package distribution

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/configuration"
	"peridotrail/internal/kvstore"
)

// Times between a leader's calls to the store after failures, and between checks of
// the leadership.
const (
	minStoreBackoff      = 100 * time.Millisecond
	maxStoreBackoff      = 2 * time.Second
	leadershipPollPeriod = 250 * time.Millisecond // time between checks while another host leads
)

// prefixWatch is a prefix of the store to watch while this host is the leader.
type prefixWatch struct {
	prefix string
	list   func(ctx context.Context) ([]kvstore.Entry, error)
	apply  func(ctx context.Context, entries []kvstore.Entry) error
}

// watchRoot proposes each change of the root document.
func (d *Distributor) watchRoot(ctx context.Context) error {
	return d.runPrefixWatch(ctx, prefixWatch{
		prefix: configuration.RootKey,
		list: func(ctx context.Context) ([]kvstore.Entry, error) {
			entry, err := d.config.Store.Get(ctx, configuration.RootKey)
			return []kvstore.Entry{entry}, err
		},
		apply: d.applyRoot,
	})
}

// watchState applies each change of the state documents.
func (d *Distributor) watchState(ctx context.Context) error {
	return d.runPrefixWatch(ctx, prefixWatch{
		prefix: StatePrefix,
		list: func(ctx context.Context) ([]kvstore.Entry, error) {
			return d.config.Store.List(ctx, StatePrefix)
		},
		apply: d.applyState,
	})
}

// runPrefixWatch alternates between reading and watching the prefix until ctx ends.
// The reads find changes that a watch delivers late or misses. It does nothing while
// this host is not the leader.
func (d *Distributor) runPrefixWatch(ctx context.Context, w prefixWatch) error {
	failures := 0
	for ctx.Err() == nil {
		if _, leading := d.config.Leadership.Leading(); !leading {
			sleep(ctx, d.random.jitter(leadershipPollPeriod))
			continue
		}
		if err := d.readAndWatch(ctx, w); err != nil && ctx.Err() == nil {
			d.counters.storeFailures.Inc(1)
			_ = level.Warn(d.config.Logger).Log("msg", "failed to read or watch the store", "prefix", w.prefix, "err", err)
			sleep(ctx, d.random.jitter(storeBackoff(failures)))
			failures++
			continue
		}
		failures = 0
	}
	return nil
}

func storeBackoff(failures int) time.Duration {
	return min(minStoreBackoff<<min(failures, 10), maxStoreBackoff)
}

// readAndWatch reads the prefix once, then watches it for about RereadPeriod.
func (d *Distributor) readAndWatch(ctx context.Context, w prefixWatch) error {
	sent := time.Now()
	entries, err := withTimeout(ctx, d.config.StoreTimeout, w.list)
	if err != nil {
		return err
	}
	d.contact.record(sent)
	if err := w.apply(ctx, entries); err != nil {
		return err
	}
	after := maxRevision(entries, kvstore.Revision{})
	rereadAt := sent.Add(d.random.jitter(d.config.RereadPeriod))
	for ctx.Err() == nil {
		wait := min(time.Until(rereadAt), d.config.WatchWait)
		if wait <= 0 {
			return nil
		}
		changed, revision, err := d.watch(ctx, w.prefix, after, wait)
		if err != nil {
			return err
		}
		after = kvstore.Latest(after, revision, maxRevision(changed, after))
		if err := w.apply(ctx, changed); err != nil {
			return err
		}
	}
	return nil
}

func (d *Distributor) watch(ctx context.Context, prefix string, after kvstore.Revision, wait time.Duration) ([]kvstore.Entry, kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+d.config.StoreTimeout)
	defer cancel()
	sent := time.Now()
	entries, revision, err := d.config.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		d.contact.record(sent)
	}
	return entries, revision, err
}

func withTimeout[T any](ctx context.Context, timeout time.Duration, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return read(ctx)
}

// maxRevision returns the greatest revision of the entries, and at least floor.
func maxRevision(entries []kvstore.Entry, floor kvstore.Revision) kvstore.Revision {
	for _, entry := range entries {
		floor = kvstore.Latest(floor, entry.Revision)
	}
	return floor
}

func (d *Distributor) applyRoot(ctx context.Context, entries []kvstore.Entry) error {
	for _, entry := range entries {
		if entry.Key != configuration.RootKey || !entry.Exists() {
			continue
		}
		if err := d.propose(ctx, entry.Value, source{store: true}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Distributor) applyState(_ context.Context, entries []kvstore.Entry) error {
	documents := make([]Document, 0, len(entries))
	for _, entry := range entries {
		if entry.Exists() {
			documents = append(documents, Document{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
		}
	}
	d.state.merge(documents)
	return nil
}
