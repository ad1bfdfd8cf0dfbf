package configuration

import (
	"net/netip"
	"strings"
)

func (v *validator) services() {
	v.serviceNames = names{}
	for i, service := range v.c.Services {
		e := element{v, "services", i}
		e.uniqueName(service.Name, v.serviceNames)
		if service.Name == reservedService {
			e.issue("name", CodeFormat, "%q is reserved for the system's own API", reservedService)
		}
		e.duration("maxDeadline", service.MaxDeadline, 0, maxDeadline)
		e.duration("defaultDeadline", service.DefaultDeadline, 0, maxDeadline)
		if service.MaxDeadline > 0 && service.DefaultDeadline > service.MaxDeadline {
			e.issue("defaultDeadline", CodeRange, "%v exceeds maxDeadline %v", service.DefaultDeadline.Std(), service.MaxDeadline.Std())
		}
		e.duration("connectionOpenTime", service.ConnectionOpenTime, 0, maxDeadline)
		e.duration("probeTime", service.ProbeTime, 0, maxDeadline)
		e.optionalPath("healthPath", service.HealthPath)
		e.optionalPath("loadPath", service.LoadPath)
	}
}

func (e element) optionalPath(field, path string) {
	if path != "" {
		e.path(field, path)
	}
}

// path checks a URL path that is compared byte by byte.
func (e element) path(field, path string) {
	switch {
	case !strings.HasPrefix(path, "/"):
		e.issue(field, CodeFormat, "%q does not begin with \"/\"", abbreviate(path))
	case len(path) > maxPathBytes:
		e.issue(field, CodeTooLong, "the path has %d bytes; at most %d are allowed", len(path), maxPathBytes)
	case !isPlainPath(path):
		e.issue(field, CodeFormat, "%q holds an empty, \".\" or \"..\" segment, a '%%', '?', '#', '\\' or a character outside printable ASCII", abbreviate(path))
	}
}

// isPlainPath reports whether path is its own canonical form: no escapes, no
// dot segments, no empty segments but the last.
func isPlainPath(path string) bool {
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

func (v *validator) upstreams() {
	v.upstreamNames = names{}
	addresses := make(map[netip.AddrPort]string, len(v.c.Upstreams))
	for i, upstream := range v.c.Upstreams {
		e := element{v, "upstreams", i}
		e.uniqueName(upstream.Name, v.upstreamNames)
		e.reference("service", "service", upstream.Service, v.serviceNames)
		e.reference("failureDomain", "failure domain", upstream.FailureDomain, v.domainNames)
		e.address(upstream, addresses)
		within(e, "slots", upstream.Slots, 1, maxSlots)
		within(e, "connections", upstream.Connections, 1, maxConnections)
		if upstream.Connections >= 1 && upstream.Slots > upstream.Connections {
			e.issue("slots", CodeCapacity, "%d slots exceed %d connections", upstream.Slots, upstream.Connections)
		}
	}
}

func (e element) address(upstream Upstream, seen map[netip.AddrPort]string) {
	address := upstream.Address
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		e.issue("address", CodeMissing, "an IP address and port are required")
		return
	}
	if first, taken := seen[address]; taken {
		e.issue("address", CodeDuplicate, "%v is already the address of upstream %q", address, first)
		return
	}
	seen[address] = upstream.Name
}

// routeKey identifies a route.
type routeKey struct {
	service string
	prefix  string
}

func (v *validator) routes() {
	seen := map[routeKey]bool{}
	for i, route := range v.c.Routes {
		e := element{v, "routes", i}
		e.reference("service", "service", route.Service, v.serviceNames)
		e.path("prefix", route.Prefix)
		key := routeKey{route.Service, route.Prefix}
		if seen[key] {
			e.issue("prefix", CodeDuplicate, "service %q already has a route for %q", route.Service, route.Prefix)
		}
		seen[key] = true
		switch route.Priority {
		case "", PriorityNormal, PriorityAlert:
		default:
			e.issue("priority", CodeFormat, "%q is neither %q nor %q", abbreviate(string(route.Priority)), PriorityNormal, PriorityAlert)
		}
	}
}
