package daemon

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
	"peridotrail/internal/leadership"
)

// leaders tells the other packages who leads this failure domain.
type leaders struct {
	election *leadership.Service
}

// Leading returns the fencing epoch while this process may act as leader.
func (l leaders) Leading() (epoch uint64, ok bool) {
	status := l.election.Current()
	return status.Epoch, status.Self
}

// Current returns the leader and its epoch; ok is false if none is known.
func (l leaders) Current() (leader host.Identity, epoch uint64, ok bool) {
	status := l.election.Current()
	return status.Leader, status.Epoch, status.Leader.ID != ""
}

// Held returns the tenure under which this host leads at this moment, which is
// not before now.
func (l leaders) Held(time.Time) (idempotency.LeadershipTerm, bool) {
	status := l.election.Current()
	return idempotency.LeadershipTerm{Epoch: status.Epoch, Previous: status.Previous, First: status.First}, status.Self
}
