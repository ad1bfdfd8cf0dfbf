package allotment

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// planInput returns the input of domain "a", whose hosts use at most inUse.
func planInput(inUse Share) FleetPlanInput {
	return FleetPlanInput{
		Domain: "a", Epoch: 1, Revision: 1, FloorFraction: 0.5, ExtraShareUsable: true, Rebalance: true,
		Accounts: []Account{{Name: "x", Limit: Share{Rate: 100, Burst: 100}}},
		Domains:  []string{"a", "b"},
		Demand:   func(string) float64 { return 0 },
		InEffect: func(_ string, limit Share) bool { return inUse.Within(limit) },
	}
}

func planDocument(own, other DomainShare) *FleetDocument {
	limit := Share{Rate: 100, Burst: 100}
	return &FleetDocument{
		Epochs:   []DomainEpoch{{Domain: "a", Epoch: 1}},
		Accounts: []FleetAccount{{Account: "x", Revision: 1, Target: limit, InForce: limit, Domains: []DomainShare{own, other}}},
	}
}

func equalShare(r float64) Share { return Share{Rate: r, Burst: r} }

func TestPlan(t *testing.T) {
	busyOther := DomainShare{Domain: "b", Floor: equalShare(10), Extra: equalShare(10), Demand: 90}
	cases := []struct {
		name   string
		own    DomainShare
		other  DomainShare
		inUse  Share
		change func(*FleetPlanInput)
		want   DomainShare
	}{
		{
			"an idle domain gives up a fraction in one step, half of the rest is floor",
			DomainShare{Domain: "a", Floor: equalShare(40), Extra: equalShare(40)}, busyOther, equalShare(20),
			func(*FleetPlanInput) {},
			DomainShare{Domain: "a", Floor: equalShare(28), Extra: equalShare(28)},
		},
		{
			"nothing is written before the hosts shrank",
			DomainShare{Domain: "a", Floor: equalShare(40), Extra: equalShare(40)}, busyOther, equalShare(60),
			func(*FleetPlanInput) {},
			DomainShare{Domain: "a", Floor: equalShare(40), Extra: equalShare(40)},
		},
		{
			"without a valid extra share the floor stays as long as it can",
			DomainShare{Domain: "a", Floor: equalShare(40), Extra: equalShare(40)}, busyOther, equalShare(40),
			func(in *FleetPlanInput) { in.ExtraShareUsable = false },
			DomainShare{Domain: "a", Floor: equalShare(40), Extra: equalShare(16)},
		},
		{
			"an extra share of a fenced generation is removed",
			DomainShare{Domain: "a", Floor: equalShare(50), Extra: equalShare(10)},
			DomainShare{Domain: "b", Floor: equalShare(20), Extra: equalShare(20)}, equalShare(50),
			func(in *FleetPlanInput) { in.Generations = map[string]uint64{"a": 1}; in.ExtraShareUsable = false },
			DomainShare{Domain: "a", Floor: equalShare(50)},
		},
		{
			"the share of a domain that is marked dead goes to the others",
			DomainShare{Domain: "a", Floor: equalShare(25), Extra: equalShare(25)},
			DomainShare{Domain: "b", Floor: equalShare(25), Extra: equalShare(25)}, equalShare(50),
			func(in *FleetPlanInput) { in.Domains, in.Dead = []string{"a"}, []string{"b"} },
			DomainShare{Domain: "a", Floor: equalShare(50), Extra: equalShare(50)},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := planInput(c.inUse)
			c.change(&in)
			plan := planDocument(c.own, c.other).Plan(in)
			assert.Equal(t, c.want, plan.Document.Account("x").Domain("a"))
		})
	}
}

func TestPlanOfOlderLeaderIsStale(t *testing.T) {
	in := planInput(Share{})
	in.Epoch = 0
	assert.True(t, planDocument(DomainShare{Domain: "a"}, DomainShare{Domain: "b"}).Plan(in).Superseded)
}
