package configuration

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"time"
)

// Limits of a configuration.
const (
	maxNameBytes      = 63
	maxPathBytes      = 1024
	maxFailureDomains = 255
	maxKeysOfAccount  = 2048
	maxRate           = 1e9 // requests per second
	maxBurst          = 1e9 // requests
	maxWeight         = 1e6
	maxSlots          = 1e6
	maxConnections    = 1e6
	maxDeadline       = time.Hour
	maxInterval       = 24 * time.Hour
	maxWindow         = 366 * 24 * time.Hour
	maxEgress         = 1e15 // bytes per second
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// reservedService is the first path segment of the hosts' own API, so no service may
// have this name.
const reservedService = "v1"

// Validate checks c. It returns an *InvalidError with all issues, or nil if there
// are none.
func Validate(c *Configuration) error {
	return newInvalidError(validate(c, nil))
}

func validate(c *Configuration, o *origins) []Issue {
	v := &validator{c: c, origins: o}
	v.checkRegions()
	v.checkFailureDomains()
	v.checkClientAccounts()
	v.checkGrantedKeys()
	v.checkWithdrawnKeys()
	v.checkServices()
	v.checkUpstreams()
	v.checkRoutes()
	v.checkClientBlocks()
	v.checkDrains()
	v.checkShifts()
	v.checkObjectives()
	return v.issues
}

// validator collects the issues of one configuration.
type validator struct {
	c       *Configuration
	origins *origins
	issues  []Issue

	regionNames   names
	domainNames   names
	accountNames  names
	serviceNames  names
	upstreamNames names
	keys          keySet
}

// names is the set of entry names of one collection.
type names map[string]bool

// element is one element of a collection under validation. Its methods report issues
// of its fields to the validator.
type element struct {
	v          *validator
	collection string
	index      int
}

func (e element) report(field string, code Code, format string, args ...any) {
	file, line, path := e.v.origins.locate(e.collection, e.index, field)
	e.v.issues = append(e.v.issues, Issue{
		File:   file,
		Line:   line,
		Field:  path,
		Code:   code,
		Detail: fmt.Sprintf(format, args...),
	})
}

// checkName checks the syntax of a name and reports whether it is valid.
func (e element) checkName(field, value string) bool {
	switch {
	case value == "":
		e.report(field, CodeMissing, "a name is required")
	case len(value) > maxNameBytes:
		e.report(field, CodeTooLong, "the name has %d bytes; at most %d are allowed", len(value), maxNameBytes)
	case !namePattern.MatchString(value):
		e.report(field, CodeFormat, "%q must consist of lower-case letters, digits, '.', '_' and '-', and must begin and end with a letter or digit", value)
	default:
		return true
	}
	return false
}

// checkUniqueName checks the syntax of the element's name and that seen does not
// contain it, and adds it to seen.
func (e element) checkUniqueName(value string, seen names) {
	if !e.checkName("name", value) {
		return
	}
	if seen[value] {
		e.report("name", CodeDuplicate, "%q is already defined", value)
	}
	seen[value] = true
}

// checkReference checks that value is one of the known names. kind is the kind of
// the object for the message.
func (e element) checkReference(field, kind, value string, known names) {
	switch {
	case value == "":
		e.report(field, CodeMissing, "the name of a %s is required", kind)
	case !known[value]:
		e.report(field, CodeDangling, "%s %q does not exist", kind, abbreviate(value))
	}
}

// checkRange checks low <= value <= high and rejects NaN.
func checkRange[T cmp.Ordered](e element, field string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	e.report(field, CodeRange, "%v is not between %v and %v", value, low, high)
}

// checkDuration checks low <= value <= high.
func (e element) checkDuration(field string, value Duration, low, high time.Duration) {
	checkRange(e, field, value.Std(), low, high)
}

// checkPositive checks 0 < value <= high and rejects NaN and infinity.
func (e element) checkPositive(field string, value, high float64) {
	if value > 0 && value <= high && !math.IsInf(value, 0) {
		return
	}
	e.report(field, CodeRange, "%v is not greater than 0 and at most %v", value, high)
}

func (v *validator) checkRegions() {
	v.regionNames = names{}
	for i, region := range v.c.Regions {
		e := element{v, "regions", i}
		e.checkUniqueName(region.Name, v.regionNames)
		checkRange(e, "egressBytesPerSecond", region.EgressBytesPerSecond, 0, maxEgress)
	}
}

func (v *validator) checkFailureDomains() {
	v.domainNames = names{}
	for i, domain := range v.c.FailureDomains {
		e := element{v, "failureDomains", i}
		e.checkUniqueName(domain.Name, v.domainNames)
		e.checkReference("region", "region", domain.Region, v.regionNames)
		if i == maxFailureDomains {
			e.report("", CodeTooLong, "at most %d failure domains are allowed", maxFailureDomains)
		}
	}
}
