package placement

import (
	"fmt"
	"time"
)

// Reason says why a request was not placed.
type Reason string

// Reasons of a refusal.
const (
	ReasonNoUpstream Reason = "no upstream" // none is registered, allowed and not tried
	ReasonQueue      Reason = "queue"       // the wait would make the answer late everywhere
	ReasonDeadline   Reason = "deadline"    // no answer is possible before the deadline
	ReasonCold       Reason = "cold"        // cold upstreams bear no more requests now
	ReasonShift      Reason = "shift"       // only another region has room, and moves there are bounded
)

// RefusedError reports that no upstream can serve a request now. Nothing was sent.
type RefusedError struct {
	Service    string
	Reason     Reason
	RetryAfter time.Duration // when there may be room
	Considered int           // upstreams that were valued and found full or too slow
	LeastWait  time.Duration // for a slot, at the one of them with the shortest queue
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Considered == 0 {
		return fmt.Sprintf("service %s: no place (%s), retry after %s", e.Service, e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("service %s: no place (%s) at %d upstreams, the shortest wait for a slot is %s, retry after %s",
		e.Service, e.Reason, e.Considered, e.LeastWait.Round(time.Millisecond), e.RetryAfter)
}
