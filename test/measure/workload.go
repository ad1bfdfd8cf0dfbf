package main

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	postFraction    = 0.2  // fraction of requests that are non-idempotent
	longFraction    = 0.02 // fraction of requests that are long, if the scenario has any
	requestDeadline = 2 * time.Second
)

// arrival is one request of the load.
type arrival struct {
	due     time.Duration // after the start of the load
	account string
	group   callerGroup
	service string
	post    bool
	long    bool
	id      uint64
}

// deadline returns how long the caller waits for the response.
func (a arrival) deadline() time.Duration {
	if a.long {
		return 2 * longServiceTime
	}
	return requestDeadline
}

// arrivals generates the load of a trial from its seed, so that all policies get
// the same load. Arrivals of each account are a Poisson process.
func (t *trial) arrivals() []arrival {
	random := rand.New(rand.NewPCG(t.seed, 0))
	accounts := t.deployment.configuration.ClientAccounts
	services := t.services()
	var arrivals []arrival
	totalRate := 0.0
	for _, a := range accounts {
		totalRate += a.Rate
	}
	scale := t.scenario.load * t.deployment.capacity() / totalRate
	for i, account := range accounts {
		rate := account.Rate * scale
		if t.scenario.noisy && i == noisyAccountIndex {
			rate = account.Rate * noisyFactor
		}
		next := time.Duration(0)
		for {
			next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if next >= t.length {
				break
			}
			arrivals = append(arrivals, arrival{
				due: next, account: account.Name, id: uint64(len(arrivals)),
				group:   callerGroup{domain: t.deployment.hosts[random.IntN(len(t.deployment.hosts))], index: random.IntN(callerGroupsPerDomain)},
				service: pickService(random, services, t.deployment.serviceMix),
				post:    random.Float64() < postFraction,
				long:    t.scenario.long && random.Float64() < longFraction,
			})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.due, b.due) })
	return arrivals
}

// noisyAccountIndex is the index of the account that exceeds its rate in the
// noisy scenario.
const noisyAccountIndex = 2

func (t *trial) services() []string {
	var names []string
	for _, s := range t.deployment.configuration.Services {
		names = append(names, s.Name)
	}
	return names
}

// pickService draws a service according to the mix.
func pickService(random *rand.Rand, services []string, mix map[string]float64) string {
	u := random.Float64()
	for _, name := range services {
		u -= mix[name]
		if u < 0 {
			return name
		}
	}
	return services[len(services)-1]
}

// sendArrivals sends each request when it is due, whether earlier ones have ended
// or not (open loop). It returns when all have ended, when the context ends, or
// responseTimeout after the end of the load.
func (r *trialState) sendArrivals(ctx context.Context, arrivals []arrival) {
	done := make(chan struct{}, len(arrivals))
	for _, a := range arrivals {
		due := r.start.Add(a.due)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		r.tally.recordOffered(a.account, due)
		go func() {
			defer func() { done <- struct{}{} }()
			o := r.caller.send(ctx, a)
			r.tally.recordOutcome(a.account, o, time.Since(due), a.deadline())
		}()
	}
	for range arrivals {
		select {
		case <-done:
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.start.Add(r.length)) + responseTimeout):
			return
		}
	}
}

// responseTimeout is the time after the load for which sendArrivals waits for
// outstanding responses.
const responseTimeout = 12 * time.Second
