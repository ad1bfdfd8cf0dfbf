package configuration

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	minShiftInterval   = time.Second
	minObjectiveWindow = time.Hour
	shareTolerance     = 1e-9 // allows for rounding in sums of shares
)

func (v *validator) checkClientBlocks() {
	seen := make(map[netip.Prefix]bool, len(v.c.ClientBlocks))
	for i, block := range v.c.ClientBlocks {
		e := element{v, "clientBlocks", i}
		e.checkPrefix(block.Prefix, seen)
		if len(block.Domains) == 0 {
			e.report("domains", CodeMissing, "at least one failure domain is required")
		}
		for j, domain := range block.Domains {
			v.checkBlockDomain(e, block.Domains[:j], j, domain)
		}
	}
}

func (e element) checkPrefix(prefix netip.Prefix, seen map[netip.Prefix]bool) {
	switch {
	case !prefix.IsValid():
		e.report("prefix", CodeMissing, "an address prefix is required")
	case prefix.Masked() != prefix:
		e.report("prefix", CodeFormat, "%v has address bits beyond its length; write %v", prefix, prefix.Masked())
	case prefix.Addr().Is4In6():
		e.report("prefix", CodeFormat, "%v must be written as an IPv4 prefix", prefix)
	case seen[prefix]:
		e.report("prefix", CodeDuplicate, "%v is already defined", prefix)
	}
	seen[prefix] = true
}

func (v *validator) checkBlockDomain(e element, before []string, j int, domain string) {
	if !v.domainNames[domain] {
		e.checkReference(fmt.Sprintf("domains[%d]", j), "failure domain", domain, v.domainNames)
		return
	}
	for _, earlier := range before {
		if earlier == domain {
			e.report(fmt.Sprintf("domains[%d]", j), CodeDuplicate, "%q occurs twice", domain)
			return
		}
	}
}

// drainKey identifies the target of a drain.
type drainKey struct {
	kind   DrainKind
	target string
}

func (v *validator) checkDrains() {
	seen := names{}
	targets := map[drainKey]bool{}
	for i, drain := range v.c.Drains {
		e := element{v, "drains", i}
		e.checkUniqueName(drain.Name, seen)
		v.checkDrainTarget(e, drain)
		key := drainKey{drain.Kind, drain.Target}
		if targets[key] {
			e.report("target", CodeDuplicate, "%s %q already has a drain", drain.Kind, drain.Target)
		}
		targets[key] = true
	}
}

func (v *validator) checkDrainTarget(e element, drain Drain) {
	switch drain.Kind {
	case DrainUpstream:
		e.checkReference("target", "upstream", drain.Target, v.upstreamNames)
	case DrainFailureDomain:
		e.checkReference("target", "failure domain", drain.Target, v.domainNames)
	case DrainRegion:
		e.checkReference("target", "region", drain.Target, v.regionNames)
	case DrainHost:
		// Hosts are not part of the configuration.
		e.checkName("target", drain.Target)
	default:
		e.report("kind", CodeFormat, "%q is not one of %q, %q, %q, %q", abbreviate(string(drain.Kind)), DrainUpstream, DrainHost, DrainFailureDomain, DrainRegion)
	}
}

func (v *validator) checkShifts() {
	seen := names{}
	totalShare := map[string]float64{}
	for i, shift := range v.c.Shifts {
		e := element{v, "shifts", i}
		e.checkUniqueName(shift.Name, seen)
		e.checkReference("from", "failure domain", shift.From, v.domainNames)
		e.checkReference("to", "failure domain", shift.To, v.domainNames)
		if shift.From == shift.To && shift.From != "" {
			e.report("to", CodeRange, "a shift must move callers to a different failure domain")
		}
		e.checkShare("share", shift.Share)
		e.checkShare("cap", shift.Cap)
		e.checkDuration("interval", shift.Interval, minShiftInterval, maxInterval)
		totalShare[shift.From] += max(shift.Share, 0)
		if shift.Share <= 1 && totalShare[shift.From] > 1+shareTolerance {
			e.report("share", CodeCapacity, "the shifts from %q together move %.4g of its callers; at most 1 is possible", shift.From, totalShare[shift.From])
		}
	}
}

// checkShare checks 0 < value <= 1.
func (e element) checkShare(field string, value float64) {
	if value > 1 {
		e.report(field, CodeCapacity, "%v exceeds 1, which stands for all callers", value)
		return
	}
	e.checkPositive(field, value, 1)
}

func (v *validator) checkObjectives() {
	seen := names{}
	for i, objective := range v.c.Objectives {
		e := element{v, "objectives", i}
		e.checkUniqueName(objective.Name, seen)
		if objective.Service != "" {
			e.checkReference("service", "service", objective.Service, v.serviceNames)
		}
		if objective.Account != "" {
			e.checkReference("account", "client account", objective.Account, v.accountNames)
		}
		if objective.Service == "" && objective.Account == "" {
			e.report("", CodeMissing, "an objective requires a service, a client account or both")
		}
		if !(objective.Target > 0 && objective.Target < 1) {
			e.report("target", CodeRange, "%v is not between 0 and 1, both excluded", objective.Target)
		}
		e.checkDuration("latency", objective.Latency, 0, maxDeadline)
		e.checkDuration("window", objective.Window, minObjectiveWindow, maxWindow)
	}
}
