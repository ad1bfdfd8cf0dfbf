package quota

// minPartRate is the smallest rate of a part, in requests per second. With smaller parts, a
// host that gains a token every second refuses requests while other hosts hold unused ones,
// and borrowing hosts ask holders that have none.
const minPartRate = 8.0

// minPartBurst is the smallest burst of a part, in tokens. With a burst of 1, a host would
// reject the second of two requests that arrive together.
const minPartBurst = 2.0

// Parts returns into how many parts an account's rate is divided, in requests per second: as
// many as there are parts of minPartRate, at least one for each region, so that a region
// that is cut off can still admit requests, and at most most.
//
// The bursts of all parts exceed the account's burst by at most minPartBurst for each, that is
// a quarter of a second of the rate, or minPartBurst for each region.
func Parts(rate float64, regions, most int) int {
	return min(max(int(rate/minPartRate), regions, 1), max(most, 1))
}

// PartsOf returns the share of a host that holds some of an account's parts.
func PartsOf(rate, burst float64, held, parts int) Share {
	if held == 0 || parts == 0 {
		return Share{}
	}
	n := float64(held)
	return Share{Rate: rate * n / float64(parts), Burst: n * max(burst/float64(parts), minPartBurst)}
}
