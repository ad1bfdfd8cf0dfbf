package configuration

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	minShiftInterval   = time.Second
	minObjectiveWindow = time.Hour
	shareTolerance     = 1e-9 // rounding of sums of shares
)

func (v *validator) clientBlocks() {
	seen := make(map[netip.Prefix]bool, len(v.c.ClientBlocks))
	for i, block := range v.c.ClientBlocks {
		e := element{v, "clientBlocks", i}
		e.prefix(block.Prefix, seen)
		if len(block.Domains) == 0 {
			e.issue("domains", CodeMissing, "at least one failure domain is required")
		}
		for j, domain := range block.Domains {
			v.blockDomain(e, block.Domains[:j], j, domain)
		}
	}
}

func (e element) prefix(prefix netip.Prefix, seen map[netip.Prefix]bool) {
	switch {
	case !prefix.IsValid():
		e.issue("prefix", CodeMissing, "an address prefix is required")
	case prefix.Masked() != prefix:
		e.issue("prefix", CodeFormat, "%v has address bits beyond its length; write %v", prefix, prefix.Masked())
	case prefix.Addr().Is4In6():
		e.issue("prefix", CodeFormat, "%v must be written as an IPv4 prefix", prefix)
	case seen[prefix]:
		e.issue("prefix", CodeDuplicate, "%v is already defined", prefix)
	}
	seen[prefix] = true
}

func (v *validator) blockDomain(e element, before []string, j int, domain string) {
	if !v.domainNames[domain] {
		e.reference(fmt.Sprintf("domains[%d]", j), "failure domain", domain, v.domainNames)
		return
	}
	for _, earlier := range before {
		if earlier == domain {
			e.issue(fmt.Sprintf("domains[%d]", j), CodeDuplicate, "%q occurs twice", domain)
			return
		}
	}
}

// drainKey identifies what a drain empties.
type drainKey struct {
	kind   DrainKind
	target string
}

func (v *validator) drains() {
	seen := names{}
	targets := map[drainKey]bool{}
	for i, drain := range v.c.Drains {
		e := element{v, "drains", i}
		e.uniqueName(drain.Name, seen)
		v.drainTarget(e, drain)
		key := drainKey{drain.Kind, drain.Target}
		if targets[key] {
			e.issue("target", CodeDuplicate, "%s %q already has a drain", drain.Kind, drain.Target)
		}
		targets[key] = true
	}
}

func (v *validator) drainTarget(e element, drain Drain) {
	switch drain.Kind {
	case DrainUpstream:
		e.reference("target", "upstream", drain.Target, v.upstreamNames)
	case DrainFailureDomain:
		e.reference("target", "failure domain", drain.Target, v.domainNames)
	case DrainRegion:
		e.reference("target", "region", drain.Target, v.regionNames)
	case DrainHost:
		// Hosts are not part of the configuration.
		e.name("target", drain.Target)
	default:
		e.issue("kind", CodeFormat, "%q is not one of %q, %q, %q, %q", abbreviate(string(drain.Kind)), DrainUpstream, DrainHost, DrainFailureDomain, DrainRegion)
	}
}

func (v *validator) shifts() {
	seen := names{}
	moved := map[string]float64{}
	for i, shift := range v.c.Shifts {
		e := element{v, "shifts", i}
		e.uniqueName(shift.Name, seen)
		e.reference("from", "failure domain", shift.From, v.domainNames)
		e.reference("to", "failure domain", shift.To, v.domainNames)
		if shift.From == shift.To && shift.From != "" {
			e.issue("to", CodeRange, "a shift moves callers to another failure domain")
		}
		e.share("share", shift.Share)
		e.share("cap", shift.Cap)
		e.duration("interval", shift.Interval, minShiftInterval, maxInterval)
		moved[shift.From] += max(shift.Share, 0)
		if shift.Share <= 1 && moved[shift.From] > 1+shareTolerance {
			e.issue("share", CodeCapacity, "the shifts from %q together move %.4g of its callers; at most 1 is possible", shift.From, moved[shift.From])
		}
	}
}

// share checks 0 < value <= 1.
func (e element) share(field string, value float64) {
	if value > 1 {
		e.issue(field, CodeCapacity, "%v exceeds 1, the whole of the callers", value)
		return
	}
	e.positive(field, value, 1)
}

func (v *validator) objectives() {
	seen := names{}
	for i, objective := range v.c.Objectives {
		e := element{v, "objectives", i}
		e.uniqueName(objective.Name, seen)
		if objective.Service != "" {
			e.reference("service", "service", objective.Service, v.serviceNames)
		}
		if objective.Account != "" {
			e.reference("account", "client account", objective.Account, v.accountNames)
		}
		if objective.Service == "" && objective.Account == "" {
			e.issue("", CodeMissing, "an objective names a service, a client account or both")
		}
		if !(objective.Target > 0 && objective.Target < 1) {
			e.issue("target", CodeRange, "%v is not between 0 and 1, both excluded", objective.Target)
		}
		e.duration("latency", objective.Latency, 0, maxDeadline)
		e.duration("window", objective.Window, minObjectiveWindow, maxWindow)
	}
}
