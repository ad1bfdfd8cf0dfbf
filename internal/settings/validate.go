package settings

import (
	"fmt"
	"net/netip"
	"net/url"

	"peridotrail/internal/configuration"
)

const maxNameLength = 63

// validator checks one settings file and collects its issues.
type validator struct {
	document *configuration.Document
	issues   []configuration.Issue
}

func (v *validator) check(ok bool, field string, code configuration.Code, format string, args ...any) {
	if ok {
		return
	}
	v.issues = append(v.issues, v.document.Issue(field, code, fmt.Sprintf(format, args...)))
}

func (v *validator) checkSettings(s Settings) {
	v.checkHost(s.Host)
	v.checkListenAddress("entry.listen", s.Entry.Listen)
	v.checkListenAddress("fleet.listen", s.Fleet.Listen)
	v.checkListenAddress("admin.listen", s.Admin.Listen)
	v.checkAdvertisedAddress("entry.advertise", s.EntryAddress())
	v.checkAdvertisedAddress("fleet.advertise", s.FleetAddress())
	v.checkTLS(s.Fleet.TLS)
	v.checkPlatform(s.Platform)
	v.checkLimits(s)
}

func (v *validator) checkHost(h Host) {
	v.checkName("host.id", h.ID)
	v.checkName("host.failureDomain", h.FailureDomain)
	v.checkName("host.region", h.Region)
}

func (v *validator) checkName(field, value string) {
	v.check(value != "", field, configuration.CodeMissing, "a name is required")
	v.check(len(value) <= maxNameLength, field, configuration.CodeTooLong, "the name has %d bytes, at most %d are allowed", len(value), maxNameLength)
}

func (v *validator) checkListenAddress(field string, value netip.AddrPort) {
	v.check(value.IsValid(), field, configuration.CodeMissing, `an address and port such as "192.0.2.1:8080" is required`)
}

func (v *validator) checkAdvertisedAddress(field string, value netip.AddrPort) {
	if !value.IsValid() {
		return
	}
	v.check(!value.Addr().IsUnspecified(), field, configuration.CodeRange, "%s cannot be reached by others; advertise an address of this host", value)
}

func (v *validator) checkTLS(t TLS) {
	v.check(t.CA != "", "fleet.tls.ca", configuration.CodeMissing, "a PEM file is required")
	v.check(t.Certificate != "", "fleet.tls.certificate", configuration.CodeMissing, "a PEM file is required")
	v.check(t.Key != "", "fleet.tls.key", configuration.CodeMissing, "a PEM file is required")
}

func (v *validator) checkPlatform(p Platform) {
	v.check(len(p.Endpoints) > 0, "platform.endpoints", configuration.CodeMissing, "at least one base URL is required")
	for i, endpoint := range p.Endpoints {
		parsed, err := url.Parse(endpoint)
		ok := err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
		v.check(ok, fmt.Sprintf("platform.endpoints[%d]", i), configuration.CodeFormat, "%q is not an http or https URL", endpoint)
	}
}

func (v *validator) checkLimits(s Settings) {
	v.check(isLogLevel(s.Log.Level), "log.level", configuration.CodeFormat, "%q is not one of debug, info, warn, error", s.Log.Level)
	v.check(s.Shutdown.Notice >= 0, "shutdown.notice", configuration.CodeRange, "the duration must not be negative")
	v.check(s.Shutdown.Notice < s.Shutdown.Grace, "shutdown.notice", configuration.CodeRange, "the notice must be shorter than the grace period %s", s.Shutdown.Grace.Std())
	v.check(s.Shutdown.Grace > 0, "shutdown.grace", configuration.CodeRange, "the duration must be positive")
	v.check(s.Limits.MaxConnections > 0, "limits.maxConnections", configuration.CodeRange, "the number must be positive")
	v.check(s.StaleKey.Policy == StaleKeyServe || s.StaleKey.Policy == StaleKeyRefuse, "staleKey.policy", configuration.CodeFormat, "%q is not one of serve, refuse", s.StaleKey.Policy)
	v.check(s.StaleKey.After > 0, "staleKey.after", configuration.CodeRange, "the duration must be positive")
}

func isLogLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
