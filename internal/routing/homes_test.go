package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHomesOfRouteAndAccountBothApply(t *testing.T) {
	account := &Account{HomeRegions: []string{"east", "west"}}
	for _, c := range []struct {
		route      []string
		account    *Account
		want       []string
		restricted bool
		text       string
	}{
		{nil, nil, nil, false, "all"},
		{nil, &Account{}, nil, false, "all"},
		{[]string{"east"}, nil, []string{"east"}, true, "east"},
		{[]string{"east"}, &Account{}, []string{"east"}, true, "east"},
		{nil, account, []string{"east", "west"}, true, "east west"},
		{[]string{"west", "north"}, account, []string{"west"}, true, "west"},
		{[]string{"north"}, account, []string{}, true, "none"},
	} {
		homes := HomesOf(&Route{HomeRegions: c.route}, c.account)
		require.Equal(t, c.want, homes.Regions())
		require.Equal(t, c.restricted, homes.Restricted())
		require.Equal(t, c.restricted && len(c.want) == 0, homes.Empty())
		require.Equal(t, c.text, homes.String())
		for _, region := range []string{"east", "west", "north", ""} {
			allowed := !c.restricted
			for _, want := range c.want {
				allowed = allowed || want == region
			}
			require.Equal(t, allowed, homes.Allows(region), region)
		}
	}
}
