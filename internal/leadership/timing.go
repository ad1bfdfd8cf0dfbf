package leadership

import "time"

// Timing holds the intervals and timeouts of an Elector.
type Timing struct {
	LeaseTTL                time.Duration // TTL of the lease in the store
	LeaseMargin             time.Duration // how much earlier than the lease the leadership term ends
	RenewInterval           time.Duration // time between two renewals of the lease
	LeaderTimeout           time.Duration // time without heartbeats of the leader after which candidates try to acquire the key
	CandidateStagger        time.Duration // time between the attempts of successive candidates
	StartGrace              time.Duration // time after the start of a process before it may try to acquire the key; replaces LeaderTimeout if no leader was ever known
	ActivationDelay         time.Duration // time between reporting a new epoch to the domain and acting, if a previous leader may still act
	IsolatedActivationDelay time.Duration // replaces ActivationDelay while no heartbeat from a host of the domain arrives
	ReleaseValidity         time.Duration // how long a leader's report that it stopped is valid; below ActivationDelay
	MaxTickGap              time.Duration // a longer gap between ticks ends a hold-over
	PeerTimeout             time.Duration // a longer time without heartbeats from the domain ends a hold-over
	BaseRetryDelay          time.Duration // retry delay after the first failed attempt; doubles with each failure
	MaxRetryDelay           time.Duration // limit of the retry delay
}

// DefaultTiming returns the values used in production.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:                10 * time.Second,
		LeaseMargin:             500 * time.Millisecond,
		RenewInterval:           3 * time.Second,
		LeaderTimeout:           6 * time.Second,
		CandidateStagger:        1500 * time.Millisecond,
		StartGrace:              2 * time.Second,
		ActivationDelay:         6 * time.Second,
		IsolatedActivationDelay: 20 * time.Second,
		ReleaseValidity:         5 * time.Second,
		MaxTickGap:              2 * time.Second,
		PeerTimeout:             5 * time.Second,
		BaseRetryDelay:          time.Second,
		MaxRetryDelay:           15 * time.Second,
	}
}
