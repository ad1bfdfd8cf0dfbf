package allotment

import (
	"cmp"
	"math"
	"slices"
)

const (
	// hostEqualFraction is the fraction of a limit that is divided equally among the
	// hosts; the rest is divided by demand.
	hostEqualFraction = 0.1
	// minHostBurst is the smallest useful burst of a host's share, in requests.
	minHostBurst = 4.0
	// moveDemandFactor is the factor by which the demand of a claim without a share
	// must exceed the smallest demand of a claim with one before the share moves.
	moveDemandFactor = 8.0
	// moveDemandMinimum is the fraction of the rate limit that a claim's demand must
	// exceed before a share moves to it. Loans cover smaller demands.
	moveDemandMinimum = 0.25
	// keepBurstFactor and splitBurstFactor are multiples of the smallest useful burst:
	// the burst below which a current holder loses its share, and the burst that all
	// must reach before further holders get one.
	keepBurstFactor  = 0.75
	splitBurstFactor = 1.25
)

// claim is the demand and current share of one host or failure domain.
type claim struct {
	demand  float64
	current Share
}

// divideRate divides an account's rate and burst by demand; equalFraction is divided
// equally. A claim whose burst would be below minBurst gets nothing; if that holds
// for all, one claim gets everything. Current holders keep their shares while demand
// changes little, because nobody can use a share while it moves.
func divideRate(limit Share, claims []claim, equalFraction, minBurst float64) []Share {
	out := make([]Share, len(claims))
	if len(claims) == 0 || limit.Rate <= 0 {
		return out
	}
	weights := demandWeights(claims, equalFraction)
	chosen := chooseClaims(limit, claims, weights, minBurst)
	total := sumWeights(weights, chosen)
	for _, i := range chosen {
		f := weights[i] / total
		out[i] = Share{Rate: limit.Rate * f, Burst: limit.Burst * f}
	}
	return out
}

// demandWeights returns the weight of each claim. The weights add up to 1:
// equalFraction is divided equally, the rest in proportion to demand.
func demandWeights(claims []claim, equalFraction float64) []float64 {
	total := 0.0
	for _, c := range claims {
		total += c.demand
	}
	weights := make([]float64, len(claims))
	equalWeight := 1 / float64(len(claims))
	for i, c := range claims {
		weights[i] = equalWeight
		if total > 0 {
			weights[i] = (1-equalFraction)*c.demand/total + equalFraction*equalWeight
		}
	}
	return weights
}

// byWeight returns the indices in descending order of weight; the sort is stable.
func byWeight(weights []float64) []int {
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}

func sumWeights(weights []float64, chosen []int) float64 {
	total := 0.0
	for _, i := range chosen {
		total += weights[i]
	}
	return total
}

// allReachBurst reports whether each of the chosen claims gets at least minBurst.
func allReachBurst(burst float64, weights []float64, chosen []int, minBurst float64) bool {
	lightest := math.Inf(1)
	for _, i := range chosen {
		lightest = min(lightest, weights[i])
	}
	return burst*lightest/sumWeights(weights, chosen) >= minBurst
}

// chooseClaims returns the indices of the claims that get a share.
func chooseClaims(limit Share, claims []claim, weights []float64, minBurst float64) []int {
	best := byWeight(weights)
	for len(best) > 1 && !allReachBurst(limit.Burst, weights, best, minBurst) {
		best = best[:len(best)-1]
	}
	var current, others []int
	for i, c := range claims {
		if c.current.Rate > 0 {
			current = append(current, i)
		} else {
			others = append(others, i)
		}
	}
	switch {
	case len(current) == 0,
		len(best) > len(current) && allReachBurst(limit.Burst, weights, best, minBurst*splitBurstFactor),
		len(current) > 1 && !allReachBurst(limit.Burst, weights, current, minBurst*keepBurstFactor),
		mostDemand(claims, others) > max(moveDemandFactor*leastDemand(claims, current), moveDemandMinimum*limit.Rate):
		return best
	default:
		return current
	}
}

func mostDemand(claims []claim, indices []int) float64 {
	most := 0.0
	for _, i := range indices {
		most = max(most, claims[i].demand)
	}
	return most
}

func leastDemand(claims []claim, indices []int) float64 {
	least := math.Inf(1)
	for _, i := range indices {
		least = min(least, claims[i].demand)
	}
	return least
}

// divideSlots divides an upstream's slots by demand into whole numbers that add up
// to the limit. Connections are divided in proportion to the slots.
func divideSlots(limit Share, claims []claim) []Share {
	out := make([]Share, len(claims))
	if len(claims) == 0 || limit.Slots <= 0 {
		return out
	}
	weights := demandWeights(claims, hostEqualFraction)
	slots := apportion(limit.Slots, weights, claims)
	for i, n := range slots {
		out[i] = Share{Slots: n, Connections: limit.Connections * n / limit.Slots}
	}
	return out
}

// apportion distributes n units by the largest remainder method; ties go to the
// claim that has more slots at present.
func apportion(n int, weights []float64, claims []claim) []int {
	units := make([]int, len(weights))
	remainders := make([]float64, len(weights))
	left := n
	for i, w := range weights {
		exact := w * float64(n)
		units[i] = int(exact)
		remainders[i] = exact - float64(units[i])
		left -= units[i]
	}
	order := byWeight(remainders)
	slices.SortStableFunc(order, func(a, b int) int {
		if d := remainders[b] - remainders[a]; d > tolerance || d < -tolerance {
			return cmp.Compare(remainders[b], remainders[a])
		}
		return cmp.Compare(claims[b].current.Slots, claims[a].current.Slots)
	})
	for _, i := range order[:max(min(left, len(order)), 0)] {
		units[i]++
	}
	return units
}
