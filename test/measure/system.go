package main

import (
	"context"
	"net/netip"

	"github.com/go-kit/log"

	"peridotrail/internal/configuration"
)

// Policies that can be measured.
const (
	policyPeridotrail      = "peridotrail"
	policyRoundRobin       = "round-robin"
	policyLeastConnections = "least-connections"
)

func allPolicies() []string {
	return []string{policyPeridotrail, policyRoundRobin, policyLeastConnections}
}

// place is where a group of callers is.
type place struct {
	domain string // next failure domain
	group  int    // from 0 to callerGroups-1
}

// callerGroups is the number of groups of callers next to each failure domain.
// Each has a client block of its own.
const callerGroups = 16

// system is a fleet of entry hosts under one policy.
type system interface {
	// lookup returns the entry hosts for a group of callers next to a failure domain.
	lookup(ctx context.Context, next place, service string) []netip.AddrPort
	// apply puts a configuration in force.
	apply(c *configuration.Configuration)
	// kill ends a host without notice.
	kill(host int)
	// restart ends a host gracefully and starts it again.
	restart(host int)
	stop()
}

func newSystem(policy string, d *deployment, c *configuration.Configuration, logger log.Logger) (system, error) {
	switch policy {
	case policyPeridotrail:
		return newFleet(d, c, logger)
	case policyRoundRobin:
		return newBaseline(d, c, roundRobin)
	case policyLeastConnections:
		return newBaseline(d, c, leastConnections)
	default:
		return nil, &UnknownNameError{Kind: "policy", Name: policy}
	}
}
