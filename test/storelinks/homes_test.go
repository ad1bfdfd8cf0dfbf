package storelinks

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/knownfailure"
	"peridotrail/platform/platformtest"
)

const (
	homedHost = "homed.example" // its only route has one home
	mixedHost = "mixed.example" // has a route with one home and one without
	freeHost  = "free.example"  // has no homes

	homeRegion = "michigan"
	leftRegion = "ontario" // all its hosts stop

	lookupsOfATest = 40 // of each name
)

// homedPolicy is a policy whose routes of homedHost and mixedHost have homes.
func homedPolicy(version int, homes ...string) string {
	return platformtest.PolicyDocument{
		Version: version, Services: []string{serviceA, serviceB}, Keys: []string{baseKey},
		Routes: []platformtest.PolicyRoute{
			{Host: homedHost, Prefix: "/", Service: serviceA, Homes: homes},
			{Host: mixedHost, Prefix: "/home/", Service: serviceA, Homes: homes},
			{Host: mixedHost, Prefix: "/free/", Service: serviceA},
			{Host: freeHost, Prefix: "/", Service: serviceA},
			{Host: policyHost, Prefix: "/", Service: serviceA},
		},
	}.Text()
}

// regionsOf returns the regions of the hosts with the given addresses for callers.
func (f *fleet) regionsOf(addresses []string) []string {
	var named []string
	for _, h := range f.hosts {
		if slices.Contains(addresses, h.callers) && !slices.Contains(named, regions[h.domain]) {
			named = append(named, regions[h.domain])
		}
	}
	slices.Sort(named)
	return named
}

// stopRegion stops all hosts of a region by plan and waits until they have ended and their registrations are gone.
func (f *fleet) stopRegion(region string) {
	f.t.Helper()
	for _, h := range f.hosts {
		if regions[h.domain] == region {
			h.stop()
		}
	}
	for _, h := range f.hosts {
		if regions[h.domain] == region {
			<-h.ended
		}
	}
	time.Sleep(leaseTime)
}

// Callers of a region whose hosts had all stopped were sent to hosts outside the homes of their route: look-ups
// named the hosts of all regions.
func TestLookupsOfARegionWithoutHostsNameHomesOnly(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := startFleet(t, 2)
	f.store.Put(platformtest.PolicyKey, homedPolicy(1, homeRegion))
	f.run()
	time.Sleep(registrationTime)
	f.stopRegion(leftRegion)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for name, want := range map[string][]string{homedHost: {homeRegion}, mixedHost: {homeRegion}, freeHost: {"michigan", "ohio"}} {
		outside := 0
		for n := range lookupsOfATest {
			h := f.hosts[n%len(f.hosts)]
			if regions[h.domain] == leftRegion {
				continue
			}
			addresses, err := platformtest.LookUp(client, h.lookups, name, leftRegion, "toronto")
			require.NoError(t, err)
			if !slices.Equal(want, f.regionsOf(addresses)) {
				outside++
			}
		}
		require.Zero(t, outside, "look-ups of %s that name other regions than %v", name, want)
	}
}
