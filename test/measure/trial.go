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

// trial is one policy under one scenario.
type trial struct {
	deployment *deployment
	scenario   scenario
	policy     string
	seed       uint64
	length     time.Duration
	logLevel   string
}

// running is the state of a trial while its load runs.
type running struct {
	system  system
	workers []*worker
	tally   *tally
	caller  *caller
	current *configuration.Configuration
	start   time.Time
	length  time.Duration
}

// until waits for a share of the length of the load.
func (r *running) until(share float64) {
	time.Sleep(time.Until(r.start.Add(time.Duration(share * float64(r.length)))))
}

func (r *running) over() bool { return time.Since(r.start) > r.length }

// change puts a changed configuration in force.
func (r *running) change(edit func(*configuration.Configuration)) {
	next := *r.current
	edit(&next)
	r.current = &next
	r.system.apply(&next)
}

// drained returns the worker that the drain scenario empties.
func (r *running) drained() *worker {
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
	r := &running{system: s, workers: workers, caller: newCaller(s, t.deployment), current: c, length: t.length}
	r.start = time.Now()
	r.tally = newTally(c.ClientAccounts, r.start)
	t.play(ctx, r)
	return t.result(r, runs), nil
}

func (t *trial) logger() log.Logger {
	if t.logLevel == "" {
		return log.NewNopLogger()
	}
	return observe.NewLogger(os.Stderr, t.logLevel)
}

func (t *trial) play(ctx context.Context, r *running) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	played := make(chan struct{})
	go func() {
		defer close(played)
		if t.scenario.play != nil {
			t.scenario.play(t, r)
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
	r.drive(ctx, t.arrivals())
	<-played
}

func (t *trial) result(r *running, runs *runCounter) *Result {
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	result := &Result{
		Policy:             t.policy,
		LatencyP50:         float64(r.tally.latency.ValueAtQuantile(50)) / 1000,
		LatencyP99:         float64(r.tally.latency.ValueAtQuantile(99)) / 1000,
		HeadroomMin:        r.tally.headroom,
		WorstAccountServed: r.tally.worstAccount(),
		WrongfulRefusals:   r.tally.wrongfulRefusals(),
		DoubledRuns:        runs.doubled(),
		CutRequests:        r.tally.cut,
		Refused:            r.tally.refused,
		accounts:           r.tally.accounts,
	}
	if r.tally.samples > 0 {
		result.RegionOverCapacity = float64(r.tally.overloads) / float64(r.tally.samples)
	}
	if !r.tally.drainAt.IsZero() {
		drained := r.drained()
		result.DrainSeconds = time.Unix(0, drained.ended.Load()).Sub(r.tally.drainAt).Seconds()
		result.LastNewRequest = time.Unix(0, drained.last.Load()).Sub(r.tally.drainAt).Seconds()
	}
	return result
}
