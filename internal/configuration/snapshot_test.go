package configuration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/invariant"
)

func TestRouteMatchesLongestPrefixOfWholeSegments(t *testing.T) {
	s := NewSnapshot(1, &Configuration{Routes: []Route{
		{Service: "s", Prefix: "/"},
		{Service: "s", Prefix: "/open"},
		{Service: "s", Prefix: "/open/closed/"},
	}})
	tests := []struct{ path, want string }{
		{"/", "/"},
		{"/open", "/open"},
		{"/open/x", "/open"},
		{"/opening", "/"},
		{"/open/closed", "/open"},
		{"/open/closed/x", "/open/closed/"},
	}
	for _, test := range tests {
		require.Equal(t, test.want, s.Route("s", test.path).Prefix, test.path)
	}
	require.Nil(t, s.Route("other", "/"))
}

func TestInForceRejectsOlderRevisions(t *testing.T) {
	one := &Configuration{Regions: []Region{{Name: "a"}}}
	two := &Configuration{Regions: []Region{{Name: "b"}}}
	f := NewInForce()
	subscription := f.Subscribe()
	require.Equal(t, Revision(0), f.Revision())
	require.True(t, f.Offer(NewSnapshot(2, one)))
	require.False(t, f.Offer(NewSnapshot(1, two)))
	require.False(t, f.Offer(NewSnapshot(2, one)))
	require.True(t, f.Offer(NewSnapshot(3, two)))
	require.Equal(t, Revision(3), f.Revision())

	<-subscription.Changed()
	require.Empty(t, subscription.Changed(), "two changes are reported as one")
	subscription.Close()
	f.Offer(NewSnapshot(4, one))
	require.Empty(t, subscription.Changed())
}

func TestInForceReportsTwoDigestsOfOneRevision(t *testing.T) {
	var violations []*invariant.Violation
	restore := invariant.SetHandler(func(v *invariant.Violation) { violations = append(violations, v) })
	defer restore()
	f := NewInForce()
	require.True(t, f.Offer(NewSnapshot(2, &Configuration{Regions: []Region{{Name: "a"}}})))
	require.False(t, f.Offer(NewSnapshot(2, &Configuration{Regions: []Region{{Name: "b"}}})))
	require.Len(t, violations, 1)
	require.Equal(t, invariant.RevisionMonotone, violations[0].Invariant)
}
