package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// soloLeadership lets each host lead. It is right only for one host a domain.
type soloLeadership struct{}

// Leading implements distribution.Leadership.
func (soloLeadership) Leading() (uint64, bool) { return 1, true }

// thinCapacity gives one host all slots of its domain.
type thinCapacity struct {
	host *Host
}

// Slots implements upstream.CapacityShare.
func (c thinCapacity) Slots(name string, _ time.Time) int {
	for _, u := range c.host.configuration().Upstreams {
		if u.Name == name {
			return u.Slots
		}
	}
	return 0
}

// Connections implements upstream.CapacityShare.
func (c thinCapacity) Connections(name string, _ time.Time) int {
	for _, u := range c.host.configuration().Upstreams {
		if u.Name == name {
			return u.Connections
		}
	}
	return 0
}

// thinAdmitter splits each rate evenly among the failure domains.
type thinAdmitter struct {
	host     *Host
	mu       sync.Mutex // guards limiters
	limiters map[string]*rate.Limiter
}

func newThinAdmitter(h *Host) *thinAdmitter {
	return &thinAdmitter{host: h, limiters: map[string]*rate.Limiter{}}
}

// Admit implements entry.Admitter.
func (a *thinAdmitter) Admit(_ context.Context, account string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.limiters[account]
	if l == nil {
		c := a.host.inForce.Current()
		owner := c.Account(account)
		share := len(c.Configuration.FailureDomains)
		l = rate.NewLimiter(rate.Limit(owner.Rate/float64(share)), max(1, owner.Burst/share))
		a.limiters[account] = l
	}
	if !l.Allow() {
		return &thinRateError{account: account}
	}
	return nil
}

type thinRateError struct{ account string }

func (e *thinRateError) Error() string        { return fmt.Sprintf("rate of %s exceeded", e.account) }
func (e *thinRateError) After() time.Duration { return time.Second }
