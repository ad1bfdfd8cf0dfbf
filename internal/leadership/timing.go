package leadership

import "time"

// Timing holds the time limits of an Elector.
type Timing struct {
	LeaseTTL        time.Duration // of the lease in the store
	LeaseMargin     time.Duration // by which the leader ends its term before the store does
	RenewEvery      time.Duration
	SilenceAfter    time.Duration // without heartbeats of the leader before candidates try
	Stagger         time.Duration // between the attempts of successive candidates
	StartGrace      time.Duration // after the start of a process before it may try
	ActivationDelay time.Duration // between telling the domain of a new epoch and acting, if a former leader may act
	IsolatedDelay   time.Duration // in its place if no host of the domain is heard
	ReleaseBound    time.Duration // for which a leader's word that it stopped counts; below ActivationDelay
	PauseBound      time.Duration // gap between ticks that ends a hold-over
	PeerBound       time.Duration // without heartbeats of the domain that ends a hold-over
	RetryBase       time.Duration // after the first failed attempt; doubles
	RetryCap        time.Duration
}

// DefaultTiming returns the limits used in production.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:        10 * time.Second,
		LeaseMargin:     500 * time.Millisecond,
		RenewEvery:      3 * time.Second,
		SilenceAfter:    6 * time.Second,
		Stagger:         1500 * time.Millisecond,
		StartGrace:      2 * time.Second,
		ActivationDelay: 6 * time.Second,
		IsolatedDelay:   20 * time.Second,
		ReleaseBound:    5 * time.Second,
		PauseBound:      2 * time.Second,
		PeerBound:       5 * time.Second,
		RetryBase:       time.Second,
		RetryCap:        15 * time.Second,
	}
}
