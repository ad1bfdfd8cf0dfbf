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
	service   *serviceDispatcher
	finished  atomic.Bool
}

// Target returns the upstream or peer to send the request to.
func (p *Permit) Target() Target { return p.target }

// Transport returns the transport that reaches the target.
func (p *Permit) Transport() http.RoundTripper { return p.transport }

// Done records the outcome and frees the slot. Only the first call has an effect. It
// is safe for concurrent use.
func (p *Permit) Done(outcome Outcome) {
	if p.finished.CompareAndSwap(false, true) {
		p.service.finish(p.place, outcome)
	}
}
