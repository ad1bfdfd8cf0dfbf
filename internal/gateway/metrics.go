package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/kvstore"
	"peridotrail/internal/placement"
)

// requestMetrics records the outcomes and latencies of requests. It is safe for
// concurrent use.
type requestMetrics struct {
	registry metrics.Registry
	latency  metrics.Histogram
}

// latencyReservoirSize is the number of samples that the latency histogram keeps.
const latencyReservoirSize = 512

func newRequestMetrics(registry metrics.Registry) *requestMetrics {
	return &requestMetrics{
		registry: registry,
		latency:  metrics.GetOrRegisterHistogram("request.latency.us", registry, metrics.NewUniformSample(latencyReservoirSize)),
	}
}

// showStore adds gauges of the store's eras and of the age of this host's view, in
// milliseconds.
func (m *requestMetrics) showStore(eras *kvstore.EraTracker, viewAge func() time.Duration) {
	show := func(name string, value func() int64) { metrics.NewRegisteredFunctionalGauge(name, m.registry, value) }
	show("store.era", func() int64 { return int64(eras.Current().Number()) })
	show("store.rollbacks", func() int64 { rises, _ := eras.Counts(); return int64(rises) })
	show("store.era.unusable", func() int64 { _, unusable := eras.Counts(); return int64(unusable) })
	show("store.view.age.ms", func() int64 { return viewAge().Milliseconds() })
}

// showPolicyVersions adds gauges of the version of the policy in force and of the newest one
// with which another host registered.
func (m *requestMetrics) showPolicyVersions(inForce, newest func() int64) {
	metrics.NewRegisteredFunctionalGauge("policy.version", m.registry, inForce)
	metrics.NewRegisteredFunctionalGauge("policy.version.newest", m.registry, newest)
}

// showBodyMemory adds a gauge of the free memory for request bodies, in bytes.
func (m *requestMetrics) showBodyMemory(free func() int64) {
	metrics.NewRegisteredFunctionalGauge("body.memory.free.bytes", m.registry, free)
}

// showShares adds gauges of the shares of limits that this host holds, and of whether it may
// use them now.
func (m *requestMetrics) showShares(held func() int, leased func() bool) {
	metrics.NewRegisteredFunctionalGauge("limit.shares.held", m.registry, func() int64 { return int64(held()) })
	metrics.NewRegisteredFunctionalGauge("limit.shares.usable", m.registry, func() int64 {
		if leased() {
			return 1
		}
		return 0
	})
}

// showPolicyProblems sets the gauge of the entries of the policy in force that are not
// applied as they are.
func (m *requestMetrics) showPolicyProblems(n int) {
	metrics.GetOrRegisterGauge("policy.problems", m.registry).Update(int64(n))
}

// countRequest counts a finished request by its status and records its latency.
func (m *requestMetrics) countRequest(outcome string, duration time.Duration) {
	metrics.GetOrRegisterCounter("request.outcome."+outcome, m.registry).Inc(1)
	m.latency.Update(duration.Microseconds())
}

// countLookup counts a look-up by a special outcome.
func (m *requestMetrics) countLookup(outcome string) {
	metrics.GetOrRegisterCounter("lookup."+outcome, m.registry).Inc(1)
}

// countAttempt counts an attempt at an upstream by its result.
func (m *requestMetrics) countAttempt(result string) {
	metrics.GetOrRegisterCounter("attempt.result."+result, m.registry).Inc(1)
}

// countPlacement counts a request that was placed at an upstream, by whether the requests
// to it are limited like those to a cold one, and whether it has a request limit.
func (m *requestMetrics) countPlacement(inputs placement.Inputs) {
	temperature := "warm"
	if inputs.Limited {
		temperature = "cold"
	}
	metrics.GetOrRegisterCounter("placement."+temperature, m.registry).Inc(1)
	if inputs.Limit.Rate > 0 {
		metrics.GetOrRegisterCounter("placement.limited", m.registry).Inc(1)
	}
}

// countLimit counts a response that named a request limit. invalid tells whether a
// value could not be used.
func (m *requestMetrics) countLimit(invalid bool) {
	name := "limit.named"
	if invalid {
		name = "limit.invalid"
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// countRest counts a response that asked this host for a rest. invalid tells whether a value
// could not be used as it is.
func (m *requestMetrics) countRest(invalid bool) {
	name := "rest.asked"
	if invalid {
		name = "rest.invalid"
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// countForeignResponse counts a response that does not carry the ID of the request.
func (m *requestMetrics) countForeignResponse() {
	metrics.GetOrRegisterCounter("response.foreign", m.registry).Inc(1)
}

// countInvalidResponse counts a response of an upstream or of another host that is not
// well-formed.
func (m *requestMetrics) countInvalidResponse() {
	metrics.GetOrRegisterCounter("response.invalid", m.registry).Inc(1)
}

// countLeaving counts a response of an upstream that says that it leaves.
func (m *requestMetrics) countLeaving() {
	metrics.GetOrRegisterCounter("upstream.leaving", m.registry).Inc(1)
}

// countRelay counts a request that this host relayed, by its result, or received from
// another host.
func (m *requestMetrics) countRelay(result string) {
	metrics.GetOrRegisterCounter("relay.result."+result, m.registry).Inc(1)
}

// countLinkChange counts that this host lost its links to all upstreams, or got them back.
func (m *requestMetrics) countLinkChange(change string) {
	metrics.GetOrRegisterCounter("links."+change, m.registry).Inc(1)
}

// countCrashVerdict counts a request whose connection to an upstream ended before its
// response was complete, by what became of the upstream.
func (m *requestMetrics) countCrashVerdict(verdict crashVerdict) {
	metrics.GetOrRegisterCounter("connection.ended."+string(verdict), m.registry).Inc(1)
}

// countFatalRequest counts a request under which upstreams have crashed: refused, sent as a
// trial, or recorded in a shared record because its client account has too many.
func (m *requestMetrics) countFatalRequest(what string) {
	metrics.GetOrRegisterCounter("fatal.request."+what, m.registry).Inc(1)
}

// countPanic counts a request whose handler panicked.
func (m *requestMetrics) countPanic() {
	metrics.GetOrRegisterCounter("request.panics", m.registry).Inc(1)
}
