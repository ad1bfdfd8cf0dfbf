package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Host names don't depend on the case of letters, nor on a dot at their end. A request or look-up that spells the name
// otherwise than the policy must not get around its homes.
func TestHomesOfANameDoNotDependOnItsSpelling(t *testing.T) {
	table := NewTable(Policy{Version: 1, Services: []Service{{Name: "s"}}, Routes: []Route{
		{Name: "r", Host: "homed.example", Prefix: "/", HomeRegions: []string{"west"}, Timeout: 1, Targets: []Target{{Service: "s", Weight: 1}}},
	}})
	for _, name := range []string{"homed.example", "homed.example:80", "Homed.Example", "HOMED.EXAMPLE:443", "homed.example.", "homed.example.:80"} {
		homes, known := table.HomesOfName(name)
		assert.True(t, known, name)
		assert.False(t, homes.Allows("east"), name)
		assert.NotNil(t, table.Route(name, "/a"), name)
	}
}
