package daemon

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
	"peridotrail/internal/leadership"
)

// domainLeadership reports the leader of this failure domain to other packages.
type domainLeadership struct {
	election *leadership.Service
}

// Leading returns the fencing epoch. ok is true while this process may act as leader.
func (l domainLeadership) Leading() (epoch uint64, ok bool) {
	status := l.election.Current()
	return status.Epoch, status.Self
}

// Current returns the leader and its epoch; ok is false if none is known.
func (l domainLeadership) Current() (leader host.Identity, epoch uint64, ok bool) {
	status := l.election.Current()
	return status.Leader, status.Epoch, status.Leader.ID != ""
}

// Held returns the leadership term in which this host leads at the time of the call.
// The argument is ignored: callers pass the current time, which is not later.
func (l domainLeadership) Held(time.Time) (idempotency.LeadershipTerm, bool) {
	status := l.election.Current()
	return idempotency.LeadershipTerm{Epoch: status.Epoch, Previous: status.Previous, First: status.First}, status.Self
}
