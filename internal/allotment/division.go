package allotment

import (
	"cmp"
	"math"
	"slices"
)

const (
	// hostIdle is the part of a whole that is divided among hosts without regard to
	// demand.
	hostIdle = 0.1
	// minHostBurst is the smallest burst worth a bucket of its own, in requests.
	minHostBurst = 4.0
	// keepFactor is how much another holder's demand must exceed a present one's
	// before a share moves from the one to the other.
	keepFactor = 8.0
	// moveFraction is the part of the whole rate that a holder's demand must reach
	// before a share moves to it. Smaller demands are met by loans.
	moveFraction = 0.25
	// keepBurst and splitBurst are the factors on the smallest useful burst below
	// which a present holder loses its share, and above which further holders get one.
	keepBurst  = 0.75
	splitBurst = 1.25
)

// claim is one holder's part in a division.
type claim struct {
	demand  float64
	current Share
}

// divideRate splits an account's rate and burst by demand. A holder whose burst
// would be below minBurst gets nothing; if all would be, one holder gets all. The
// present holders stay while demand changes little, since a share that moves is
// used by no one on the way.
func divideRate(whole Share, claims []claim, idle, minBurst float64) []Share {
	out := make([]Share, len(claims))
	if len(claims) == 0 || whole.Rate <= 0 {
		return out
	}
	weights := demandWeights(claims, idle)
	chosen := choose(whole, claims, weights, minBurst)
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
	lightest := math.Inf(1)
	for _, i := range chosen {
		lightest = min(lightest, weights[i])
	}
	return burst*lightest/sumOf(weights, chosen) >= minBurst
}

// choose returns the claims that get a share.
func choose(whole Share, claims []claim, weights []float64, minBurst float64) []int {
	best := byWeight(weights)
	for len(best) > 1 && !splits(whole.Burst, weights, best, minBurst) {
		best = best[:len(best)-1]
	}
	var present, others []int
	for i, c := range claims {
		if c.current.Rate > 0 {
			present = append(present, i)
		} else {
			others = append(others, i)
		}
	}
	switch {
	case len(present) == 0,
		len(best) > len(present) && splits(whole.Burst, weights, best, minBurst*splitBurst),
		len(present) > 1 && !splits(whole.Burst, weights, present, minBurst*keepBurst),
		mostDemand(claims, others) > max(keepFactor*leastDemand(claims, present), moveFraction*whole.Rate):
		return best
	default:
		return present
	}
}

func mostDemand(claims []claim, of []int) float64 {
	most := 0.0
	for _, i := range of {
		most = max(most, claims[i].demand)
	}
	return most
}

func leastDemand(claims []claim, of []int) float64 {
	least := math.Inf(1)
	for _, i := range of {
		least = min(least, claims[i].demand)
	}
	return least
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
