package distribution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/host"
)

func TestRendezvousPeersAreFewAndStable(t *testing.T) {
	var fleet []host.Identity
	for i := range 660 {
		fleet = append(fleet, host.Identity{ID: host.ID(fmt.Sprintf("h%d", i))})
	}
	before := append([]host.Identity(nil), rendezvousPeers("self", append([]host.Identity(nil), fleet...))...)
	require.Len(t, before, rendezvousPeerCount)

	without := append([]host.Identity(nil), fleet...)
	without = append(without[:100], without[101:]...)
	kept := 0
	for _, peer := range rendezvousPeers("self", without) {
		for _, old := range before {
			if peer.ID == old.ID {
				kept++
			}
		}
	}
	require.GreaterOrEqual(t, kept, rendezvousPeerCount-1, "removing one host replaces at most one rendezvous peer")
	require.NotEqual(t, before, rendezvousPeers("other", append([]host.Identity(nil), fleet...)))
}
