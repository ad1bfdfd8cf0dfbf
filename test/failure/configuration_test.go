package failure

import (
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/knownfailure"
)

// setWeight returns a change that sets the weight of the first client account.
func setWeight(weight int) func(c *configuration.Configuration) {
	return func(c *configuration.Configuration) {
		c.ClientAccounts = append([]configuration.ClientAccount(nil), c.ClientAccounts...)
		c.ClientAccounts[0].Weight = weight
	}
}

// Guards against a host that misses a revision. The store drops its watches,
// loses the response to a commit, and fails while a host restarts; each revision
// must come into force on every host.
func TestConfigurationReachesAllHostsWithAFaultyStore(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.Store.SetDropWatches(true)
	s.waitInForce(s.apply(setWeight(2)), s.allHosts()...)
	s.Store.SetDropWatches(false)

	s.Store.LoseNextResponses(1)
	s.waitInForce(s.apply(setWeight(3)), s.allHosts()...)

	revision := s.apply(setWeight(4))
	s.Store.SetDown(true)
	s.Kill(0)
	require.NoError(t, s.StartHost(0))
	s.waitInForce(revision-1, s.allHosts()...) // bootstrapped from peers because the store is down
	s.Store.SetDown(false)
	s.waitInForce(revision, s.allHosts()...)
}

// Guards against a failure domain that stops serving, or keeps an old
// configuration, after a network partition. While it is isolated it serves with
// the last revision that it received; after the partition it applies the current one.
func TestACutOffDomainServesOnAndCatchesUp(t *testing.T) {
	knownfailure.SkipIfListed(t)
	t.Parallel()
	s := newFixture(t)
	isolated := s.hostsIn("north")
	s.isolate("north")
	revision := s.apply(func(c *configuration.Configuration) {
		c.WithdrawnKeys = append(c.WithdrawnKeys, configuration.WithdrawnKey{Account: "port", Key: "first"})
	})
	s.waitInForce(revision, s.hostsOutside("north")...)
	for _, i := range s.hostsOutside("north") {
		require.Equal(t, http.StatusUnauthorized, s.get(i, portKey), "host %d accepted a withdrawn key", i)
	}
	s.eventually("the cut-off domain serves", func() bool { return s.get(isolated[0], clinicKey) == http.StatusOK })
	require.Less(t, s.Host(isolated[0]).Revision(), revision)

	s.rejoin("north")
	s.waitInForce(revision, s.allHosts()...)
	for _, i := range s.allHosts() {
		require.Equal(t, http.StatusUnauthorized, s.get(i, portKey), "host %d accepted a withdrawn key", i)
	}
}

// Guards against a lost update. Two operators commit on top of the same
// revision; one commit must succeed and the other must return a ConflictError
// with the difference.
func TestTwoOperatorsWhoRaceGetOneRevision(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	root, _, err := s.Repository.Root(t.Context())
	require.NoError(t, err)
	results := make(chan error, 2)
	for weight := range 2 {
		next := *s.current
		setWeight(10 + weight)(&next)
		go func() {
			_, err := s.Repository.Commit(t.Context(), root.Revision, &next)
			results <- err
		}()
	}
	first, second := <-results, <-results
	require.NotEqual(t, first == nil, second == nil, "%v and %v", first, second)
	failed := first
	if failed == nil {
		failed = second
	}
	var conflict *configuration.ConflictError
	require.True(t, errors.As(failed, &conflict), "%v", failed)
	require.False(t, conflict.Difference.Empty())
	s.waitInForce(root.Revision+1, s.allHosts()...)
}
