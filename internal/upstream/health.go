package upstream

import "time"

// Settings of outlier ejection.
const (
	ejectAfterFailures        = 5 // consecutive failures
	ejectAfterConnectFailures = 2 // consecutive failures to connect
	baseEjectionTime          = time.Second
	maxEjectionTime           = 30 * time.Second
	maxEjectedFraction        = 0.5 // fraction of a pool's upstreams that may be ejected; failures to connect are exempt
	slowStartDuration         = 10 * time.Second
	slowStartInitialFraction  = 0.25            // fraction of the slots used at the beginning of the slow start
	ownSuccessPrecedence      = 5 * time.Second // failed probes eject no upstream within this time after a success of this host
	ejectAfterProbeFailures   = 3               // consecutive failed probes
	shedDecrease              = 0.7             // factor on the limit for each refusal by the upstream
	shedRecoveryTime          = 5 * time.Second // time to recover from shedDecrease to the full limit
	timeoutLatencyFactor      = 3               // a timeout is a failure if it lasted this many times the mean service time
)

// healthState is the state of an upstream's circuit breaker.
type healthState uint8

const (
	healthServing healthState = iota
	healthEjected
	healthHalfOpen
)

// health decides whether and how far one upstream is used. Outcomes of this host's
// own requests take precedence over shared probes. It is not safe for concurrent
// use.
type health struct {
	state           healthState
	failures        int // consecutive
	connectFailures int // consecutive
	probeFailures   int // consecutive
	ejections       int // since the last completed slow start
	ejectedUntil    time.Time
	slowStartedAt   time.Time // start of the slow start; zero: warm
	lastSuccess     time.Time
	shedFactor      float64 // fraction of the slots used at lastShed; 1 if no request was shed
	lastShed        time.Time
}

func newHealth(slowStartedAt time.Time) health {
	return health{slowStartedAt: slowStartedAt, shedFactor: 1}
}

// observe records the outcome of a request. If mayEject is false, a serving upstream
// is ejected for failures to connect only.
func (h *health) observe(result Result, mayEject bool, now time.Time) {
	switch result {
	case ResultOK:
		h.recordSuccess(now)
	case ResultShed:
		h.shedFactor = max(0.1, h.currentShedFactor(now)*shedDecrease)
		h.lastShed = now
	case ResultConnect:
		h.connectFailures++
		h.failures++
		if h.state == healthHalfOpen || h.connectFailures >= ejectAfterConnectFailures {
			h.eject(now)
		}
	case ResultFailed, ResultTimeout:
		h.connectFailures = 0
		h.failures++
		if h.state == healthHalfOpen || (h.failures >= ejectAfterFailures && mayEject) {
			h.eject(now)
		}
	}
}

// observeProbe records the result of a shared probe. It ejects the upstream only if
// this host had no success of its own within ownSuccessPrecedence.
func (h *health) observeProbe(healthy, mayEject bool, now time.Time) {
	if healthy {
		h.probeFailures = 0
		return
	}
	h.probeFailures++
	recent := !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) < ownSuccessPrecedence
	if h.probeFailures >= ejectAfterProbeFailures && !recent && mayEject && h.state == healthServing {
		h.eject(now)
	}
}

func (h *health) recordSuccess(now time.Time) {
	h.failures = 0
	h.connectFailures = 0
	h.lastSuccess = now
	if h.state == healthHalfOpen {
		h.state = healthServing
		h.slowStartedAt = now
	}
	if h.state == healthServing && h.warm(now) {
		h.ejections = 0
	}
}

func (h *health) eject(now time.Time) {
	duration := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 5))
	h.state = healthEjected
	h.ejections++
	h.ejectedUntil = now.Add(duration)
}

// advance makes an ejected upstream half-open when its ejection time is over.
func (h *health) advance(now time.Time) {
	if h.state == healthEjected && !now.Before(h.ejectedUntil) {
		h.state = healthHalfOpen
	}
}

// limit returns how many of the given slots may be in use at the same time.
func (h *health) limit(slots int, now time.Time) int {
	h.advance(now)
	if slots <= 0 || h.state == healthEjected {
		return 0
	}
	if h.state == healthHalfOpen {
		return 1
	}
	fraction := h.slowStartFraction(now) * h.currentShedFactor(now)
	return max(1, int(float64(slots)*fraction+0.5))
}

func (h *health) warm(now time.Time) bool {
	return h.slowStartedAt.IsZero() || now.Sub(h.slowStartedAt) >= slowStartDuration
}

func (h *health) slowStartFraction(now time.Time) float64 {
	if h.warm(now) {
		return 1
	}
	progress := float64(now.Sub(h.slowStartedAt)) / float64(slowStartDuration)
	return slowStartInitialFraction + (1-slowStartInitialFraction)*max(0, progress)
}

func (h *health) currentShedFactor(now time.Time) float64 {
	if h.lastShed.IsZero() {
		return 1
	}
	return min(1, h.shedFactor+float64(now.Sub(h.lastShed))/float64(shedRecoveryTime)*(1-shedDecrease))
}
