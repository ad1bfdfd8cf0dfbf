package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/registration"
)

// Hosts that the store rejected forgot each other, and named hosts that had ended once they held them.
func TestHeldHosts(t *testing.T) {
	now, doubted := boottime.Instant(time.Hour), true
	live := newLiveSettings(Settings{Host: "self", FailureDomain: "w1", Region: "west", Regions: map[string]string{"w1": "west"}, RetryWindow: time.Second})
	clock := func() boottime.Instant { return now }
	s := newState(live, fakeSchema{}, log.NewNopLogger(), newLimits(live, log.NewNopLogger(), clock), clock, clock)
	s.onUpstreams = func([]catalog.Upstream) {}
	s.storeDoubted = func() bool { return doubted }
	names := []string{"gone", "leaving", "self", "serving", "silent"}
	entry := func(name string, exists bool) kvstore.Entry {
		e := kvstore.Entry{Key: registration.Prefix + name}
		if exists {
			e.Value, e.Revision = fmt.Appendf(nil, `{"name":%q,"entry":"127.0.0.1:1","peer":"127.0.0.1:2"}`, name), kvstore.Revision{Number: 1}
		}
		return e
	}
	apply := func(exists bool, names ...string) {
		var entries []kvstore.Entry
		for _, name := range names {
			entries = append(entries, entry(name, exists))
		}
		s.Apply(entries)
	}
	known := func() string {
		var known []string
		for _, host := range *s.hosts.Load() {
			known = append(known, host.Name)
		}
		return strings.Join(known, " ")
	}
	record := s.recordProbe

	apply(true, names...)
	require.Empty(t, s.hostsToProbe(), "nothing is absent")
	apply(false, names...)
	require.Equal(t, "gone leaving self serving silent", known(), "all are held")
	require.Len(t, s.hostsToProbe(), 4, "all but this host")
	record("gone", errors.Wrap(syscall.ECONNREFUSED, "dial"))
	record("leaving", errNotServing)
	record("silent", context.DeadlineExceeded)
	require.Equal(t, "self serving silent", known(), "one question may be lost")
	now = now.Add(heldSilence + time.Millisecond)
	record("silent", context.DeadlineExceeded)
	record("serving", nil)
	require.Equal(t, "self serving", known())
	record("gone", nil)
	require.Equal(t, "gone self serving", known(), "it has started again")
	apply(true, "leaving")
	require.Equal(t, "gone leaving self serving", known(), "it has registered again")

	doubted = false
	s.expireAbsent()
	require.Empty(t, s.hostsToProbe(), "the store tells who is registered")
	require.Equal(t, "gone leaving self serving", known())
	now = now.Add(catalog.AbsenceGrace + time.Millisecond)
	s.expireAbsent()
	require.Equal(t, "leaving", known())
}

func TestHeldProbe(t *testing.T) {
	status := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == peerReadinessPath {
			w.WriteHeader(status)
		}
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	prober := newHeldProber()
	probe := func() error { return prober.probe(context.Background(), address) }
	status = http.StatusNoContent
	require.NoError(t, probe())
	status = http.StatusNotFound
	require.NoError(t, probe(), "a host of an earlier build")
	status = http.StatusServiceUnavailable
	require.ErrorIs(t, probe(), errNotServing)
	server.Close()
	require.ErrorIs(t, probe(), syscall.ECONNREFUSED)
}
