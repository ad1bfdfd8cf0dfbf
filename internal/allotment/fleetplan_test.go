package allotment

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// planInput is the input of domain "a", whose hosts use no more than live.
func planInput(live Share) FleetInput {
	return FleetInput{
		Domain: "a", Epoch: 1, Revision: 1, FloorFraction: 0.5, ExtraValid: true, Rebalance: true,
		Accounts: []Account{{Name: "x", Whole: Share{Rate: 100, Burst: 100}}},
		Domains:  []string{"a", "b"},
		Demand:   func(string) float64 { return 0 },
		InEffect: func(_ string, limit Share) bool { return live.Within(limit) },
	}
}

func planDocument(own, other DomainShare) *FleetDocument {
	whole := Share{Rate: 100, Burst: 100}
	return &FleetDocument{
		Epochs:   []DomainEpoch{{Domain: "a", Epoch: 1}},
		Accounts: []FleetAccount{{Account: "x", Revision: 1, Target: whole, InForce: whole, Domains: []DomainShare{own, other}}},
	}
}

func rate(r float64) Share { return Share{Rate: r, Burst: r} }

func TestPlan(t *testing.T) {
	demanding := DomainShare{Domain: "b", Floor: rate(10), Extra: rate(10), Demand: 90}
	cases := []struct {
		name   string
		own    DomainShare
		other  DomainShare
		live   Share
		change func(*FleetInput)
		want   DomainShare
	}{
		{
			"an idle domain gives up a part in a step, half of the rest is floor",
			DomainShare{Domain: "a", Floor: rate(40), Extra: rate(40)}, demanding, rate(20),
			func(*FleetInput) {},
			DomainShare{Domain: "a", Floor: rate(28), Extra: rate(28)},
		},
		{
			"nothing is written before the hosts shrank",
			DomainShare{Domain: "a", Floor: rate(40), Extra: rate(40)}, demanding, rate(60),
			func(*FleetInput) {},
			DomainShare{Domain: "a", Floor: rate(40), Extra: rate(40)},
		},
		{
			"without a valid extra share the floor stays as long as it can",
			DomainShare{Domain: "a", Floor: rate(40), Extra: rate(40)}, demanding, rate(40),
			func(in *FleetInput) { in.ExtraValid = false },
			DomainShare{Domain: "a", Floor: rate(40), Extra: rate(16)},
		},
		{
			"an extra share of a fenced generation counts for nothing",
			DomainShare{Domain: "a", Floor: rate(50), Extra: rate(10)},
			DomainShare{Domain: "b", Floor: rate(20), Extra: rate(20)}, rate(50),
			func(in *FleetInput) { in.Generations = map[string]uint64{"a": 1}; in.ExtraValid = false },
			DomainShare{Domain: "a", Floor: rate(50)},
		},
		{
			"a domain that is marked dead gives its share up to the others",
			DomainShare{Domain: "a", Floor: rate(25), Extra: rate(25)},
			DomainShare{Domain: "b", Floor: rate(25), Extra: rate(25)}, rate(50),
			func(in *FleetInput) { in.Domains, in.Dead = []string{"a"}, []string{"b"} },
			DomainShare{Domain: "a", Floor: rate(50), Extra: rate(50)},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := planInput(c.live)
			c.change(&in)
			plan := planDocument(c.own, c.other).Plan(in)
			assert.Equal(t, c.want, plan.Document.Account("x").Domain("a"))
		})
	}
}

func TestPlanOfOlderLeaderIsStale(t *testing.T) {
	in := planInput(Share{})
	in.Epoch = 0
	assert.True(t, planDocument(DomainShare{Domain: "a"}, DomainShare{Domain: "b"}).Plan(in).Stale)
}
