package main

import (
	"strings"
	"time"

	"peridotrail/internal/configuration"
)

// Times of faults, as fractions of the length of the load.
const (
	faultStart = 0.3
	faultEnd   = 0.7
)

const (
	noisyFactor     = 5                      // rate sent by the noisy account, over its own rate
	slowFactor      = 10                     // service time of the slow upstream, over the usual one
	restartInterval = 300 * time.Millisecond // between the restarts of two hosts
	operationStart  = 0.1                    // start of shifts, restarts and stale reports, as a fraction of the length of the load
)

// scenario is a load with a fault or a planned operation.
type scenario struct {
	name  string
	load  float64 // as a fraction of the capacity
	noisy bool    // one account sends noisyFactor times its rate
	long  bool    // some requests take longServiceTime
	// run injects the fault or performs the operation. It returns when it has
	// finished or the load has ended. It is nil for a plain load.
	run func(t *trial, r *trialState)
}

var scenarios = []scenario{
	{name: "steady60", load: 0.60},
	{name: "steady85", load: 0.85},
	{name: "steady110", load: 1.10},
	{name: "noisy", load: 0.60, noisy: true},
	{name: "slow-upstream", load: 0.60, run: runSlowUpstream},
	{name: "region-down", load: 0.60, run: runRegionDown},
	{name: "stale-reports", load: 0.85, run: runStaleReports},
	{name: "shift", load: 0.60, run: runShift},
	{name: "drain", load: 0.60, long: true, run: runDrain},
	{name: "rolling-restart", load: 0.60, run: runRollingRestart},
}

func scenarioNames() string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return strings.Join(names, " ")
}

func findScenario(name string) (scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, &UnknownNameError{Kind: "scenario", Name: name}
}

// runSlowUpstream slows the first worker down between faultStart and faultEnd.
func runSlowUpstream(_ *trial, r *trialState) {
	r.waitUntil(faultStart)
	r.workers[0].slowdown.Store(slowFactor)
	r.waitUntil(faultEnd)
	r.workers[0].slowdown.Store(1)
}

// runRegionDown stops all hosts and workers of the last region.
func runRegionDown(t *trial, r *trialState) {
	regions := t.deployment.configuration.Regions
	downRegion := regions[len(regions)-1].Name
	r.waitUntil(faultStart)
	r.tally.setDownRegion(downRegion)
	for _, w := range r.workers {
		if w.region == downRegion {
			w.close()
		}
	}
	for i, domain := range t.deployment.hosts {
		if t.deployment.regions[domain] == downRegion {
			r.system.kill(i)
		}
	}
}

// runStaleReports makes all workers repeat their load reports.
func runStaleReports(_ *trial, r *trialState) {
	r.waitUntil(operationStart)
	for _, w := range r.workers {
		w.freezeLoad()
	}
}

// runShift moves half of the callers of the first failure domain to the third.
func runShift(t *trial, r *trialState) {
	domains := t.deployment.configuration.FailureDomains
	r.waitUntil(operationStart)
	r.applyChange(func(c *configuration.Configuration) {
		c.Shifts = append(c.Shifts, configuration.Shift{
			Name: "measure", From: domains[0].Name, To: domains[2].Name,
			Share: 0.5, Cap: 0.1, Interval: configuration.Duration(shiftInterval),
		})
	})
}

const shiftInterval = 2 * time.Second

// runDrain drains the worker that drainTarget returns, while some of its requests
// are long.
func runDrain(_ *trial, r *trialState) {
	r.waitUntil(faultStart)
	target := r.drainTarget()
	r.tally.setDrainStart(time.Now())
	r.applyChange(func(c *configuration.Configuration) {
		c.Drains = append(c.Drains, configuration.Drain{
			Name: "measure", Kind: configuration.DrainUpstream, Target: target.upstream.Name,
		})
	})
}

// runRollingRestart restarts the hosts one after another.
func runRollingRestart(t *trial, r *trialState) {
	r.waitUntil(operationStart)
	for i := range t.deployment.hosts {
		if r.loadEnded() {
			return
		}
		r.system.restart(i)
		time.Sleep(restartInterval)
	}
}
