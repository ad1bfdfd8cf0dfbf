// Package httpstore implements kvstore.Store with JSON over HTTP.
package httpstore

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"peridotrail/internal/http1"
	"peridotrail/internal/kvstore"
)

const (
	defaultTimeout  = 2 * time.Second
	defaultAttempts = 3
	idleTimeout     = 30 * time.Second
	idleConnections = 4
)

// Client is an HTTP client for a store. It implements kvstore.Store and is safe for
// concurrent use.
type Client struct {
	endpoints []string // base URLs; a failure switches to the next
	current   atomic.Uint32
	http      *http.Client
	timeout   time.Duration
	attempts  int // attempts of one read, including the first
	host      string
	domain    string
	budget    *retryBudget
}

var _ kvstore.Store = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of one attempt of a call. The wait of a watch is added
// to it.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithAttempts sets the number of attempts of a read, including the first. It is at
// least one.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = max(n, 1) } }

// WithCaller sets the host and failure domain that the client reports to the store as
// the caller.
func WithCaller(host, failureDomain string) Option {
	return func(c *Client) { c.host, c.domain = host, failureDomain }
}

// New returns a client for a store with the given base URLs. There must be at least
// one.
func New(endpoints []string, opts ...Option) *Client {
	transport := http1.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}, new(net.Dialer).DialContext)
	c := &Client{
		endpoints: endpoints,
		http:      &http.Client{Transport: transport},
		timeout:   defaultTimeout,
		attempts:  defaultAttempts,
		budget:    newRetryBudget(),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements kvstore.Store.
func (c *Client) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	response, err := c.read(ctx, call{"get", key, PathGet, KeyRequest{key}, c.timeout})
	return response.Entry, err
}

// List implements kvstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	response, err := c.read(ctx, call{"list", prefix, PathList, KeyRequest{prefix}, c.timeout})
	return response.Entries, err
}

// CompareAndSwap implements kvstore.Store.
func (c *Client) CompareAndSwap(ctx context.Context, w kvstore.Write) (kvstore.Entry, error) {
	response, err := c.write(ctx, call{"compare-and-swap", w.Key, PathCompareAndSwap, w, c.timeout})
	return response.Entry, err
}

// Grant implements kvstore.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	response, err := c.write(ctx, call{"grant", "", PathGrant, LeaseRequest{TTL: ttl}, c.timeout})
	return response.Lease, err
}

// Renew implements kvstore.Store.
func (c *Client) Renew(ctx context.Context, id kvstore.LeaseID) error {
	_, err := c.write(ctx, call{"renew", "", PathRenew, LeaseRequest{ID: id}, c.timeout})
	return err
}

// Revoke implements kvstore.Store.
func (c *Client) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	_, err := c.write(ctx, call{"revoke", "", PathRevoke, LeaseRequest{ID: id}, c.timeout})
	return err
}

// Watch implements kvstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kvstore.Revision, wait time.Duration) ([]kvstore.Entry, kvstore.Revision, error) {
	request := WatchRequest{Prefix: prefix, After: after, Wait: wait}
	response, err := c.read(ctx, call{"watch", prefix, PathWatch, request, c.timeout + wait})
	return response.Entries, response.Revision, err
}

// Hosts implements kvstore.Store.
func (c *Client) Hosts(ctx context.Context) ([]kvstore.HostRecord, error) {
	response, err := c.read(ctx, call{"hosts", "", PathHosts, struct{}{}, c.timeout})
	return response.Hosts, err
}
