package distribution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/host"
)

func TestNeighboursAreFewAndStay(t *testing.T) {
	var fleet []host.Identity
	for i := range 660 {
		fleet = append(fleet, host.Identity{ID: host.ID(fmt.Sprintf("h%d", i))})
	}
	before := append([]host.Identity(nil), neighbours("self", append([]host.Identity(nil), fleet...))...)
	require.Len(t, before, neighbourCount)

	without := append([]host.Identity(nil), fleet...)
	without = append(without[:100], without[101:]...)
	kept := 0
	for _, peer := range neighbours("self", without) {
		for _, old := range before {
			if peer.ID == old.ID {
				kept++
			}
		}
	}
	require.GreaterOrEqual(t, kept, neighbourCount-1, "one host that leaves replaces at most one neighbour")
	require.NotEqual(t, before, neighbours("other", append([]host.Identity(nil), fleet...)))
}
