package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/changefeed"
	"peridotrail/internal/hostbudget"
	"peridotrail/internal/lending"
	"peridotrail/internal/loadreport"
	"peridotrail/internal/observe"
)

// Run serves until ctx ends, then shuts down gracefully within the grace period. It
// fails if a listener can't be opened. It must be called at most once.
func (g *Gateway) Run(ctx context.Context) error {
	settings := *g.settings.get()
	if settings.ListenRelays != "" {
		relays, err := newRelays(settings, g.started, http.HandlerFunc(g.serveRelayed), g.logger, g.metrics.registry)
		if err != nil {
			return err
		}
		g.relays = relays
	}
	servers, err := g.listen()
	if err != nil {
		return err
	}
	lendingExchange, err := lending.Listen(g.settings.get().ListenPeers, g.limits, g.logger, boottime.Now)
	if err != nil {
		return err
	}
	g.limits.borrowThrough(lendingExchange)
	loadExchange, err := g.listenLoadReports()
	if err != nil {
		return err
	}
	g.state.setOnHosts(func(hosts []catalog.Host) {
		settings := g.settings.get()
		if loadExchange != nil {
			loadExchange.SetPeers(loadPeersOf(hosts, *settings))
		}
		domain, others := replicaPeersOf(hosts, *settings)
		g.replica.SetPeers(settings.Host, domain, others)
		if g.relays != nil {
			g.relays.setHosts(hosts, settings.Host)
		}
	})
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	registrationCtx, withdraw := context.WithCancel(taskCtx)
	defer withdraw()
	var tasks sync.WaitGroup
	tasks.Go(func() { g.replica.Run(taskCtx) })
	tasks.Go(func() { g.expireAbsent(taskCtx) })
	tasks.Go(func() { g.probeHeldHosts(taskCtx) })
	tasks.Go(func() { lendingExchange.Run(taskCtx) })
	if loadExchange != nil {
		tasks.Go(func() { loadExchange.Run(taskCtx) })
	}
	if g.relays != nil {
		tasks.Go(func() { g.relays.run(taskCtx) })
	}
	tasks.Go(func() { g.guard.Run(taskCtx) })
	tasks.Go(func() { g.probeLinks(taskCtx) })
	tasks.Go(func() { g.logLimiter.run(taskCtx) })
	tasks.Go(func() { g.recordCrashes(taskCtx) })
	tasks.Go(func() { g.register(registrationCtx) })
	tasks.Go(func() { g.claimShares(registrationCtx) })
	tasks.Go(func() { g.recordLimits(registrationCtx) })
	_ = level.Info(g.logger).Log("event", "started", "host", g.settings.get().Host, "domain", g.settings.get().FailureDomain, "region", g.settings.get().Region)

	<-ctx.Done()
	g.shutdown(servers, withdraw)
	stopTasks()
	tasks.Wait()
	_ = level.Info(g.logger).Log("event", "stopped", "host", g.settings.get().Host)
	return nil
}

// listenLoadReports opens the exchange of load reports. It returns nil if no
// address is set for it.
func (g *Gateway) listenLoadReports() (*loadreport.Exchange, error) {
	address := g.settings.get().ListenLoadReports
	if address == "" {
		return nil, nil
	}
	return loadreport.Listen(address, &loadPool{pool: g.state.pool, state: g.state}, g.logger)
}

// shutdown stops the host gracefully: it withdraws the host from look-ups, rejects
// new requests after a delay, waits for the requests in progress to end, and gives those up that
// don't in time.
func (g *Gateway) shutdown(servers []*http.Server, withdraw context.CancelFunc) {
	_ = level.Info(g.logger).Log("event", "leaving", "grace", g.settings.get().Grace)
	grace := g.settings.get().Grace
	shutdownCtx, cancel := context.WithTimeout(context.Background(), scale(grace, shutdownEndFraction))
	defer cancel()
	defer g.stop.begin(grace, boottime.Now())()
	g.shuttingDown.Store(true)
	withdraw()
	time.Sleep(scale(grace, rejectAfterFraction))
	g.rejecting.Store(true)
	g.stop.leave()
	var stopping sync.WaitGroup
	stopping.Go(func() {
		g.conns.drain(shutdownCtx)
		for _, server := range servers {
			if err := server.Shutdown(shutdownCtx); err != nil {
				_ = level.Warn(g.logger).Log("event", "requests cut by the end of the grace", "address", server.Addr, "err", err)
			}
		}
	})
	if g.relays != nil {
		stopping.Go(func() { g.relays.drain(shutdownCtx) })
	}
	stopping.Wait()
}

// metricsPrefix is the prefix of all metric names.
const metricsPrefix = "peridotrail_"

// withPort returns an IP:port address with another port.
func withPort(address string, port uint16) string {
	ip, _, _ := strings.Cut(address, ":")
	return net.JoinHostPort(ip, strconv.Itoa(int(port)))
}

// listen opens the HTTP listeners and starts a server on each.
func (g *Gateway) listen() ([]*http.Server, error) {
	settings := g.settings.get()
	type endpoint struct {
		address string
		handler http.Handler
		class   hostbudget.Class
	}
	endpoints := []endpoint{
		{settings.ListenCallers, http.HandlerFunc(g.serveRequest), hostbudget.Callers},
		{settings.ListenReady, http.HandlerFunc(g.serveReadiness), hostbudget.Internal},
		{settings.ListenLookups, http.HandlerFunc(g.serveLookup), hostbudget.Internal},
	}
	if settings.MetricsPort != 0 {
		endpoints = append(endpoints, endpoint{withPort(settings.ListenCallers, settings.MetricsPort), observe.TextHandler(metricsPrefix, g.metrics.registry), hostbudget.Internal})
	}
	if settings.ListenPeers != "" {
		peers := http.NewServeMux()
		peers.Handle(changefeed.Path, g.stop.endWaits(changefeed.Handler(g.replica, g.logger)))
		peers.HandleFunc("GET "+peerReadinessPath, g.servePeerReadiness)
		endpoints = append(endpoints, endpoint{settings.ListenPeers, peers, hostbudget.Internal})
	}
	var servers []*http.Server
	for _, each := range endpoints {
		listener, err := net.Listen("tcp4", each.address)
		if err != nil {
			return nil, err
		}
		server := &http.Server{
			Addr:           each.address,
			Handler:        g.conns.handler(each.handler),
			MaxHeaderBytes: maxHeaderBytes,
			// Otherwise net/http itself responds to "OPTIONS *" with 200.
			DisableGeneralOptionsHandler: true,
			ConnState:                    g.conns.stateChanged,
		}
		listener = g.guard.Serve(server, listener, each.class, http.HandlerFunc(g.refuseForMemory))
		servers = append(servers, server)
		go func() {
			if err := server.Serve(g.conns.listener(listener)); err != nil && err != http.ErrServerClosed {
				_ = level.Error(g.logger).Log("event", "listener failed", "address", each.address, "err", err)
			}
		}()
	}
	return servers, nil
}
