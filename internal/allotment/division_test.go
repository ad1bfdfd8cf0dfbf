package allotment

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func holderIndices(shares []Share) []int {
	var all []int
	for i, s := range shares {
		if s.Rate > 0 {
			all = append(all, i)
		}
	}
	return all
}

// Guards against shares that move with each change in the order of demands, which
// leaves half of the rate unused. The burst is too small for all holders, and their
// demands differ only by noise.
func TestSharesStayUnderDemandNoise(t *testing.T) {
	tests := []struct {
		name    string
		burst   float64
		demands []float64
	}{
		{"two of three", 10, []float64{100, 100, 100}},
		{"one or two of two", 10, []float64{200, 100}}, // the second gets a burst of 3.9; the smallest useful one is 4
		{"three of ten", 16, []float64{10, 10, 10, 10, 10, 10, 10, 10, 10, 10}},
		{"one of three", 3, []float64{1, 1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			limit := Share{Rate: 20, Burst: test.burst}
			claims := make([]claim, len(test.demands))
			var first []int
			for round := range 2000 {
				for i, demand := range test.demands {
					claims[i].demand = demand * (0.9 + 0.2*random.Float64())
				}
				shares := divideRate(limit, claims, domainEqualFraction, minDomainBurst)
				sum := Share{}
				for i, s := range shares {
					claims[i].current = s
					sum = sum.Plus(s)
				}
				require.InDelta(t, limit.Rate, sum.Rate, 1e-9)
				require.InDelta(t, limit.Burst, sum.Burst, 1e-9)
				if round == 0 {
					first = holderIndices(shares)
				}
				require.Equal(t, first, holderIndices(shares), "round %d", round)
			}
		})
	}
}

// Shares follow lasting changes of the demand.
func TestSharesFollowDemand(t *testing.T) {
	tests := []struct {
		name    string
		burst   float64
		demands []float64
		current []float64 // rates
		want    []int
	}{
		{"to a holder with far more demand", 10, []float64{1, 1, 100}, []float64{10, 10, 0}, []int{2}},
		{"not to one with a little more", 10, []float64{10, 10, 40}, []float64{10, 10, 0}, []int{0, 1}},
		{"not from one whose demand is not measured yet", 7, []float64{0, 2, 2}, []float64{20, 0, 0}, []int{0}},
		{"from one without demand to one with much", 7, []float64{0, 6, 2}, []float64{20, 0, 0}, []int{1}},
		{"from a holder without demand", 10, []float64{10, 0, 0}, []float64{10, 10, 0}, []int{0}},
		{"to all when the burst has grown", 100, []float64{10, 10, 10}, []float64{20, 0, 0}, []int{0, 1, 2}},
		{"to fewer when the burst has shrunk", 3, []float64{11, 10, 10}, []float64{7, 7, 6}, []int{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			claims := make([]claim, len(test.demands))
			for i := range claims {
				claims[i] = claim{demand: test.demands[i], current: Share{Rate: test.current[i]}}
			}
			require.Equal(t, test.want, holderIndices(divideRate(Share{Rate: 20, Burst: test.burst}, claims, domainEqualFraction, minDomainBurst)))
		})
	}
}
