package failure

import (
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
)

func setWeight(weight int) func(c *configuration.Configuration) {
	return func(c *configuration.Configuration) {
		c.ClientAccounts = append([]configuration.ClientAccount(nil), c.ClientAccounts...)
		c.ClientAccounts[0].Weight = weight
	}
}

// Each fault is on while a configuration is applied. It must be in force
// everywhere all the same.
func TestConfigurationReachesAllHostsWithAFaultyStore(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.Store.SetDropWatches(true)
	s.inForce(s.apply(setWeight(2)), s.all()...)
	s.Store.SetDropWatches(false)

	s.Store.LoseNextResponses(1)
	s.inForce(s.apply(setWeight(3)), s.all()...)

	revision := s.apply(setWeight(4))
	s.Store.SetDown(true)
	s.Kill(0)
	require.NoError(t, s.StartHost(0))
	s.inForce(revision-1, s.all()...) // bootstrapped from peers, the store being away
	s.Store.SetDown(false)
	s.inForce(revision, s.all()...)
}

func TestACutOffDomainServesOnAndCatchesUp(t *testing.T) {
	t.Parallel()
	s := start(t)
	cut := s.in("north")
	s.cutOff("north")
	revision := s.apply(func(c *configuration.Configuration) {
		c.WithdrawnKeys = append(c.WithdrawnKeys, configuration.WithdrawnKey{Account: "port", Key: "first"})
	})
	s.inForce(revision, s.notIn("north")...)
	for _, i := range s.notIn("north") {
		require.Equal(t, http.StatusUnauthorized, s.get(i, portKey), "host %d honours a withdrawn key", i)
	}
	s.eventually("the cut-off domain serves", func() bool { return s.get(cut[0], clinicKey) == http.StatusOK })
	require.Less(t, s.Host(cut[0]).Revision(), revision)

	s.rejoin("north")
	s.inForce(revision, s.all()...)
	for _, i := range s.all() {
		require.Equal(t, http.StatusUnauthorized, s.get(i, portKey), "host %d honours a withdrawn key", i)
	}
}

func TestTwoOperatorsWhoRaceGetOneRevision(t *testing.T) {
	t.Parallel()
	s := start(t)
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
	s.inForce(root.Revision+1, s.all()...)
}
