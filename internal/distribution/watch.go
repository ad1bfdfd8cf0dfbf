package distribution

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/configuration"
	"peridotrail/internal/kvstore"
)

// Pauses of a leader between attempts at the store.
const (
	firstStorePause = 100 * time.Millisecond
	maxStorePause   = 2 * time.Second
	leaderPoll      = 250 * time.Millisecond // time between looks at the leadership
)

// follower reads one prefix of the store while this host is the leader.
type follower struct {
	prefix string
	list   func(ctx context.Context) ([]kvstore.Entry, error)
	take   func(ctx context.Context, entries []kvstore.Entry) error
}

// watchRoot follows the root document.
func (d *Distributor) watchRoot(ctx context.Context) error {
	return d.follow(ctx, follower{
		prefix: configuration.RootKey,
		list: func(ctx context.Context) ([]kvstore.Entry, error) {
			entry, err := d.config.Store.Get(ctx, configuration.RootKey)
			return []kvstore.Entry{entry}, err
		},
		take: d.takeRoot,
	})
}

// watchState follows the state documents.
func (d *Distributor) watchState(ctx context.Context) error {
	return d.follow(ctx, follower{
		prefix: StatePrefix,
		list: func(ctx context.Context) ([]kvstore.Entry, error) {
			return d.config.Store.List(ctx, StatePrefix)
		},
		take: d.takeState,
	})
}

// follow alternates between watching and reading the prefix again, which makes
// up for watches that lag or lose a change. It does nothing while another host
// leads the domain.
func (d *Distributor) follow(ctx context.Context, f follower) error {
	failures := 0
	for ctx.Err() == nil {
		if _, leading := d.config.Leadership.Leading(); !leading {
			pause(ctx, d.random.jitter(leaderPoll))
			continue
		}
		if err := d.readAndWatch(ctx, f); err != nil && ctx.Err() == nil {
			d.counters.storeFailures.Inc(1)
			_ = level.Warn(d.config.Logger).Log("msg", "store not read", "prefix", f.prefix, "err", err)
			pause(ctx, d.random.jitter(storePause(failures)))
			failures++
			continue
		}
		failures = 0
	}
	return nil
}

func storePause(failures int) time.Duration {
	return min(firstStorePause<<min(failures, 10), maxStorePause)
}

// readAndWatch reads the prefix once, then watches it until it is to be read
// again.
func (d *Distributor) readAndWatch(ctx context.Context, f follower) error {
	sent := time.Now()
	entries, err := bounded(ctx, d.config.StoreTimeout, f.list)
	if err != nil {
		return err
	}
	d.contact.seen(sent)
	if err := f.take(ctx, entries); err != nil {
		return err
	}
	after := newest(entries, 0)
	until := sent.Add(d.random.jitter(d.config.RereadPeriod))
	for ctx.Err() == nil {
		wait := min(time.Until(until), d.config.WatchWait)
		if wait <= 0 {
			return nil
		}
		changed, revision, err := d.watch(ctx, f.prefix, after, wait)
		if err != nil {
			return err
		}
		after = max(after, revision, newest(changed, after))
		if err := f.take(ctx, changed); err != nil {
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
		d.contact.seen(sent)
	}
	return entries, revision, err
}

func bounded[T any](ctx context.Context, timeout time.Duration, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return read(ctx)
}

func newest(entries []kvstore.Entry, floor kvstore.Revision) kvstore.Revision {
	for _, entry := range entries {
		floor = max(floor, entry.Revision)
	}
	return floor
}

func (d *Distributor) takeRoot(ctx context.Context, entries []kvstore.Entry) error {
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

func (d *Distributor) takeState(_ context.Context, entries []kvstore.Entry) error {
	documents := make([]Document, 0, len(entries))
	for _, entry := range entries {
		if entry.Exists() {
			documents = append(documents, Document{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
		}
	}
	d.state.put(documents)
	return nil
}
