package upstream

import (
	"net/http"
	"slices"
	"time"

	"peridotrail/internal/configuration"
)

// reportMaxAge is the age at which a load report has no weight left.
const reportMaxAge = 10 * time.Second

// LoadReport is what an upstream said about itself, obtained by a shared probe.
type LoadReport struct {
	Upstream string    `cbor:"1,keyasint"`
	Healthy  bool      `cbor:"2,keyasint"`
	InUse    int       `cbor:"3,keyasint"` // requests in progress over all hosts; negative if unknown
	At       time.Time `cbor:"-"`          // time of receipt on this host's clock
}

// worker is one upstream of this host's failure domain as this host uses it.
type worker struct {
	upstream  configuration.Upstream
	transport http.RoundTripper
	inUse     int
	allowed   int // limit at the last choice
	health    health
	latency   estimate
	change    changeDetector
	report    LoadReport
	drainAt   time.Time // no new work from then on; zero: no drain
}

// limit returns how many requests this host may run at the worker.
func (w *worker) limit(capacity CapacityShare, now time.Time) int {
	if w.drained(now) {
		return 0
	}
	share := min(capacity.Slots(w.upstream.Name, now), w.upstream.Slots)
	return w.health.limit(share, now)
}

func (w *worker) drained(now time.Time) bool {
	return !w.drainAt.IsZero() && !now.Before(w.drainAt)
}

// score is the expected time to serve one more request, in arbitrary units.
// Smaller is better. A report counts by its age and can at most double a score,
// so that a wrong report shifts work and never takes all of it away.
func (w *worker) score(limit int, baseline float64, now time.Time) float64 {
	latency := baseline
	if !w.latency.last.IsZero() {
		latency = w.latency.seconds()
	}
	own := float64(w.inUse+1) / float64(limit)
	return (latency + minLatency.Seconds()) * own * (1 + w.reportedLoad(now))
}

// minLatency keeps load decisive when all upstreams answer at once.
const minLatency = 100 * time.Microsecond

func (w *worker) reportedLoad(now time.Time) float64 {
	if w.report.At.IsZero() || w.report.InUse < 0 || w.upstream.Slots <= 0 {
		return 0
	}
	age := now.Sub(w.report.At)
	if age >= reportMaxAge {
		return 0
	}
	load := min(1, float64(w.report.InUse)/float64(w.upstream.Slots))
	return load * (1 - float64(age)/float64(reportMaxAge))
}

// observe takes over the outcome of a request. patience is the time that the
// request left the upstream to answer.
func (w *worker) observe(outcome Outcome, mayEject bool, now time.Time) {
	result := outcome.Result
	if result == ResultTimeout && !w.hadTime(outcome.Latency) {
		result = ResultCancelled
	}
	w.health.observe(result, mayEject, now)
	switch result {
	case ResultOK:
		w.observeLatency(outcome.Latency, now)
	case ResultTimeout:
		w.latency.observe(outcome.Latency, now)
	}
}

func (w *worker) observeLatency(d time.Duration, now time.Time) {
	w.latency.observe(d, now)
	if recent, changed := w.change.observe(d); changed {
		w.latency.mean = recent.Seconds()
	}
}

// hadTime reports whether a request that timed out after d says something about
// the worker; a deadline shorter than the usual service time does not.
func (w *worker) hadTime(d time.Duration) bool {
	return w.latency.last.IsZero() || d.Seconds() >= timeoutPatienceMult*w.latency.seconds()
}

func excluded(work *Work, name string) bool { return slices.Contains(work.Excluded, name) }
