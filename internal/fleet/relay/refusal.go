package relay

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"peridotrail/internal/problem"
)

// maxProblemBytes limits the body of a refusal.
const maxProblemBytes = 16 << 10

// Refusal returns the problem with which a peer refused a relayed request, nil if the
// response is that of an upstream. problem.ExecutedHeader tells them apart: hosts remove
// it from the responses of upstreams that they relay. The RetryAfter of the problem is
// zero if the response has none.
func Refusal(response *http.Response) *problem.Problem {
	executed := response.Header.Get(problem.ExecutedHeader)
	if executed == "" {
		return nil
	}
	refusal := &problem.Problem{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(refusal); err != nil {
		refusal = problem.New(problem.TypeUpstreamFailed, problem.ExecutedUnknown, "the refusal of another entry host can't be read")
	}
	refusal.Executed = problem.ExecutedUnknown
	if executed == string(problem.ExecutedNo) {
		refusal.Executed = problem.ExecutedNo
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 && seconds <= math.MaxUint16 {
		refusal.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return refusal
}
