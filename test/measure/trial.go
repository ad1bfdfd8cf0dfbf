package main

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"

	"peridotrail/internal/configuration"
	"peridotrail/internal/observe"
)

const samplePeriod = 20 * time.Millisecond

// trial runs one policy under one scenario.
type trial struct {
	deployment *deployment
	scenario   scenario
	policy     string
	seed       uint64
	length     time.Duration
	logLevel   string
}

// trialState holds what a trial uses while its load runs.
type trialState struct {
	system  system
	workers []*worker
	tally   *tally
	caller  *caller
	current *configuration.Configuration
	start   time.Time
	length  time.Duration
}

// waitUntil waits until a fraction of the length of the load has passed.
func (r *trialState) waitUntil(fraction float64) {
	time.Sleep(time.Until(r.start.Add(time.Duration(fraction * float64(r.length)))))
}

func (r *trialState) loadEnded() bool { return time.Since(r.start) > r.length }

// applyChange puts a changed configuration in force.
func (r *trialState) applyChange(edit func(*configuration.Configuration)) {
	next := *r.current
	edit(&next)
	r.current = &next
	r.system.apply(&next)
}

// drainTarget returns the worker that the drain scenario drains: the first that
// does not belong to the service of the first worker.
func (r *trialState) drainTarget() *worker {
	for _, w := range r.workers {
		if w.upstream.Service != r.workers[0].upstream.Service {
			return w
		}
	}
	return r.workers[0]
}

func (t *trial) run(ctx context.Context) (*Result, error) {
	workers, c, runs, err := startWorkers(t.deployment, t.seed)
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, w := range workers {
			w.close()
		}
	}()
	s, err := newSystem(t.policy, t.deployment, c, t.logger())
	if err != nil {
		return nil, err
	}
	defer s.stop()
	r := &trialState{system: s, workers: workers, caller: newCaller(s, t.deployment), current: c, length: t.length}
	r.start = time.Now()
	r.tally = newTally(c.ClientAccounts, r.start)
	t.runLoad(ctx, r)
	return t.result(r, runs), nil
}

func (t *trial) logger() log.Logger {
	if t.logLevel == "" {
		return log.NewNopLogger()
	}
	return observe.NewLogger(os.Stderr, t.logLevel)
}

// runLoad sends the load and samples the workers while the scenario runs. It
// returns when both the load and the scenario have ended.
func (t *trial) runLoad(ctx context.Context, r *trialState) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	scenarioDone := make(chan struct{})
	go func() {
		defer close(scenarioDone)
		if t.scenario.run != nil {
			t.scenario.run(t, r)
		}
	}()
	go func() {
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.tally.sample(r.workers)
			}
		}
	}()
	r.sendArrivals(ctx, t.arrivals())
	<-scenarioDone
}

func (t *trial) result(r *trialState, runs *runCounter) *Result {
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	result := &Result{
		Policy:             t.policy,
		LatencyP50:         float64(r.tally.latency.ValueAtQuantile(50)) / 1000,
		LatencyP99:         float64(r.tally.latency.ValueAtQuantile(99)) / 1000,
		HeadroomMin:        r.tally.minHeadroom,
		WorstAccountServed: r.tally.worstServedFraction(),
		WrongfulRefusals:   r.tally.wrongfulRefusalFraction(),
		DoubledRuns:        runs.extraRuns(),
		FailedRequests:     r.tally.failed,
		Refused:            r.tally.refused,
		accounts:           r.tally.accounts,
	}
	if r.tally.samples > 0 {
		result.RegionOverCapacity = float64(r.tally.overloadedSamples) / float64(r.tally.samples)
	}
	if !r.tally.drainStart.IsZero() {
		target := r.drainTarget()
		result.DrainSeconds = time.Unix(0, target.lastEnd.Load()).Sub(r.tally.drainStart).Seconds()
		result.LastNewRequest = time.Unix(0, target.lastArrival.Load()).Sub(r.tally.drainStart).Seconds()
	}
	return result
}
