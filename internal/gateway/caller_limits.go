package gateway

import (
	"net/http"
	"time"

	"peridotrail/internal/hostbudget"
	"peridotrail/internal/problem"
)

const (
	// maxHeaderBytes limits heads whatever the policy allows.
	maxHeaderBytes = 16 << 20
	// Defaults until a policy sets the limit. They are those of earlier versions, far wider
	// than those of the policies of deployments.
	defaultHeaderBytes   = 1 << 20
	defaultHeaderTimeout = 30 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	// memoryRetryAfter is the Retry-After value for requests for which there is no memory.
	// Slow readers are cut off within seconds, and other hosts may have memory at once.
	memoryRetryAfter = 500 * time.Millisecond
	// minBufferedBody is what a response may buffer however little memory is free, in bytes.
	minBufferedBody = 32 << 10
)

// callerLimits returns the memory and the connections that callers may take.
func (s Settings) callerLimits() hostbudget.Limits {
	return hostbudget.LimitsFor(s.MemoryLimit, s.MaxDescriptors)
}

// callerBounds returns the limits of the policy in force on what one caller may do.
func (g *Gateway) callerBounds() hostbudget.Bounds {
	bounds := hostbudget.Bounds{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	table := g.state.table.Load()
	if table == nil {
		return bounds
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 {
		bounds.HeaderBytes = min(limits.HeaderBytes, maxHeaderBytes)
	}
	if limits.HeaderTimeout > 0 {
		bounds.HeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		bounds.IdleTimeout = limits.IdleTimeout
	}
	return bounds
}

// refuseForMemory refuses a request for which there is no memory, before any part of it is
// handled.
func (g *Gateway) refuseForMemory(w http.ResponseWriter, _ *http.Request) {
	p := notRunProblem(problem.TypeOverloaded, "no memory for the request")
	g.metrics.countRequest("503", 0)
	w.Header().Set("Retry-After", g.dialect.FormatRetryAfter(memoryRetryAfter))
	w.Header().Set("Connection", "close") // the rest of the request is not read
	p.Write(w)
}

// readResponse reads the body of a response as far as there is memory for it, which is taken
// until the exchange ends.
func (x *exchange) readResponse(response *http.Response) (attemptOutcome, error) {
	wanted := int64(maxBufferedBody)
	if response.ContentLength >= 0 {
		wanted = min(wanted, response.ContentLength)
	}
	taken := x.gateway.budget.TakePart(wanted, minBufferedBody)
	outcome, err := readResponse(response, taken)
	used := min(taken, int64(cap(outcome.body)))
	x.gateway.budget.Give(taken - used)
	x.responseMemory += used
	return outcome, err
}

// releaseResponseMemory gives the memory of the responses of the exchange back.
func (x *exchange) releaseResponseMemory() {
	x.gateway.budget.Give(x.responseMemory)
	x.responseMemory = 0
}
