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

// callerGroup identifies a group of callers that share a location.
type callerGroup struct {
	domain string // nearest failure domain
	index  int    // from 0 to callerGroupsPerDomain-1
}

// callerGroupsPerDomain is the number of groups of callers near each failure
// domain. Each group has its own client block.
const callerGroupsPerDomain = 16

// system is a fleet of entry hosts under one policy.
type system interface {
	// lookup returns the entry hosts for a group of callers, in order of preference.
	lookup(ctx context.Context, group callerGroup, service string) []netip.AddrPort
	// apply puts a configuration in force.
	apply(c *configuration.Configuration)
	// kill stops a host abruptly.
	kill(host int)
	// restart shuts a host down gracefully and starts it again.
	restart(host int)
	// stop ends all hosts.
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
