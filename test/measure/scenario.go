package main

import (
	"strings"
	"time"

	"peridotrail/internal/configuration"
)

// Times of faults, as shares of the length of the load.
const (
	faultBegin = 0.3
	faultEnd   = 0.7
)

const (
	noisyFactor   = 5
	slowFactor    = 10
	restartPause  = 300 * time.Millisecond // between the restarts of two hosts
	freezeAtStart = 0.1
)

// scenario is a load with a fault or a planned operation.
type scenario struct {
	name  string
	load  float64 // of the capacity
	noisy bool    // one account sends several times its rate
	long  bool    // some requests to the drained upstream are long
	// play acts on the running trial. It returns when it has finished or the
	// load has ended.
	play func(t *trial, r *running)
}

var scenarios = []scenario{
	{name: "steady60", load: 0.60},
	{name: "steady85", load: 0.85},
	{name: "steady110", load: 1.10},
	{name: "noisy", load: 0.60, noisy: true},
	{name: "slow-upstream", load: 0.60, play: playSlowUpstream},
	{name: "region-down", load: 0.60, play: playRegionDown},
	{name: "stale-reports", load: 0.85, play: playStaleReports},
	{name: "shift", load: 0.60, play: playShift},
	{name: "drain", load: 0.60, long: true, play: playDrain},
	{name: "rolling-restart", load: 0.60, play: playRollingRestart},
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

func playSlowUpstream(_ *trial, r *running) {
	r.until(faultBegin)
	r.workers[0].slow.Store(slowFactor)
	r.until(faultEnd)
	r.workers[0].slow.Store(1)
}

// playRegionDown ends all hosts and workers of the last region.
func playRegionDown(t *trial, r *running) {
	regions := t.deployment.configuration.Regions
	down := regions[len(regions)-1].Name
	r.until(faultBegin)
	r.tally.setDown(down)
	for _, w := range r.workers {
		if w.region == down {
			w.close()
		}
	}
	for i, domain := range t.deployment.hosts {
		if t.deployment.regions[domain] == down {
			r.system.kill(i)
		}
	}
}

func playStaleReports(_ *trial, r *running) {
	r.until(freezeAtStart)
	for _, w := range r.workers {
		w.freeze()
	}
}

// playShift moves half of the callers of the first failure domain to the third.
func playShift(t *trial, r *running) {
	domains := t.deployment.configuration.FailureDomains
	r.until(freezeAtStart)
	r.change(func(c *configuration.Configuration) {
		c.Shifts = append(c.Shifts, configuration.Shift{
			Name: "measure", From: domains[0].Name, To: domains[2].Name,
			Share: 0.5, Cap: 0.1, Interval: configuration.Duration(shiftInterval),
		})
	})
}

const shiftInterval = 2 * time.Second

// playDrain drains the first worker of the second service, which serves some
// long requests.
func playDrain(_ *trial, r *running) {
	r.until(faultBegin)
	drained := r.drained()
	r.tally.drainAccepted(time.Now())
	r.change(func(c *configuration.Configuration) {
		c.Drains = append(c.Drains, configuration.Drain{
			Name: "measure", Kind: configuration.DrainUpstream, Target: drained.upstream.Name,
		})
	})
}

func playRollingRestart(t *trial, r *running) {
	r.until(freezeAtStart)
	for i := range t.deployment.hosts {
		if r.over() {
			return
		}
		r.system.restart(i)
		time.Sleep(restartPause)
	}
}
