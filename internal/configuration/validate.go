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

// reservedService is the path segment of the system's own API.
const reservedService = "v1"

// Validate returns nil or an *InvalidError with all issues of c.
func Validate(c *Configuration) error {
	return invalid(validate(c, nil))
}

func validate(c *Configuration, o *origins) []Issue {
	v := &validator{c: c, origins: o}
	v.regions()
	v.failureDomains()
	v.clientAccounts()
	v.grantedKeys()
	v.withdrawnKeys()
	v.services()
	v.upstreams()
	v.routes()
	v.clientBlocks()
	v.drains()
	v.shifts()
	v.objectives()
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

// names is the set of names of one collection.
type names map[string]bool

// element reports issues of one element of a collection.
type element struct {
	v          *validator
	collection string
	index      int
}

func (e element) issue(field string, code Code, format string, args ...any) {
	file, line, path := e.v.origins.locate(e.collection, e.index, field)
	e.v.issues = append(e.v.issues, Issue{
		File:   file,
		Line:   line,
		Field:  path,
		Code:   code,
		Detail: fmt.Sprintf(format, args...),
	})
}

// name checks the syntax of a name. It reports whether the name is usable.
func (e element) name(field, value string) bool {
	switch {
	case value == "":
		e.issue(field, CodeMissing, "a name is required")
	case len(value) > maxNameBytes:
		e.issue(field, CodeTooLong, "the name has %d bytes; at most %d are allowed", len(value), maxNameBytes)
	case !namePattern.MatchString(value):
		e.issue(field, CodeFormat, "%q may hold lower-case letters, digits, '.', '_' and '-' only, and begins and ends with a letter or digit", value)
	default:
		return true
	}
	return false
}

// uniqueName checks the element's own name and adds it to seen.
func (e element) uniqueName(value string, seen names) {
	if !e.name("name", value) {
		return
	}
	if seen[value] {
		e.issue("name", CodeDuplicate, "%q is already defined", value)
	}
	seen[value] = true
}

// reference checks that value names an element of known.
func (e element) reference(field, kind, value string, known names) {
	switch {
	case value == "":
		e.issue(field, CodeMissing, "the name of a %s is required", kind)
	case !known[value]:
		e.issue(field, CodeDangling, "%s %q does not exist", kind, abbreviate(value))
	}
}

// within checks low <= value <= high; NaN is refused.
func within[T cmp.Ordered](e element, field string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	e.issue(field, CodeRange, "%v is not between %v and %v", value, low, high)
}

// duration checks low <= value <= high.
func (e element) duration(field string, value Duration, low, high time.Duration) {
	within(e, field, value.Std(), low, high)
}

// positive checks 0 < value <= high and refuses NaN and infinity.
func (e element) positive(field string, value, high float64) {
	if value > 0 && value <= high && !math.IsInf(value, 0) {
		return
	}
	e.issue(field, CodeRange, "%v is not greater than 0 and at most %v", value, high)
}

func (v *validator) regions() {
	v.regionNames = names{}
	for i, region := range v.c.Regions {
		e := element{v, "regions", i}
		e.uniqueName(region.Name, v.regionNames)
		within(e, "egressBytesPerSecond", region.EgressBytesPerSecond, 0, maxEgress)
	}
}

func (v *validator) failureDomains() {
	v.domainNames = names{}
	for i, domain := range v.c.FailureDomains {
		e := element{v, "failureDomains", i}
		e.uniqueName(domain.Name, v.domainNames)
		e.reference("region", "region", domain.Region, v.regionNames)
		if i == maxFailureDomains {
			e.issue("", CodeTooLong, "at most %d failure domains are allowed", maxFailureDomains)
		}
	}
}
