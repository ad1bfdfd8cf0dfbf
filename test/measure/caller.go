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
	answerCache    = 5 * time.Second // for which a caller uses a look-up answer
	connectTimeout = 300 * time.Millisecond
	maxAnswer      = 64 << 10
)

// caller sends requests as the clients of the deployment do.
type caller struct {
	system     system
	deployment *deployment
	http       *http.Client

	mu    sync.Mutex
	cache map[place]cachedAnswer
}

type cachedAnswer struct {
	hosts []netip.AddrPort
	until time.Time
}

func newCaller(s system, d *deployment) *caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}
	return &caller{system: s, deployment: d, http: &http.Client{Transport: transport}, cache: map[place]cachedAnswer{}}
}

// send sends one request to the first host that can be reached. A request is
// sent to another host only if no connection to the former was made.
func (c *caller) send(ctx context.Context, a arrival) outcome {
	time.Sleep(delayToClient)
	defer time.Sleep(delayToClient)
	for _, address := range c.hosts(ctx, a.place, a.service) {
		o, connected := c.try(ctx, address, a)
		if connected {
			return o
		}
	}
	return outcomeCut
}

func (c *caller) try(ctx context.Context, address netip.AddrPort, a arrival) (o outcome, connected bool) {
	deadline := a.deadline()
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method(a), c.url(address, a), http.NoBody)
	if err != nil {
		return outcomeCut, true
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+keyOf(a.account))
	request.Header.Set(entry.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		return outcomeCut, !isDialError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	switch {
	case err != nil:
		return outcomeCut, true
	case response.StatusCode == http.StatusOK && string(body) == fmt.Sprintf("answer to %d\n", a.id):
		return outcomeServed, true
	case response.StatusCode == http.StatusTooManyRequests:
		return outcomeRateRefused, true
	case response.Header.Get("Content-Type") == problem.ContentType:
		return outcomeRefused, true
	default:
		return outcomeCut, true
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

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// hosts returns the entry hosts to use, from a look-up that may be cached.
func (c *caller) hosts(ctx context.Context, next place, service string) []netip.AddrPort {
	c.mu.Lock()
	cached := c.cache[next]
	c.mu.Unlock()
	if time.Now().Before(cached.until) {
		return cached.hosts
	}
	hosts := c.system.lookup(ctx, next, service)
	if len(hosts) == 0 {
		return cached.hosts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[next] = cachedAnswer{hosts: hosts, until: time.Now().Add(answerCache)}
	return hosts
}

// ask asks one entry host for the hosts that a caller should use.
func ask(ctx context.Context, host netip.AddrPort, service string, client netip.Addr) []netip.AddrPort {
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
	var answer api.LookupResponse
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	var addresses []netip.AddrPort
	for _, h := range answer.Hosts {
		addresses = append(addresses, h.Address)
	}
	return addresses
}
