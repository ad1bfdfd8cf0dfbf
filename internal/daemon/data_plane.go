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

// front is the side of a host towards callers and upstreams.
type front struct {
	host       *Host
	dispatcher *upstream.Dispatcher
	lookups    *steering.Service
	active     *clientaccount.ActiveRequests
	once       *once
	door       *entry.FrontDoor
	server     *entry.Server
}

func newFront(h *Host) *front {
	f := &front{host: h, active: clientaccount.NewActiveRequests()}
	f.dispatcher = upstream.New(upstream.Options{
		Self:          h.self,
		Configuration: h.configuration,
		Capacity:      h.state.capacity,
		Transports:    h.state.transports,
		Peers:         h.state.peers,
		Caller:        h.transport,
		Metrics:       h.options.Metrics,
	})
	f.dispatcher.Register(h.transport)
	h.state.attach(f.dispatcher)
	f.lookups = steering.New(steering.Options{
		Self:          h.self,
		Configuration: h.inForce.Current,
		Hosts:         h.state.steeringHosts,
		Documents:     h.state.distributor.State().List,
		Metrics:       h.options.Metrics,
	})
	f.once = newOnce(h.state)
	f.door = entry.New(entry.Options{
		Self:        h.self,
		Policy:      entry.SnapshotPolicy(h.inForce.Current),
		Active:      f.active,
		Admitter:    admitter{state: h.state},
		Dispatcher:  entry.UpstreamDispatcher(f.dispatcher),
		Idempotency: f.once.client,
		API:         f.api(),
		Logger:      h.logger,
		AccessLog:   h.options.Settings.Log.Level == "debug",
		Metrics:     h.options.Metrics,
		Ended:       f.ended,
	})
	relays := &relay.Server{Handler: f.door.RelayHandler(), Logger: h.logger, Metrics: h.options.Metrics}
	relays.Register(h.transport)
	f.server = entry.NewServer(f.door)
	return f
}

// api serves the paths below /v1/ that callers use.
func (f *front) api() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(api.LookupPath, f.lookups)
	return mux
}

func (f *front) run(group *task.Group) {
	group.GoUnwatched("dispatcher", f.dispatcher.Run)
	group.GoUnwatched("probes", f.dispatcher.RunProbes)
	group.GoUnwatched("look-ups", f.lookups.Run)
	group.GoUnwatched("key-withdrawal", f.withdrawKeys)
	group.GoUnwatched("idempotency", f.once.run)
	group.GoUnwatched("shifts", f.shifts().Run)
	group.GoUnwatched("entry", func(ctx context.Context) error {
		if err := f.server.Serve(f.host.listeners.entry); err != nil {
			return err
		}
		<-ctx.Done() // a graceful shutdown ends Serve before the group
		return nil
	})
}

// shifts makes the steps of the shifts out of this failure domain.
func (f *front) shifts() *steering.ShiftController {
	h := f.host
	return steering.NewShiftController(steering.ShiftOptions{
		Self:          h.self,
		Store:         h.options.Store,
		Configuration: h.inForce.Current,
		Leading:       h.state.leaders.Leading,
		Measure:       h.state.measure,
	})
}

// ended counts a request towards the service-level objectives.
func (f *front) ended(e entry.Ended) {
	if e.CallerFault {
		return
	}
	f.host.state.burn.Record(servicelevel.Outcome{Service: e.Service, Account: e.Account, Good: e.Good, Latency: e.Latency})
}

// withdrawKeys ends the requests of keys that the configuration holds no more.
func (f *front) withdrawKeys(ctx context.Context) error {
	enforcer := &clientaccount.Enforcer{
		Requests: f.active,
		InForce:  clientaccount.SnapshotKeys(f.host.inForce.Current),
	}
	enforcer.Run(ctx)
	return nil
}

// configuration returns the configuration in force, nil before the first.
func (h *Host) configuration() *configuration.Configuration {
	snapshot := h.inForce.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Configuration
}
