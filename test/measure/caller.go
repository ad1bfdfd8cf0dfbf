package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/api"
	"peridotrail/internal/entry"
	"peridotrail/internal/problem"
)

const (
	lookupCacheTime  = 5 * time.Second // for which a caller reuses the result of a look-up
	connectTimeout   = 300 * time.Millisecond
	maxResponseBytes = 64 << 10
)

// caller sends requests as the clients of the deployment do. It is safe for
// concurrent use.
type caller struct {
	system     system
	deployment *deployment
	http       *http.Client

	mu    sync.Mutex
	cache map[callerGroup]cachedHosts
}

// cachedHosts is the result of a look-up.
type cachedHosts struct {
	hosts   []netip.AddrPort
	expires time.Time
}

func newCaller(s system, d *deployment) *caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}
	return &caller{system: s, deployment: d, http: &http.Client{Transport: transport}, cache: map[callerGroup]cachedHosts{}}
}

// send sends one request to the first host that can be reached. It tries the next
// host only if the connection to the previous one could not be opened.
func (c *caller) send(ctx context.Context, a arrival) outcome {
	time.Sleep(delayToClient)
	defer time.Sleep(delayToClient)
	for _, address := range c.hosts(ctx, a.group, a.service) {
		o, connected := c.sendTo(ctx, address, a)
		if connected {
			return o
		}
	}
	return outcomeFailed
}

// sendTo sends one request to one host and reports whether a connection was opened.
func (c *caller) sendTo(ctx context.Context, address netip.AddrPort, a arrival) (o outcome, connected bool) {
	deadline := a.deadline()
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method(a), c.url(address, a), http.NoBody)
	if err != nil {
		return outcomeFailed, true
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+accountKey(a.account))
	request.Header.Set(entry.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		return outcomeFailed, !isDialError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch {
	case err != nil:
		return outcomeFailed, true
	case response.StatusCode == http.StatusOK && string(body) == fmt.Sprintf("answer to %d\n", a.id):
		return outcomeServed, true
	case response.StatusCode == http.StatusTooManyRequests:
		return outcomeRateRefused, true
	case response.Header.Get("Content-Type") == problem.ContentType:
		return outcomeRefused, true
	default:
		return outcomeFailed, true
	}
}

func method(a arrival) string {
	if a.post {
		return http.MethodPost
	}
	return http.MethodGet
}

func (c *caller) url(address netip.AddrPort, a arrival) string {
	long := ""
	if a.long {
		long = "&" + longParam
	}
	return fmt.Sprintf("http://%s/%s/work?%s=%d%s", address, a.service, requestIDParam, a.id, long)
}

// isDialError reports whether the connection could not be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// hosts returns the entry hosts to use, from the cache or from a look-up. If the
// look-up fails it returns expired cached hosts.
func (c *caller) hosts(ctx context.Context, group callerGroup, service string) []netip.AddrPort {
	c.mu.Lock()
	cached := c.cache[group]
	c.mu.Unlock()
	if time.Now().Before(cached.expires) {
		return cached.hosts
	}
	hosts := c.system.lookup(ctx, group, service)
	if len(hosts) == 0 {
		return cached.hosts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[group] = cachedHosts{hosts: hosts, expires: time.Now().Add(lookupCacheTime)}
	return hosts
}

// lookupAt sends a look-up to one entry host and returns the hosts that the client
// should use, or none if the look-up failed.
func lookupAt(ctx context.Context, host netip.AddrPort, service string, client netip.Addr) []netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%s&%s=%s", host, api.LookupPath, api.ServiceParameter, service, api.ClientParameter, client)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var decoded api.LookupResponse
	if json.NewDecoder(response.Body).Decode(&decoded) != nil {
		return nil
	}
	var addresses []netip.AddrPort
	for _, h := range decoded.Hosts {
		addresses = append(addresses, h.Address)
	}
	return addresses
}
