package placement

import (
	"fmt"
	"time"
)

// Reason says why no upstream was chosen for a request.
type Reason string

// Reasons why a request is refused.
const (
	ReasonNoUpstream Reason = "no upstream" // no registered upstream is in an allowed region and not yet tried
	ReasonQueue      Reason = "queue"       // the queues are too long for a response on time
	ReasonDeadline   Reason = "deadline"    // no upstream can answer before the deadline
	ReasonCold       Reason = "cold"        // the cold upstreams have reached their request rate limit
	ReasonLimit      Reason = "limit"       // this host may send no more requests to upstreams with a request limit
	ReasonRest       Reason = "rest"        // the upstreams have asked this host to send nothing for a while
	ReasonLeaving    Reason = "leaving"     // the upstream said that its process ends
	ReasonMoved      Reason = "moved"       // the upstream is in another region, or its address belongs to another one
	ReasonShift      Reason = "shift"       // only other regions have capacity, and the shift limit is reached
)

// RefusedError reports that no upstream can serve a request now. The request was
// not sent.
type RefusedError struct {
	Service    string
	Reason     Reason
	RetryAfter time.Duration // time until capacity is expected
	Considered int           // upstreams that were scored and found full or too slow
	MinWait    time.Duration // shortest expected wait for a slot among them

	Eligible    int // upstreams to which the request might be sent
	Unreachable int // those that this host could not reach when it last tried, or that it assumes to have restarted since
}

// AllUnreachable reports whether this host can't reach any of the upstreams to which the
// request might be sent.
func (e *RefusedError) AllUnreachable() bool { return e.Eligible > 0 && e.Unreachable == e.Eligible }

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Considered == 0 {
		return fmt.Sprintf("service %s: no place (%s), retry after %s", e.Service, e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("service %s: no place (%s) at %d upstreams, the shortest wait for a slot is %s, retry after %s",
		e.Service, e.Reason, e.Considered, e.MinWait.Round(time.Millisecond), e.RetryAfter)
}
