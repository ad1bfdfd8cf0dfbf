package distribution

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/host"
)

// history is one random run of a cluster under faults.
type history struct {
	*cluster
	random  *rand.Rand
	domains []string
	latest  configuration.Revision
	seen    map[host.ID]configuration.Revision // by the running process of the host
	epoch   uint64
}

func (h *history) domain() string { return h.domains[h.random.IntN(len(h.domains))] }

func (h *history) host() host.ID {
	return host.ID(fmt.Sprintf("%s-%d", h.domain(), h.random.IntN(3)))
}

// step does one random action. Store faults are lifted for a commit, which is
// the operator's and not a host's.
func (h *history) step() {
	switch h.random.IntN(11) {
	case 0, 1, 2:
		h.store.SetDown(false)
		h.latest = h.commit(nil, fmt.Sprintf("r%d", h.random.Uint64()))
	case 3:
		h.store.SetDown(h.random.IntN(2) == 0)
	case 4:
		h.store.SetPartitioned(h.domain(), h.random.IntN(2) == 0)
	case 5:
		h.network.Partition(h.domain(), h.domain())
	case 6:
		for _, other := range h.domains {
			h.network.Heal(h.domain(), other)
		}
	case 7:
		h.store.SetDropWatches(h.random.IntN(2) == 0)
		h.store.LoseNextResponses(h.random.IntN(3))
	case 8:
		h.epoch++
		id := h.host()
		h.lead(h.hosts[id].identity.FailureDomain, id, h.epoch)
	case 9:
		h.restart(h.host())
	case 10:
		loss := h.random.Float64() / 2
		h.network.SetFaults(fleettest.Faults{Loss: loss, Duplication: loss, MaxDelay: 300 * time.Millisecond})
	}
}

func (h *history) restart(id host.ID) {
	identity := h.hosts[id].identity
	h.kill(id)
	h.seen[id] = 0
	h.start(id, identity.FailureDomain, identity.Incarnation+1)
}

// check fails if a running process went back or has a revision that was never
// committed.
func (h *history) check() {
	for id, n := range h.hosts {
		revision := n.inForce.Revision()
		require.GreaterOrEqual(h.t, revision, h.seen[id], "host %s went back", id)
		require.LessOrEqual(h.t, revision, h.latest, "host %s", id)
		h.seen[id] = revision
	}
	entries, err := h.store.List(h.t.Context(), ConfirmationPrefix)
	if err != nil {
		return // the store is down
	}
	for _, entry := range entries {
		var confirmed Confirmation
		require.NoError(h.t, json.Unmarshal(entry.Value, &confirmed))
		require.LessOrEqual(h.t, confirmed.Revision, h.latest)
	}
}

func (h *history) heal() {
	h.store.SetDown(false)
	h.store.SetDropWatches(false)
	h.store.LoseNextResponses(0)
	h.network.SetFaults(fleettest.Faults{MinDelay: time.Millisecond, MaxDelay: 12 * time.Millisecond})
	for _, a := range h.domains {
		h.store.SetPartitioned(a, false)
		for _, b := range h.domains {
			h.network.Heal(a, b)
		}
	}
}

// Under random faults no host goes back; once the faults end, every host has the
// latest revision and every domain confirms it.
func TestRandomFaults(t *testing.T) {
	histories := 25
	if testing.Short() {
		histories = 8
	}
	for seed := range histories {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				domains := []string{"a", "b", "c"}
				h := &history{
					cluster: newCluster(t, 3, domains...),
					random:  rand.New(rand.NewPCG(uint64(seed), 1)),
					domains: domains,
					seen:    map[host.ID]configuration.Revision{},
					epoch:   1,
				}
				h.latest = h.commit(nil, "first")
				for range 30 {
					h.step()
					time.Sleep(time.Duration(h.random.IntN(3000)) * time.Millisecond)
					h.check()
				}
				h.heal()
				h.within(2*inForceLimit, func() bool { return len(h.behind(h.latest)) == 0 }, "not in force everywhere")
				h.within(2*inForceLimit, func() bool {
					return !slices.ContainsFunc(domains, func(d string) bool { return h.confirmation(d).Revision != h.latest })
				}, "not confirmed")
			})
		})
	}
}
