// Package failure brings faults about in a fleet of ten real hosts in three
// failure domains and checks what must hold all the same.
package failure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	fake "peridotrail/internal/fake/upstream"
	"peridotrail/internal/host"
	"peridotrail/internal/localfleet"
)

const (
	waitLimit = 60 * time.Second
	poll      = 20 * time.Millisecond
	clinicKey = "key-of-clinic"
	portKey   = "key-of-port"
	rate      = 50 // requests per second of each account
	burst     = 20
)

var domains = []string{"east", "west", "north", "east", "west", "north", "east", "west", "north", "east"}

// site is a fleet with its upstreams.
type site struct {
	*localfleet.Fleet
	t         *testing.T
	current   *configuration.Configuration
	upstreams map[string]*fake.Upstream
}

func start(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, upstreams: map[string]*fake.Upstream{}}
	s.current = &configuration.Configuration{
		Regions:        []configuration.Region{{Name: "inland"}, {Name: "coast"}},
		FailureDomains: []configuration.FailureDomain{{Name: "east", Region: "inland"}, {Name: "west", Region: "inland"}, {Name: "north", Region: "coast"}},
		ClientAccounts: []configuration.ClientAccount{account("clinic", clinicKey), account("port", portKey)},
		Services:       []configuration.Service{{Name: "desk", DefaultDeadline: configuration.Duration(2 * time.Second)}},
		Routes:         []configuration.Route{{Service: "desk", Prefix: "/"}},
	}
	for _, domain := range s.current.FailureDomains {
		s.addUpstream(domain.Name)
	}
	fleet, err := localfleet.Start(t.Context(), localfleet.Options{
		Configuration: s.current, Domains: domains, Notice: 200 * time.Millisecond, Grace: 10 * time.Second,
	})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	s.Fleet = fleet
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	require.NoError(t, fleet.WaitReady(ctx))
	s.eventually("hosts know each other", s.complete)
	return s
}

// complete reports whether each host knows all others as live.
func (s *site) complete() bool {
	for _, i := range s.all() {
		for _, member := range s.Host(i).Status(time.Now()).Members {
			if member.State != host.StateLive.String() {
				return false
			}
		}
		if len(s.Host(i).Status(time.Now()).Members) != s.Len() {
			return false
		}
	}
	return true
}

func account(name, key string) configuration.ClientAccount {
	return configuration.ClientAccount{
		Name: name, Rate: rate, Burst: burst,
		Keys: []configuration.Key{{ID: "first", Digest: clientaccount.DigestOf(key).String()}},
	}
}

func (s *site) addUpstream(domain string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	u := fake.New(fake.Settings{Name: "desk-" + domain, Slots: 16, Queue: 16, ServiceTime: 2 * time.Millisecond})
	s.upstreams[domain] = u
	go func() { _ = u.Serve(listener) }() // ends with Close
	s.t.Cleanup(func() { _ = u.Close() })
	s.current.Upstreams = append(s.current.Upstreams, configuration.Upstream{
		Name: "desk-" + domain, Service: "desk", FailureDomain: domain,
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), Slots: 16, Connections: 64,
	})
}

// apply commits a changed configuration through the store.
func (s *site) apply(change func(c *configuration.Configuration)) configuration.Revision {
	s.t.Helper()
	next := *s.current
	change(&next)
	revision, err := s.Apply(s.t.Context(), &next)
	require.NoError(s.t, err)
	s.current = &next
	return revision
}

// eventually waits for a condition without a bound on speed.
func (s *site) eventually(what string, condition func() bool) {
	s.t.Helper()
	limit := time.Now().Add(waitLimit)
	for !condition() {
		require.True(s.t, time.Now().Before(limit), "%s did not happen", what)
		time.Sleep(poll)
	}
}

// inForce waits until the given hosts have a revision in force.
func (s *site) inForce(revision configuration.Revision, hosts ...int) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("revision %d in force", revision), func() bool {
		for _, i := range hosts {
			if h := s.Host(i); h != nil && h.Revision() < revision {
				return false
			}
		}
		return true
	})
}

func (s *site) all() []int {
	var hosts []int
	for i := range s.Len() {
		hosts = append(hosts, i)
	}
	return hosts
}

func (s *site) in(domain string) []int {
	var hosts []int
	for _, i := range s.all() {
		if s.Domain(i) == domain {
			hosts = append(hosts, i)
		}
	}
	return hosts
}

func (s *site) notIn(domain string) []int {
	var hosts []int
	for _, i := range s.all() {
		if s.Domain(i) != domain {
			hosts = append(hosts, i)
		}
	}
	return hosts
}

// get sends one request and returns its status; zero if there was no answer.
func (s *site) get(at int, key string) int {
	status, _ := s.send(at, http.MethodGet, "/desk/list", key, "")
	return status
}

func (s *site) send(at int, method, path, key, idempotencyKey string) (int, string) {
	h := s.Host(at)
	if h == nil {
		return 0, ""
	}
	request, err := http.NewRequestWithContext(s.t.Context(), method, fmt.Sprintf("http://%s%s", h.Self().Entry, path), http.NoBody)
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, strings.TrimSpace(string(body))
}

// cutOff separates a failure domain from the others and from the store.
func (s *site) cutOff(domain string) {
	s.Network.Isolate(domain)
	s.Store.SetPartitioned(domain, true)
}

func (s *site) rejoin(domain string) {
	s.Network.Rejoin(domain)
	s.Store.SetPartitioned(domain, false)
}
