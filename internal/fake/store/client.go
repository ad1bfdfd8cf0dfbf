package store

import (
	"context"
	"strings"
	"time"

	"peridotrail/internal/kvstore"
)

// Caller identifies a client of the store. A partition can be limited to a host or a
// failure domain.
type Caller struct {
	Host          string
	FailureDomain string
}

// Client is the store as one caller reaches it. It is safe for concurrent use.
type Client struct {
	store  *Store
	caller Caller
}

var (
	_ kvstore.Store = (*Client)(nil)
	_ kvstore.Store = (*Store)(nil)
)

// Client returns the store as the given caller reaches it.
func (s *Store) Client(caller Caller) *Client { return &Client{store: s, caller: caller} }

// begin counts the call and applies the faults that act before it takes effect. It
// returns with mu held if there is no error.
func (c *Client) begin(ctx context.Context, op, key string, write bool) error {
	s := c.store
	s.mu.Lock()
	s.calls.count(op)
	delay := s.faults.delay
	if delay > 0 {
		s.mu.Unlock()
		if err := sleep(ctx, delay); err != nil {
			return &kvstore.Error{Kind: timeoutKind(write), Op: op, Key: key, Err: err}
		}
		s.mu.Lock()
	}
	if err := s.faults.rejection(c.caller, op, key, write); err != nil {
		s.mu.Unlock()
		return err
	}
	s.expire()
	return nil
}

// timeoutKind returns the kind of error of a call that was cancelled while delayed.
func timeoutKind(write bool) kvstore.ErrorKind {
	if write {
		return kvstore.KindUnknownOutcome
	}
	return kvstore.KindUnavailable
}

// end releases mu. It replaces err by an unknown outcome if the write's response is lost.
func (c *Client) end(op, key string, err error) error {
	lost := c.store.faults.losesResponse()
	c.store.mu.Unlock()
	if lost {
		return newError(kvstore.KindUnknownOutcome, op, key)
	}
	return err
}

// Get implements kvstore.Store.
func (c *Client) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := c.begin(ctx, opGet, key, false); err != nil {
		return kvstore.Entry{}, err
	}
	defer c.store.mu.Unlock()
	return c.store.get(key), nil
}

// List implements kvstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	if err := c.begin(ctx, opList, prefix, false); err != nil {
		return nil, err
	}
	defer c.store.mu.Unlock()
	return c.store.list(prefix), nil
}

// CompareAndSwap implements kvstore.Store.
func (c *Client) CompareAndSwap(ctx context.Context, w kvstore.Write) (kvstore.Entry, error) {
	if err := c.begin(ctx, opCompareAndSwap, w.Key, true); err != nil {
		return kvstore.Entry{}, err
	}
	entry, err := c.store.compareAndSwap(w)
	if err = c.end(opCompareAndSwap, w.Key, err); kvstore.IsKind(err, kvstore.KindUnknownOutcome) {
		return kvstore.Entry{}, err
	}
	return entry, err
}

// Grant implements kvstore.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if err := c.begin(ctx, opGrant, "", true); err != nil {
		return kvstore.LeaseID{}, err
	}
	id, err := c.store.grant(ttl)
	if err = c.end(opGrant, "", err); err != nil {
		return kvstore.LeaseID{}, err
	}
	return id, nil
}

// Renew implements kvstore.Store.
func (c *Client) Renew(ctx context.Context, id kvstore.LeaseID) error {
	if err := c.begin(ctx, opRenew, "", true); err != nil {
		return err
	}
	return c.end(opRenew, "", c.store.renew(id))
}

// Revoke implements kvstore.Store.
func (c *Client) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	if err := c.begin(ctx, opRevoke, "", true); err != nil {
		return err
	}
	return c.end(opRevoke, "", c.store.revoke(id))
}

// Hosts implements kvstore.Store.
func (c *Client) Hosts(ctx context.Context) ([]kvstore.HostRecord, error) {
	if err := c.begin(ctx, opHosts, "", false); err != nil {
		return nil, err
	}
	defer c.store.mu.Unlock()
	return c.store.currentHosts(), nil
}

// Watch implements kvstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kvstore.Revision, limit time.Duration) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := c.begin(ctx, opWatch, prefix, false); err != nil {
		return nil, kvstore.Revision{}, err
	}
	s := c.store
	deadline := s.now().Add(limit)
	for {
		entries, revision := s.visibleChanges(prefix, after)
		remaining := deadline.Sub(s.now())
		if len(entries) > 0 || remaining <= 0 {
			s.mu.Unlock()
			return entries, revision, nil
		}
		changed, delay := s.changed, s.watchRecheckDelay(s.untilExpiry(remaining))
		s.mu.Unlock()
		if err := sleepUntilWoken(ctx, delay, changed); err != nil {
			return nil, kvstore.Revision{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: opWatch, Key: prefix, Err: err}
		}
		s.mu.Lock()
		if err := s.faults.rejection(c.caller, opWatch, prefix, false); err != nil {
			s.mu.Unlock()
			return nil, kvstore.Revision{}, err
		}
		s.expire()
	}
}

// visibleChanges returns the changes under prefix after a revision that watches may
// see, and the newest revision that they may see. The caller holds mu.
func (s *Store) visibleChanges(prefix string, after kvstore.Revision) ([]kvstore.Entry, kvstore.Revision) {
	visible := s.visibleRevision()
	var entries []kvstore.Entry
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) && after.Before(r.changed) && !visible.Before(r.changed) {
			entries = append(entries, r.entry)
		}
	}
	if s.faults.dropWatches {
		return nil, earlier(after, visible)
	}
	sortEntries(entries)
	return entries, visible
}

// visibleRevision returns the newest revision that watches may see. The caller
// holds mu.
func (s *Store) visibleRevision() kvstore.Revision {
	visible := s.revision
	if s.faults.watchLag == 0 {
		return visible
	}
	limit := s.now().Add(-s.faults.watchLag)
	for _, r := range s.records {
		if r.changedAt.After(limit) {
			visible = earlier(visible, kvstore.Revision{Era: r.changed.Era, Number: r.changed.Number - 1})
		}
	}
	return visible
}

func earlier(a, b kvstore.Revision) kvstore.Revision {
	if a.Before(b) {
		return a
	}
	return b
}

// watchRecheckDelay shortens limit so that a watch with a lag checks for changes that
// have become visible. The caller holds mu.
func (s *Store) watchRecheckDelay(limit time.Duration) time.Duration {
	if s.faults.watchLag == 0 {
		return limit
	}
	return min(limit, max(s.faults.watchLag/4, time.Millisecond))
}

func sleep(ctx context.Context, d time.Duration) error { return sleepUntilWoken(ctx, d, nil) }

// sleepUntilWoken sleeps for d or until wake is closed. It fails if ctx ends.
func sleepUntilWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-wake:
	}
	return nil
}

func (s *Store) anonymous() *Client { return s.Client(Caller{}) }

// Get implements kvstore.Store.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	return s.anonymous().Get(ctx, key)
}

// List implements kvstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	return s.anonymous().List(ctx, prefix)
}

// CompareAndSwap implements kvstore.Store.
func (s *Store) CompareAndSwap(ctx context.Context, w kvstore.Write) (kvstore.Entry, error) {
	return s.anonymous().CompareAndSwap(ctx, w)
}

// Grant implements kvstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	return s.anonymous().Grant(ctx, ttl)
}

// Renew implements kvstore.Store.
func (s *Store) Renew(ctx context.Context, id kvstore.LeaseID) error {
	return s.anonymous().Renew(ctx, id)
}

// Revoke implements kvstore.Store.
func (s *Store) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	return s.anonymous().Revoke(ctx, id)
}

// Watch implements kvstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kvstore.Revision, limit time.Duration) ([]kvstore.Entry, kvstore.Revision, error) {
	return s.anonymous().Watch(ctx, prefix, after, limit)
}

// Hosts implements kvstore.Store.
func (s *Store) Hosts(ctx context.Context) ([]kvstore.HostRecord, error) {
	return s.anonymous().Hosts(ctx)
}
