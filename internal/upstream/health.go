package upstream

import "time"

// Settings of outlier ejection.
const (
	ejectAfterFailures  = 5 // consecutive failures
	ejectAfterConnect   = 2 // consecutive failures to connect
	ejectBase           = time.Second
	ejectMax            = 30 * time.Second
	maxEjectedShare     = 0.5 // of the upstreams of a pool; failures to connect are exempt
	slowStart           = 10 * time.Second
	slowStartShare      = 0.25 // of the slots at the beginning of the slow start
	ownOutcomePrecedes  = 5 * time.Second
	ejectAfterProbes    = 3
	shedDecrease        = 0.7
	shedRecovery        = 5 * time.Second // from shedDecrease to the full limit
	timeoutPatienceMult = 3               // a timeout counts if the upstream had this many times its usual time
)

// healthState is the position of an upstream in the cycle of ejection.
type healthState uint8

const (
	healthServing healthState = iota
	healthEjected
	healthHalfOpen
)

// health is the aggregate that judges one upstream by the outcomes of this
// host's own requests first and by shared probes second.
type health struct {
	state           healthState
	failures        int // consecutive
	connectFailures int // consecutive
	probeFailures   int // consecutive
	ejections       int // since the last full recovery
	ejectedUntil    time.Time
	warmFrom        time.Time // start of the slow start; zero: warm
	lastSuccess     time.Time
	shedFactor      float64 // 1 if the upstream does not shed
	shedAt          time.Time
}

func newHealth(warmFrom time.Time) health {
	return health{warmFrom: warmFrom, shedFactor: 1}
}

// observe takes over the outcome of a request. mayEject says whether the pool
// can spare the upstream.
func (h *health) observe(result Result, mayEject bool, now time.Time) {
	switch result {
	case ResultOK:
		h.succeed(now)
	case ResultShed:
		h.shedFactor = max(0.1, h.shedShare(now)*shedDecrease)
		h.shedAt = now
	case ResultConnect:
		h.connectFailures++
		h.failures++
		if h.state == healthHalfOpen || h.connectFailures >= ejectAfterConnect {
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

// probe takes over the result of a shared probe. It counts only if this host
// has no recent success of its own.
func (h *health) probe(healthy, mayEject bool, now time.Time) {
	if healthy {
		h.probeFailures = 0
		return
	}
	h.probeFailures++
	recent := !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) < ownOutcomePrecedes
	if h.probeFailures >= ejectAfterProbes && !recent && mayEject && h.state == healthServing {
		h.eject(now)
	}
}

func (h *health) succeed(now time.Time) {
	h.failures = 0
	h.connectFailures = 0
	h.lastSuccess = now
	if h.state == healthHalfOpen {
		h.state = healthServing
		h.warmFrom = now
	}
	if h.state == healthServing && h.warm(now) {
		h.ejections = 0
	}
}

func (h *health) eject(now time.Time) {
	pause := min(ejectMax, ejectBase<<min(h.ejections, 5))
	h.state = healthEjected
	h.ejections++
	h.ejectedUntil = now.Add(pause)
}

// advance opens an ejected upstream half when its pause has passed.
func (h *health) advance(now time.Time) {
	if h.state == healthEjected && !now.Before(h.ejectedUntil) {
		h.state = healthHalfOpen
	}
}

// limit returns how many requests may run of slots.
func (h *health) limit(slots int, now time.Time) int {
	h.advance(now)
	if slots <= 0 || h.state == healthEjected {
		return 0
	}
	if h.state == healthHalfOpen {
		return 1
	}
	share := h.warmShare(now) * h.shedShare(now)
	return max(1, int(float64(slots)*share+0.5))
}

func (h *health) warm(now time.Time) bool {
	return h.warmFrom.IsZero() || now.Sub(h.warmFrom) >= slowStart
}

func (h *health) warmShare(now time.Time) float64 {
	if h.warm(now) {
		return 1
	}
	progress := float64(now.Sub(h.warmFrom)) / float64(slowStart)
	return slowStartShare + (1-slowStartShare)*max(0, progress)
}

func (h *health) shedShare(now time.Time) float64 {
	if h.shedAt.IsZero() {
		return 1
	}
	return min(1, h.shedFactor+float64(now.Sub(h.shedAt))/float64(shedRecovery)*(1-shedDecrease))
}
