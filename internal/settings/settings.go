// Package settings holds the static settings of one host: who it is, where it
// listens and how it reaches the store and the other hosts.
//
// Everything that operators change while traffic runs is in the configuration.
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

// Host names the host and its place.
type Host struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
}

// Entry is the HTTP listener for callers.
type Entry struct {
	Listen    netip.AddrPort `json:"listen"`
	Advertise netip.AddrPort `json:"advertise"` // address in look-up answers; Listen if absent
}

// Fleet is the QUIC listener for other hosts.
type Fleet struct {
	Listen    netip.AddrPort   `json:"listen"`
	Advertise netip.AddrPort   `json:"advertise"` // address given to other hosts; Listen if absent
	Peers     []netip.AddrPort `json:"peers"`     // hosts to ask for members at start
	TLS       TLS              `json:"tls"`
}

// TLS names the PEM files for connections between hosts. They are read again
// when they change.
type TLS struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Admin is the HTTP listener for operators.
type Admin struct {
	Listen netip.AddrPort `json:"listen"`
}

// Platform is the users' key-value store.
type Platform struct {
	Endpoints []string `json:"endpoints"` // base URLs
}

// Log sets the lowest level that is written.
type Log struct {
	Level string `json:"level"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// Notice is how long the host goes on accepting requests after it has
	// announced that it leaves, for callers that use an earlier look-up answer.
	Notice configuration.Duration `json:"notice"`
	// Grace bounds the whole shutdown, Notice included.
	Grace configuration.Duration `json:"grace"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxConnections int `json:"maxConnections"` // open at the same time; further ones wait
}

// StaleKeyPolicy says what a host does with keyed requests once it has been cut
// off for longer than the accepted age.
type StaleKeyPolicy string

// Policies for a host that is cut off.
const (
	StaleKeyServe  StaleKeyPolicy = "serve"
	StaleKeyRefuse StaleKeyPolicy = "refuse"
)

// StaleKey applies when a host has heard neither from the store nor from any
// other failure domain for longer than After.
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

// Default returns the settings that apply where a file is silent.
func Default() Settings {
	return Settings{
		Log:      Log{Level: defaultLogLevel},
		Shutdown: Shutdown{Notice: configuration.Duration(defaultNotice), Grace: configuration.Duration(defaultGrace)},
		Limits:   Limits{MaxConnections: defaultMaxConnections},
		StaleKey: StaleKey{Policy: StaleKeyServe, After: configuration.Duration(defaultStaleKeyAfter)},
	}
}

// EntryAddress returns the address that callers use.
func (s Settings) EntryAddress() netip.AddrPort {
	return firstValid(s.Entry.Advertise, s.Entry.Listen)
}

// FleetAddress returns the address that other hosts use.
func (s Settings) FleetAddress() netip.AddrPort {
	return firstValid(s.Fleet.Advertise, s.Fleet.Listen)
}

func firstValid(a, b netip.AddrPort) netip.AddrPort {
	if a.IsValid() {
		return a
	}
	return b
}
