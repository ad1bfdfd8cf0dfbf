package upstream

import (
	"net/http"
	"sync/atomic"
)

// Permit is the right to send one request to its target.
type Permit struct {
	target    Target
	transport http.RoundTripper
	place     *placement
	lane      *lane
	finished  atomic.Bool
}

// Target returns the place to send the request to.
func (p *Permit) Target() Target { return p.target }

// Transport returns the transport that reaches the target.
func (p *Permit) Transport() http.RoundTripper { return p.transport }

// Done ends the permit and frees its slot. Only the first call has an effect.
func (p *Permit) Done(outcome Outcome) {
	if p.finished.CompareAndSwap(false, true) {
		p.lane.finish(p.place, outcome)
	}
}
