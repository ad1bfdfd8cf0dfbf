package configuration

import (
	"net/netip"
	"strings"
)

func (v *validator) checkServices() {
	v.serviceNames = names{}
	for i, service := range v.c.Services {
		e := element{v, "services", i}
		e.checkUniqueName(service.Name, v.serviceNames)
		if service.Name == reservedService {
			e.report("name", CodeFormat, "%q is reserved for the system's own API", reservedService)
		}
		e.checkDuration("maxDeadline", service.MaxDeadline, 0, maxDeadline)
		e.checkDuration("defaultDeadline", service.DefaultDeadline, 0, maxDeadline)
		if service.MaxDeadline > 0 && service.DefaultDeadline > service.MaxDeadline {
			e.report("defaultDeadline", CodeRange, "%v exceeds maxDeadline %v", service.DefaultDeadline.Std(), service.MaxDeadline.Std())
		}
		e.checkDuration("connectionOpenTime", service.ConnectionOpenTime, 0, maxDeadline)
		e.checkDuration("probeTime", service.ProbeTime, 0, maxDeadline)
		e.checkOptionalPath("healthPath", service.HealthPath)
		e.checkOptionalPath("loadPath", service.LoadPath)
	}
}

func (e element) checkOptionalPath(field, path string) {
	if path != "" {
		e.checkPath(field, path)
	}
}

// checkPath checks a URL path. The path must be in canonical form, because it is
// compared byte by byte.
func (e element) checkPath(field, path string) {
	switch {
	case !strings.HasPrefix(path, "/"):
		e.report(field, CodeFormat, "%q does not begin with \"/\"", abbreviate(path))
	case len(path) > maxPathBytes:
		e.report(field, CodeTooLong, "the path has %d bytes; at most %d are allowed", len(path), maxPathBytes)
	case !isCanonicalPath(path):
		e.report(field, CodeFormat, "%q holds an empty, \".\" or \"..\" segment, a '%%', '?', '#', '\\' or a character outside printable ASCII", abbreviate(path))
	}
}

// isCanonicalPath reports whether path is in canonical form: printable ASCII without
// escapes, query or fragment, no dot segments and no empty segments except the last.
func isCanonicalPath(path string) bool {
	for _, b := range []byte(path) {
		if b <= ' ' || b >= 0x7f || strings.IndexByte(`%?#\`, b) >= 0 {
			return false
		}
	}
	segments := strings.Split(path, "/")[1:]
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return false
		}
	}
	return true
}

func (v *validator) checkUpstreams() {
	v.upstreamNames = names{}
	addresses := make(map[netip.AddrPort]string, len(v.c.Upstreams))
	for i, upstream := range v.c.Upstreams {
		e := element{v, "upstreams", i}
		e.checkUniqueName(upstream.Name, v.upstreamNames)
		e.checkReference("service", "service", upstream.Service, v.serviceNames)
		e.checkReference("failureDomain", "failure domain", upstream.FailureDomain, v.domainNames)
		e.checkAddress(upstream, addresses)
		checkRange(e, "slots", upstream.Slots, 1, maxSlots)
		checkRange(e, "connections", upstream.Connections, 1, maxConnections)
		if upstream.Connections >= 1 && upstream.Slots > upstream.Connections {
			e.report("slots", CodeCapacity, "%d slots exceed %d connections", upstream.Slots, upstream.Connections)
		}
	}
}

func (e element) checkAddress(upstream Upstream, seen map[netip.AddrPort]string) {
	address := upstream.Address
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		e.report("address", CodeMissing, "an IP address and port are required")
		return
	}
	if first, taken := seen[address]; taken {
		e.report("address", CodeDuplicate, "%v is already the address of upstream %q", address, first)
		return
	}
	seen[address] = upstream.Name
}

// routeKey identifies a route.
type routeKey struct {
	service string
	prefix  string
}

func (v *validator) checkRoutes() {
	seen := map[routeKey]bool{}
	for i, route := range v.c.Routes {
		e := element{v, "routes", i}
		e.checkReference("service", "service", route.Service, v.serviceNames)
		e.checkPath("prefix", route.Prefix)
		key := routeKey{route.Service, route.Prefix}
		if seen[key] {
			e.report("prefix", CodeDuplicate, "service %q already has a route for %q", route.Service, route.Prefix)
		}
		seen[key] = true
		switch route.Priority {
		case "", PriorityNormal, PriorityAlert:
		default:
			e.report("priority", CodeFormat, "%q is neither %q nor %q", abbreviate(string(route.Priority)), PriorityNormal, PriorityAlert)
		}
	}
}
