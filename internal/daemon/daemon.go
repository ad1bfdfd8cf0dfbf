// Package daemon runs one entry host: it creates the components, connects them,
// starts their tasks and stops them in order.
package daemon

import (
	"context"
	"net/netip"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/settings"
	"peridotrail/internal/task"
)

// Options configures a Host.
type Options struct {
	Settings settings.Settings
	Store    kvstore.Store
	Keys     keys.Source
	Logger   log.Logger       // nil logs nothing
	Metrics  metrics.Registry // nil uses a private registry
	// Filter reports whether packets to and from another host are let through. Nil
	// lets all through. Tests use it to simulate partitions.
	Filter func(peer netip.AddrPort) bool
}

// Host is one running entry host.
type Host struct {
	options      Options
	logger       log.Logger
	self         host.Identity
	listeners    listeners
	transport    *fleet.Transport
	inForce      *configuration.InForce
	controlPlane *controlPlane
	dataPlane    *dataPlane
	admin        *adminServer
	group        *task.Group
}

// Start opens the listeners of a host and starts its tasks. A port of zero in the
// settings is replaced by a free one. The error is a *ListenError.
func Start(options Options) (*Host, error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	h := &Host{
		options: options,
		logger:  log.With(options.Logger, "host", options.Settings.Host.ID),
		inForce: configuration.NewInForce(),
	}
	if err := h.listen(); err != nil {
		h.listeners.close()
		return nil, err
	}
	h.controlPlane = newControlPlane(h)
	h.dataPlane = newDataPlane(h)
	h.admin = newAdminServer(h)
	h.run()
	return h, nil
}

// Self returns the identity of this process.
func (h *Host) Self() host.Identity { return h.self }

// AdminAddress returns the address of the API for operators.
func (h *Host) AdminAddress() netip.AddrPort {
	return withPort(h.options.Settings.Admin.Listen, h.listeners.admin)
}

// Metrics returns the registry of this host's metrics.
func (h *Host) Metrics() metrics.Registry { return h.options.Metrics }

// Revision returns the configuration revision in force; zero before the first.
func (h *Host) Revision() configuration.Revision { return h.inForce.Revision() }

// Failed returns a channel that is closed when a task has ended early, or when the host
// stops. Wait then returns the error, if any.
func (h *Host) Failed() <-chan struct{} { return h.group.Context().Done() }

// Wait waits until all tasks have ended. The error names the task that ended early;
// it is nil after Shutdown or Kill.
func (h *Host) Wait() error { return h.group.Wait() }

func (h *Host) run() {
	h.group = task.NewGroup(context.Background(), task.GroupOptions{Logger: h.logger, Metrics: h.options.Metrics})
	h.group.GoUnwatched("fleet", h.transport.Run)
	h.controlPlane.run(h.group)
	h.dataPlane.run(h.group)
	h.admin.run(h.group)
}

// Traffic returns the bytes exchanged with other hosts since the start.
func (h *Host) Traffic() fleet.Traffic { return h.transport.Traffic() }
