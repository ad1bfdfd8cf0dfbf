// Package settings holds the static settings of one host: its identity, the
// addresses on which it listens and how it reaches the store and the other hosts.
//
// What operators change during operation is in package configuration.
package settings

import (
	"net/netip"
	"time"

	"peridotrail/internal/configuration"
)

// Settings are the static settings of one host.
type Settings struct {
	Host     Host     `json:"host"`
	Entry    Entry    `json:"entry"`
	Fleet    Fleet    `json:"fleet"`
	Admin    Admin    `json:"admin"`
	Platform Platform `json:"platform"`
	Log      Log      `json:"log"`
	Shutdown Shutdown `json:"shutdown"`
	Limits   Limits   `json:"limits"`
	StaleKey StaleKey `json:"staleKey"`
}

// Host identifies the host and gives its failure domain and region.
type Host struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
}

// Entry configures the HTTP listener for callers.
type Entry struct {
	Listen    netip.AddrPort `json:"listen"`
	Advertise netip.AddrPort `json:"advertise"` // address in look-up responses; Listen if absent
}

// Fleet configures the QUIC listener for other hosts.
type Fleet struct {
	Listen    netip.AddrPort   `json:"listen"`
	Advertise netip.AddrPort   `json:"advertise"` // address that other hosts connect to; Listen if absent
	Peers     []netip.AddrPort `json:"peers"`     // hosts from which to request the member list at start
	TLS       TLS              `json:"tls"`
}

// TLS holds the paths of the PEM files for connections between hosts. The files are
// read again when they change.
type TLS struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Admin configures the HTTP listener for operators.
type Admin struct {
	Listen netip.AddrPort `json:"listen"`
}

// Platform locates the platform's key-value store.
type Platform struct {
	Endpoints []string `json:"endpoints"` // base URLs, http or https
}

// Log configures logging.
type Log struct {
	Level string `json:"level"` // minimum level: "debug", "info", "warn" or "error"
}

// Shutdown limits the duration of a graceful shutdown.
type Shutdown struct {
	// Notice is how long the host continues to accept requests after it has
	// announced that it is leaving, for callers that still use an earlier look-up
	// response.
	Notice configuration.Duration `json:"notice"`
	// Grace limits the duration of the complete shutdown, including Notice.
	Grace configuration.Duration `json:"grace"`
}

// Limits restricts the resources that callers may use.
type Limits struct {
	MaxConnections int `json:"maxConnections"` // maximum number of open connections; further ones wait to be accepted
}

// StaleKeyPolicy selects how a host treats requests with a key when its list of keys
// may be out of date.
type StaleKeyPolicy string

// Policies for a host that has lost contact.
const (
	StaleKeyServe  StaleKeyPolicy = "serve"  // check keys against the last known list
	StaleKeyRefuse StaleKeyPolicy = "refuse" // reject requests with a key
)

// StaleKey applies when a host has received nothing from the store or from any other
// failure domain for longer than After.
type StaleKey struct {
	Policy StaleKeyPolicy         `json:"policy"`
	After  configuration.Duration `json:"after"`
}

const (
	defaultNotice         = 12 * time.Second
	defaultGrace          = 45 * time.Second
	defaultMaxConnections = 20000
	defaultStaleKeyAfter  = 5 * time.Minute
	defaultLogLevel       = "info"
)

// Default returns the values of settings that are absent from the file.
func Default() Settings {
	return Settings{
		Log:      Log{Level: defaultLogLevel},
		Shutdown: Shutdown{Notice: configuration.Duration(defaultNotice), Grace: configuration.Duration(defaultGrace)},
		Limits:   Limits{MaxConnections: defaultMaxConnections},
		StaleKey: StaleKey{Policy: StaleKeyServe, After: configuration.Duration(defaultStaleKeyAfter)},
	}
}

// EntryAddress returns the address at which callers reach the host.
func (s Settings) EntryAddress() netip.AddrPort {
	return firstValid(s.Entry.Advertise, s.Entry.Listen)
}

// FleetAddress returns the address at which other hosts reach the host.
func (s Settings) FleetAddress() netip.AddrPort {
	return firstValid(s.Fleet.Advertise, s.Fleet.Listen)
}

func firstValid(a, b netip.AddrPort) netip.AddrPort {
	if a.IsValid() {
		return a
	}
	return b
}
