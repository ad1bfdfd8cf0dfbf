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

// faultRun runs a cluster under a random sequence of faults.
type faultRun struct {
	*cluster
	random         *rand.Rand
	domains        []string
	latestRevision configuration.Revision
	lastRevisions  map[host.ID]configuration.Revision // last revision seen in force on the host's running process
	epoch          uint64
}

func (h *faultRun) randomDomain() string { return h.domains[h.random.IntN(len(h.domains))] }

func (h *faultRun) randomHost() host.ID {
	return host.ID(fmt.Sprintf("%s-%d", h.randomDomain(), h.random.IntN(3)))
}

// step performs one random action. It brings the store up for a commit, because the
// operator's commit is not subject to faults.
func (h *faultRun) step() {
	switch h.random.IntN(11) {
	case 0, 1, 2:
		h.store.SetDown(false)
		h.latestRevision = h.commit(nil, fmt.Sprintf("r%d", h.random.Uint64()))
	case 3:
		h.store.SetDown(h.random.IntN(2) == 0)
	case 4:
		h.store.SetPartitioned(h.randomDomain(), h.random.IntN(2) == 0)
	case 5:
		h.network.Partition(h.randomDomain(), h.randomDomain())
	case 6:
		for _, other := range h.domains {
			h.network.Heal(h.randomDomain(), other)
		}
	case 7:
		h.store.SetDropWatches(h.random.IntN(2) == 0)
		h.store.LoseNextAnswers(h.random.IntN(3))
	case 8:
		h.epoch++
		id := h.randomHost()
		h.setLeader(h.hosts[id].identity.FailureDomain, id, h.epoch)
	case 9:
		h.restart(h.randomHost())
	case 10:
		loss := h.random.Float64() / 2
		h.network.SetFaults(fleettest.Faults{Loss: loss, Duplication: loss, MaxDelay: 300 * time.Millisecond})
	}
}

func (h *faultRun) restart(id host.ID) {
	identity := h.hosts[id].identity
	h.kill(id)
	h.lastRevisions[id] = 0
	h.start(id, identity.FailureDomain, identity.Incarnation+1)
}

// check fails the test if the revision in force on a running process has decreased,
// or if a revision in force or confirmed was never committed.
func (h *faultRun) check() {
	for id, n := range h.hosts {
		revision := n.inForce.Revision()
		require.GreaterOrEqual(h.t, revision, h.lastRevisions[id], "revision in force on host %s decreased", id)
		require.LessOrEqual(h.t, revision, h.latestRevision, "host %s", id)
		h.lastRevisions[id] = revision
	}
	entries, err := h.store.List(h.t.Context(), ConfirmationPrefix)
	if err != nil {
		return // the store is down
	}
	for _, entry := range entries {
		var confirmed Confirmation
		require.NoError(h.t, json.Unmarshal(entry.Value, &confirmed))
		require.LessOrEqual(h.t, confirmed.Revision, h.latestRevision)
	}
}

func (h *faultRun) heal() {
	h.store.SetDown(false)
	h.store.SetDropWatches(false)
	h.store.LoseNextAnswers(0)
	h.network.SetFaults(fleettest.Faults{MinDelay: time.Millisecond, MaxDelay: 12 * time.Millisecond})
	for _, a := range h.domains {
		h.store.SetPartitioned(a, false)
		for _, b := range h.domains {
			h.network.Heal(a, b)
		}
	}
}

// TestRandomFaults checks that no revision in force decreases under random faults, and
// that once they end every host gets the latest revision and every domain confirms it.
func TestRandomFaults(t *testing.T) {
	runs := 25
	if testing.Short() {
		runs = 8
	}
	for seed := range runs {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runWithVirtualClock(t, func(t *testing.T) {
				domains := []string{"a", "b", "c"}
				h := &faultRun{
					cluster:       newCluster(t, 3, domains...),
					random:        rand.New(rand.NewPCG(uint64(seed), 1)),
					domains:       domains,
					lastRevisions: map[host.ID]configuration.Revision{},
					epoch:         1,
				}
				h.latestRevision = h.commit(nil, "first")
				for range 30 {
					h.step()
					time.Sleep(time.Duration(h.random.IntN(3000)) * time.Millisecond)
					h.check()
				}
				h.heal()
				h.eventually(2*inForceLimit, func() bool { return len(h.hostsWithout(h.latestRevision)) == 0 }, "not in force everywhere")
				h.eventually(2*inForceLimit, func() bool {
					return !slices.ContainsFunc(domains, func(d string) bool { return h.confirmation(d).Revision != h.latestRevision })
				}, "not confirmed")
			})
		})
	}
}
