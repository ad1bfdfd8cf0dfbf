package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/routing"
)

const relayStart = boottime.Instant(time.Hour)

// relayHosts returns hosts of two regions with two failure domains each.
func relayHosts(n int) []catalog.Host {
	var hosts []catalog.Host
	for i := range n {
		domain := []string{"west-a", "west-b", "east-a", "east-b"}[i%4]
		hosts = append(hosts, catalog.Host{
			Name: fmt.Sprintf("h-%d", i), FailureDomain: domain, Region: domain[:4], RelayAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		})
	}
	return hosts
}

func newTestPeers(n int) *relayPeers {
	r := newRelayPeers("west-a", "west")
	r.setHosts(relayHosts(n), "h-0")
	return r
}

// A failure domain without links sends all its requests through the others.
func TestRelayedRequestsAreSpreadOverHosts(t *testing.T) {
	for _, hosts := range []int{8, 83, 300} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			r := newTestPeers(hosts)
			for _, h := range relayHosts(hosts) {
				if h.FailureDomain == "west-a" { // cut off too
					r.release(relayPeer{host: h}, true, relayStart)
				}
			}
			counts := map[string]int{}
			const requests = 200
			for range requests {
				peer, ok := r.acquire(routing.Homes{}, nil, relayStart)
				if !ok {
					break // all hosts have as many as they may
				}
				counts[peer.host.Name]++
				require.NotEqual(t, "west-a", peer.host.FailureDomain)
			}
			near, far, most := 0, 0, 0
			for _, h := range relayHosts(hosts) {
				most = max(most, counts[h.Name])
				switch h.FailureDomain {
				case "west-b":
					near = max(near, counts[h.Name])
				case "east-a", "east-b":
					far = max(far, counts[h.Name])
				}
			}
			require.LessOrEqual(t, most, maxRelaysPerPeer)
			require.GreaterOrEqual(t, near, far, "hosts of the region go first")
			for _, h := range relayHosts(hosts) {
				if h.FailureDomain == "west-b" {
					require.GreaterOrEqual(t, counts[h.Name], near-1, "%s, the most is %d", h.Name, near)
				}
			}
		})
	}
}

// All hosts of the failure domain were cut off, and a request was passed to three of them.
func TestHostsOfAnotherDomainAreAskedAfterOneThatIsCutOff(t *testing.T) {
	for _, hosts := range []int{8, 83, 300} {
		r := newTestPeers(hosts)
		first, ok := r.acquire(routing.Homes{}, nil, relayStart)
		require.True(t, ok)
		require.Equal(t, "west-a", first.host.FailureDomain)
		r.release(first, true, relayStart)
		second, ok := r.acquire(routing.Homes{}, []catalog.Host{first.host}, relayStart)
		require.True(t, ok)
		require.Equal(t, "west-b", second.host.FailureDomain)
		third, ok := r.acquire(routing.Homes{}, []catalog.Host{first.host, second.host}, relayStart)
		require.True(t, ok)
		require.NotContains(t, []string{first.host.Name, second.host.Name}, third.host.Name)
	}
}

func TestNearHostsSendFirst(t *testing.T) {
	r := newTestPeers(12)
	peer, ok := r.acquire(routing.Homes{}, nil, relayStart)
	require.True(t, ok)
	require.Equal(t, "west-a", peer.host.FailureDomain)
	require.NotEqual(t, "h-0", peer.host.Name, "a host does not relay to itself")
}

func TestHostThatCouldNotSendIsNotAskedForAWhile(t *testing.T) {
	r := newTestPeers(2)
	peer, ok := r.acquire(routing.Homes{}, nil, relayStart)
	require.True(t, ok)
	r.release(peer, true, relayStart)
	_, ok = r.acquire(routing.Homes{}, nil, relayStart.Add(peerBackoff-1))
	require.False(t, ok)
	_, ok = r.acquire(routing.Homes{}, nil, relayStart.Add(peerBackoff))
	require.True(t, ok)
	_, ok = r.acquire(routing.Homes{}, []catalog.Host{peer.host}, relayStart.Add(peerBackoff))
	require.False(t, ok, "tried before")
}

func TestRequestsWithHomesStayInTheirRegions(t *testing.T) {
	r := newTestPeers(12)
	for range 20 {
		peer, ok := r.acquire(routing.NewHomes([]string{"east"}), nil, relayStart)
		require.True(t, ok)
		require.Equal(t, "east", peer.host.Region)
	}
}

func TestHostsWithoutRelaysAreNotAsked(t *testing.T) {
	r := newRelayPeers("west-a", "west")
	r.setHosts([]catalog.Host{{Name: "old", FailureDomain: "west-a", Region: "west"}}, "h-0")
	_, ok := r.acquire(routing.Homes{}, nil, relayStart)
	require.False(t, ok)
}
