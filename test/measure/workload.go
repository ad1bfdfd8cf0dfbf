package main

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	postShare     = 0.2 // of requests are non-idempotent
	longShare     = 0.02
	keyedDeadline = 2 * time.Second
)

// arrival is one request that is due at a time after the start of the load.
type arrival struct {
	due     time.Duration
	account string
	place   place
	service string
	post    bool
	long    bool
	id      uint64
}

// deadline returns the time that the caller gives the request.
func (a arrival) deadline() time.Duration {
	if a.long {
		return 2 * longRequest
	}
	return keyedDeadline
}

// arrivals makes the whole load of a trial from its seed, so that each policy
// gets the same. Arrivals are a Poisson process.
func (t *trial) arrivals() []arrival {
	random := rand.New(rand.NewPCG(t.seed, 0))
	accounts := t.deployment.configuration.ClientAccounts
	services := t.services()
	var all []arrival
	total := 0.0
	for _, a := range accounts {
		total += a.Rate
	}
	scale := t.scenario.load * t.deployment.capacity() / total
	for i, account := range accounts {
		rate := account.Rate * scale
		if t.scenario.noisy && i == noisyAccount {
			rate = account.Rate * noisyFactor
		}
		next := time.Duration(0)
		for {
			next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if next >= t.length {
				break
			}
			all = append(all, arrival{
				due: next, account: account.Name, id: uint64(len(all)),
				place:   place{domain: t.deployment.hosts[random.IntN(len(t.deployment.hosts))], group: random.IntN(callerGroups)},
				service: pick(random, services, t.deployment.mix),
				post:    random.Float64() < postShare,
				long:    t.scenario.long && random.Float64() < longShare,
			})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.due, b.due) })
	return all
}

// noisyAccount is the index of the account that sends several times its rate.
const noisyAccount = 2

func (t *trial) services() []string {
	var names []string
	for _, s := range t.deployment.configuration.Services {
		names = append(names, s.Name)
	}
	return names
}

func pick(random *rand.Rand, services []string, mix map[string]float64) string {
	u := random.Float64()
	for _, name := range services {
		u -= mix[name]
		if u < 0 {
			return name
		}
	}
	return services[len(services)-1]
}

// drive sends all arrivals at their times, whether earlier ones were answered
// or not, and returns when all have ended.
func (r *running) drive(ctx context.Context, all []arrival) {
	pending := make(chan struct{}, len(all))
	for _, a := range all {
		due := r.start.Add(a.due)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		r.tally.offer(a.account, due)
		go func() {
			defer func() { pending <- struct{}{} }()
			o := r.caller.send(ctx, a)
			r.tally.end(a.account, o, time.Since(due), a.deadline())
		}()
	}
	for range all {
		select {
		case <-pending:
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.start.Add(r.length)) + lastAnswer):
			return
		}
	}
}

const lastAnswer = 12 * time.Second
