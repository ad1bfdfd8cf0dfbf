package allotment

import (
	"cmp"
	"slices"
)

const (
	// hostIdle is the part of a whole that is divided among hosts without regard to
	// demand.
	hostIdle = 0.1
	// minHostBurst is the smallest burst worth a bucket of its own, in requests.
	minHostBurst = 4.0
	// keepFactor is how much another holder's demand must exceed the present one's
	// before an undivided whole moves.
	keepFactor = 8.0
)

// claim is one holder's part in a division.
type claim struct {
	demand  float64
	current Share
}

// divideRate splits an account's rate and burst by demand. A holder whose burst
// would be below minBurst gets nothing; if all would be, one holder gets all.
func divideRate(whole Share, claims []claim, idle, minBurst float64) []Share {
	out := make([]Share, len(claims))
	if len(claims) == 0 || whole.Rate <= 0 {
		return out
	}
	weights := demandWeights(claims, idle)
	chosen := byWeight(weights)
	for len(chosen) > 1 && !splits(whole.Burst, weights, chosen, minBurst) {
		chosen = chosen[:len(chosen)-1]
	}
	if len(chosen) == 1 {
		out[keeper(claims, chosen[0])] = Share{Rate: whole.Rate, Burst: whole.Burst}
		return out
	}
	total := sumOf(weights, chosen)
	for _, i := range chosen {
		f := weights[i] / total
		out[i] = Share{Rate: whole.Rate * f, Burst: whole.Burst * f}
	}
	return out
}

// demandWeights gives each claim its part of the demand plus an equal part of idle.
func demandWeights(claims []claim, idle float64) []float64 {
	total := 0.0
	for _, c := range claims {
		total += c.demand
	}
	weights := make([]float64, len(claims))
	equal := 1 / float64(len(claims))
	for i, c := range claims {
		weights[i] = equal
		if total > 0 {
			weights[i] = (1-idle)*c.demand/total + idle*equal
		}
	}
	return weights
}

// byWeight returns the indices, heaviest first, ties in their order.
func byWeight(weights []float64) []int {
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}

func sumOf(weights []float64, chosen []int) float64 {
	total := 0.0
	for _, i := range chosen {
		total += weights[i]
	}
	return total
}

// splits reports whether the lightest of the chosen still gets a useful burst.
func splits(burst float64, weights []float64, chosen []int, minBurst float64) bool {
	lightest := weights[chosen[len(chosen)-1]]
	return burst*lightest/sumOf(weights, chosen) >= minBurst
}

// keeper returns the present holder of most of the rate unless the demand at
// best is far higher.
func keeper(claims []claim, best int) int {
	present := best
	for i, c := range claims {
		if c.current.Rate > claims[present].current.Rate {
			present = i
		}
	}
	if claims[present].current.Rate > 0 && claims[best].demand <= keepFactor*claims[present].demand {
		return present
	}
	return best
}

// divideSlots splits an upstream's slots by demand in whole numbers; the
// connections follow the slots. The sum is exact.
func divideSlots(whole Share, claims []claim) []Share {
	out := make([]Share, len(claims))
	if len(claims) == 0 || whole.Slots <= 0 {
		return out
	}
	weights := demandWeights(claims, hostIdle)
	slots := apportion(whole.Slots, weights, claims)
	for i, n := range slots {
		out[i] = Share{Slots: n, Connections: whole.Connections * n / whole.Slots}
	}
	return out
}

// apportion distributes n units by largest remainder; ties go to the claim that
// holds more at present.
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
