package upstream

import (
	"net/http"
	"slices"
	"time"

	"peridotrail/internal/configuration"
)

// maxUpstreamLoadAge is the age at which the upstream load of a probe is ignored.
const maxUpstreamLoadAge = 10 * time.Second

// ProbeResult is the result of a shared probe of one upstream.
type ProbeResult struct {
	Upstream string    `cbor:"1,keyasint"`
	Healthy  bool      `cbor:"2,keyasint"`
	InUse    int       `cbor:"3,keyasint"` // requests in progress over all hosts; negative if unknown
	At       time.Time `cbor:"-"`          // when this host received the result
}

// upstreamState is this host's view of one upstream in its failure domain. It is
// guarded by the lock of the pool.
type upstreamState struct {
	config    configuration.Upstream
	transport http.RoundTripper
	inUse     int
	lastLimit int // limit when the upstream was last chosen
	health    health
	latency   estimate
	change    changeDetector
	lastProbe ProbeResult
	drainAt   time.Time // start of the drain; zero: no drain
}

// limit returns how many requests this host may run at the upstream at the same time.
func (u *upstreamState) limit(capacity CapacityShare, now time.Time) int {
	if u.drained(now) {
		return 0
	}
	share := min(capacity.Slots(u.config.Name, now), u.config.Slots)
	return u.health.limit(share, now)
}

func (u *upstreamState) drained(now time.Time) bool {
	return !u.drainAt.IsZero() && !now.Before(u.drainAt)
}

// expectedTime returns the expected time to serve one more request, in arbitrary
// units; lower is better. baseline is the mean service time of the pool in seconds,
// used while the upstream has no latency of its own. The upstream load loses its
// weight with age and can at most double the expected time, so that a wrong load
// diverts some requests but never all of them.
func (u *upstreamState) expectedTime(limit int, baseline float64, now time.Time) float64 {
	latency := baseline
	if !u.latency.last.IsZero() {
		latency = u.latency.seconds()
	}
	own := float64(u.inUse+1) / float64(limit)
	return (latency + minLatency.Seconds()) * own * (1 + u.upstreamLoad(now))
}

// minLatency is added to latencies, so that load still decides between upstreams
// whose latency is close to zero.
const minLatency = 100 * time.Microsecond

// upstreamLoad returns the fraction of the upstream's slots in use over all hosts, as
// the last probe found it, weighted by its age; 0 if unknown.
func (u *upstreamState) upstreamLoad(now time.Time) float64 {
	if u.lastProbe.At.IsZero() || u.lastProbe.InUse < 0 || u.config.Slots <= 0 {
		return 0
	}
	age := now.Sub(u.lastProbe.At)
	if age >= maxUpstreamLoadAge {
		return 0
	}
	load := min(1, float64(u.lastProbe.InUse)/float64(u.config.Slots))
	return load * (1 - float64(age)/float64(maxUpstreamLoadAge))
}

// observe records the outcome of a request. mayEject is passed on to health. A
// timeout that left the upstream too little time is treated as a cancellation.
func (u *upstreamState) observe(outcome Outcome, mayEject bool, now time.Time) {
	result := outcome.Result
	if result == ResultTimeout && !u.hadEnoughTime(outcome.Latency) {
		result = ResultCancelled
	}
	u.health.observe(result, mayEject, now)
	switch result {
	case ResultOK:
		u.observeLatency(outcome.Latency, now)
	case ResultTimeout:
		u.latency.observe(outcome.Latency, now)
	}
}

func (u *upstreamState) observeLatency(d time.Duration, now time.Time) {
	u.latency.observe(d, now)
	if recent, changed := u.change.observe(d); changed {
		u.latency.mean = recent.Seconds()
	}
}

// hadEnoughTime reports whether a request that timed out after d is evidence against
// the upstream: d must be at least timeoutLatencyFactor times its mean latency.
func (u *upstreamState) hadEnoughTime(d time.Duration) bool {
	return u.latency.last.IsZero() || d.Seconds() >= timeoutLatencyFactor*u.latency.seconds()
}

func excluded(work *Work, name string) bool { return slices.Contains(work.Excluded, name) }
