// Package daemon runs one entry host: it wires the packages that each know one
// concern, starts their duties and ends them in order.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/configuration"
	"peridotrail/internal/duty"
	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
	"peridotrail/internal/platform"
	"peridotrail/internal/settings"
)

// Options configures a Host.
type Options struct {
	Settings settings.Settings
	Store    platform.Store
	Keys     keys.Source
	Logger   log.Logger
	Metrics  metrics.Registry
	// Filter reports whether packets to and from another host are carried. Nil
	// carries all. Tests cut links with it.
	Filter func(peer netip.AddrPort) bool
}

// Host is one running entry host.
type Host struct {
	options  Options
	self     host.Identity
	logger   log.Logger
	group    *duty.Group
	stop     context.CancelFunc
	inForce  *configuration.InForce
	fleet    *fleet.Transport
	front    *front
	admin    *admin
	state    *state
	capacity *capacity
}

// Start opens the listeners of a host and starts its duties. A port of zero in
// the settings is replaced by a free one.
func Start(options Options) (*Host, error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	h := &Host{options: options, inForce: configuration.NewInForce()}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.wire()
	h.run()
	return h, nil
}
