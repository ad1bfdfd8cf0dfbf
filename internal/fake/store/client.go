package store

import (
	"context"
	"strings"
	"time"

	"peridotrail/internal/kvstore"
)

// Caller names a client of the store. Faults can be limited to it.
type Caller struct {
	Host          string
	FailureDomain string
}

// Client is the view that one caller has of the store.
type Client struct {
	store  *Store
	caller Caller
}

var (
	_ kvstore.Store = (*Client)(nil)
	_ kvstore.Store = (*Store)(nil)
)

// Client returns the view of the given caller.
func (s *Store) Client(caller Caller) *Client { return &Client{store: s, caller: caller} }

// begin counts the call and applies the faults that come before its effect. It
// returns with mu held unless it fails.
func (c *Client) begin(ctx context.Context, op, key string, write bool) error {
	s := c.store
	s.mu.Lock()
	s.calls.add(op)
	delay := s.faults.slow
	if delay > 0 {
		s.mu.Unlock()
		if err := wait(ctx, delay); err != nil {
			return &kvstore.Error{Kind: lateKind(write), Op: op, Key: key, Err: err}
		}
		s.mu.Lock()
	}
	if err := s.faults.refuses(c.caller, op, key, write); err != nil {
		s.mu.Unlock()
		return err
	}
	s.expire()
	return nil
}

func lateKind(write bool) kvstore.ErrorKind {
	if write {
		return kvstore.KindUnknownOutcome
	}
	return kvstore.KindUnavailable
}

// end releases mu and loses the answer of a write if that fault is on.
func (c *Client) end(op, key string, err error) error {
	lost := c.store.faults.losesAnswer()
	c.store.mu.Unlock()
	if lost {
		return failure(kvstore.KindUnknownOutcome, op, key)
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
		return 0, err
	}
	id, err := c.store.grant(ttl)
	if err = c.end(opGrant, "", err); err != nil {
		return 0, err
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
		return nil, 0, err
	}
	s := c.store
	deadline := s.now().Add(limit)
	for {
		entries, revision := s.changes(prefix, after)
		left := deadline.Sub(s.now())
		if len(entries) > 0 || left <= 0 {
			s.mu.Unlock()
			return entries, revision, nil
		}
		changed, pause := s.changed, s.untilVisible(s.untilExpiry(left))
		s.mu.Unlock()
		if err := waitOr(ctx, pause, changed); err != nil {
			return nil, 0, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: opWatch, Key: prefix, Err: err}
		}
		s.mu.Lock()
		if err := s.faults.refuses(c.caller, opWatch, prefix, false); err != nil {
			s.mu.Unlock()
			return nil, 0, err
		}
		s.expire()
	}
}

// changes returns the visible changes under prefix after a revision, and the
// visible revision of the store. The caller holds mu.
func (s *Store) changes(prefix string, after kvstore.Revision) ([]kvstore.Entry, kvstore.Revision) {
	visible := s.visibleRevision()
	var entries []kvstore.Entry
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) && r.changed > after && r.changed <= visible {
			entries = append(entries, r.entry)
		}
	}
	if s.faults.dropWatches {
		return nil, min(after, visible)
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
		if r.at.After(limit) {
			visible = min(visible, r.changed-1)
		}
	}
	return visible
}

// untilVisible shortens limit so that a lagging watch looks again. The caller
// holds mu.
func (s *Store) untilVisible(limit time.Duration) time.Duration {
	if s.faults.watchLag == 0 {
		return limit
	}
	return min(limit, max(s.faults.watchLag/4, time.Millisecond))
}

func wait(ctx context.Context, d time.Duration) error { return waitOr(ctx, d, nil) }

// waitOr waits for d or until wake is closed.
func waitOr(ctx context.Context, d time.Duration, wake <-chan struct{}) error {
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
