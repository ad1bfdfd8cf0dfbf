package daemon

import (
	"context"
	"net/http"

	"peridotrail/internal/api"
	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	"peridotrail/internal/entry"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/servicelevel"
	"peridotrail/internal/steering"
	"peridotrail/internal/task"
	"peridotrail/internal/upstream"
)

// dataPlane handles the requests of callers and forwards them to upstreams.
type dataPlane struct {
	host           *Host
	dispatcher     *upstream.Dispatcher
	lookups        *steering.Service
	activeRequests *clientaccount.ActiveRequests
	idempotency    *idempotencyKeys
	handler        *entry.Handler
	server         *entry.Server
}

func newDataPlane(h *Host) *dataPlane {
	d := &dataPlane{host: h, activeRequests: clientaccount.NewActiveRequests()}
	d.dispatcher = upstream.New(upstream.Options{
		Self:          h.self,
		Configuration: h.currentConfiguration,
		Capacity:      h.controlPlane.allotmentHolder,
		Transports:    h.controlPlane.transports,
		Peers:         h.controlPlane.dispatchPeers,
		Caller:        h.transport,
		Metrics:       h.options.Metrics,
	})
	d.dispatcher.Register(h.transport)
	h.controlPlane.setDispatcher(d.dispatcher)
	d.lookups = steering.New(steering.Options{
		Self:          h.self,
		Configuration: h.inForce.Current,
		Hosts:         h.controlPlane.steeringHosts,
		Documents:     h.controlPlane.distributor.State().List,
		Metrics:       h.options.Metrics,
	})
	d.idempotency = newIdempotencyKeys(h.controlPlane)
	d.handler = entry.New(entry.Options{
		Self:         h.self,
		Policy:       entry.SnapshotPolicy(h.inForce.Current),
		Active:       d.activeRequests,
		Admitter:     admitter{controlPlane: h.controlPlane},
		Dispatcher:   entry.UpstreamDispatcher(d.dispatcher),
		Idempotency:  d.idempotency.client,
		API:          d.api(),
		Logger:       h.logger,
		AccessLog:    h.options.Settings.Log.Level == "debug",
		Metrics:      h.options.Metrics,
		OnRequestEnd: d.recordOutcome,
	})
	relays := &relay.Server{Handler: d.handler.RelayHandler(), Logger: h.logger, Metrics: h.options.Metrics}
	relays.Register(h.transport)
	d.server = entry.NewServer(d.handler)
	return d
}

// api serves the paths below /v1/ that callers use.
func (d *dataPlane) api() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(api.LookupPath, d.lookups)
	return mux
}

func (d *dataPlane) run(group *task.Group) {
	group.GoUnwatched("dispatcher", d.dispatcher.Run)
	group.GoUnwatched("probes", d.dispatcher.RunProbes)
	group.GoUnwatched("look-ups", d.lookups.Run)
	group.GoUnwatched("key-withdrawal", d.cancelWithdrawnRequests)
	group.GoUnwatched("idempotency", d.idempotency.run)
	group.GoUnwatched("shifts", d.newShiftController().Run)
	group.GoUnwatched("entry", func(ctx context.Context) error {
		if err := d.server.Serve(d.host.listeners.entry); err != nil {
			return err
		}
		<-ctx.Done() // a graceful shutdown ends Serve before it stops the group
		return nil
	})
}

// newShiftController returns the controller that advances the shifts out of this
// failure domain while this host leads it.
func (d *dataPlane) newShiftController() *steering.ShiftController {
	h := d.host
	return steering.NewShiftController(steering.ShiftOptions{
		Self:          h.self,
		Store:         h.options.Store,
		Configuration: h.inForce.Current,
		Leading:       h.controlPlane.leadership.Leading,
		Measure:       h.controlPlane.measureDomain,
	})
}

// recordOutcome records an ended request for the service-level objectives, unless the
// caller was at fault.
func (d *dataPlane) recordOutcome(e entry.RequestSummary) {
	if e.CallerFault {
		return
	}
	d.host.controlPlane.burnTracker.Record(servicelevel.Outcome{Service: e.Service, Account: e.Account, Good: e.Good, Latency: e.Latency})
}

// cancelWithdrawnRequests cancels the requests of keys that are no longer in the
// configuration, until ctx ends.
func (d *dataPlane) cancelWithdrawnRequests(ctx context.Context) error {
	enforcer := &clientaccount.Enforcer{
		Requests: d.activeRequests,
		InForce:  clientaccount.SnapshotKeys(d.host.inForce.Current),
	}
	enforcer.Run(ctx)
	return nil
}

// currentConfiguration returns the configuration in force, or nil before the first.
func (h *Host) currentConfiguration() *configuration.Configuration {
	snapshot := h.inForce.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Configuration
}
