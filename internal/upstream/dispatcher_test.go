package upstream

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"

	"github.com/stretchr/testify/require"
)

type fixedShare map[string]int

func (s fixedShare) Slots(upstream string, _ time.Time) int       { return s[upstream] }
func (s fixedShare) Connections(upstream string, _ time.Time) int { return s[upstream] }

type fakeTransports struct{}

func (fakeTransports) Upstream(configuration.Upstream, func() int) http.RoundTripper {
	return http.DefaultTransport
}
func (fakeTransports) Peer(host.Identity) http.RoundTripper { return http.DefaultTransport }

func testConfiguration() *configuration.Configuration {
	newUpstream := func(name, domain string, port uint16) configuration.Upstream {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		return configuration.Upstream{Name: name, Service: "booking-desk", FailureDomain: domain, Address: address, Slots: 2, Connections: 4}
	}
	return &configuration.Configuration{
		Services:  []configuration.Service{{Name: "booking-desk"}},
		Upstreams: []configuration.Upstream{newUpstream("u1", "toronto", 1), newUpstream("u2", "toronto", 2), newUpstream("u3", "detroit", 3)},
	}
}

func TestAcquireStaysWithinTheSlotsOfTheDomain(t *testing.T) {
	current := testConfiguration()
	d := New(Options{
		Self:          host.Identity{ID: "h1", FailureDomain: "toronto"},
		Configuration: func() *configuration.Configuration { return current },
		Capacity:      fixedShare{"u1": 2, "u2": 1, "u3": 2},
		Transports:    fakeTransports{},
	})
	used := map[string]int{}
	var permits []*Permit
	for range 3 {
		permit, err := d.Acquire(t.Context(), Work{Service: "booking-desk"})
		require.NoError(t, err)
		used[permit.Target().Upstream]++
		permits = append(permits, permit)
	}
	require.Equal(t, map[string]int{"u1": 2, "u2": 1}, used)

	_, err := d.Acquire(t.Context(), Work{Service: "booking-desk", Deadline: time.Now()})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)

	permits[0].Done(Outcome{Result: ResultOK})
	permits[0].Done(Outcome{Result: ResultOK})
	_, err = d.Acquire(t.Context(), Work{Service: "booking-desk"})
	require.NoError(t, err)
}

func TestAcquireRefusesAnUnknownService(t *testing.T) {
	current := testConfiguration()
	d := New(Options{Configuration: func() *configuration.Configuration { return current }, Transports: fakeTransports{}})
	_, err := d.Acquire(t.Context(), Work{Service: "nothing"})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, ReasonNoUpstream, refused.Reason)
}
