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
	"peridotrail/internal/lending"
	"peridotrail/internal/loadreport"
	"peridotrail/internal/observe"
)

const (
	// refuseAfter is the part of the grace after which a leaving host refuses new
	// requests; until then callers learn from look-ups that it leaves.
	refuseAfter = 0.45
	// finishBefore is the part of the grace at which the process ends.
	finishBefore = 0.95
	// headerTimeout bounds how long a caller may take to send a request's head.
	headerTimeout = 30 * time.Second
	// idleTimeout is longer than callers keep idle connections.
	idleTimeout = 90 * time.Second
	// headerBytes bounds the head of a request.
	headerBytes = 1 << 20
)

// Run serves until ctx ends, then shuts down gracefully within the grace.
func (g *Gateway) Run(ctx context.Context) error {
	servers, err := g.listen()
	if err != nil {
		return err
	}
	exchange, err := lending.Listen(g.settings.get().ListenPeers, g.limits, g.logger, boottime.Now)
	if err != nil {
		return err
	}
	g.limits.lendBy(exchange)
	shared, err := g.listenLoads()
	if err != nil {
		return err
	}
	g.state.watchHosts(func(hosts []catalog.Host) {
		settings := g.settings.get()
		if shared != nil {
			shared.SetPeers(loadPeersOf(hosts, *settings))
		}
		g.replica.SetPeers(settings.Host, neighboursOf(hosts, *settings))
	})
	background, stop := context.WithCancel(context.Background())
	defer stop()
	registered, withdraw := context.WithCancel(background)
	defer withdraw()
	var duties sync.WaitGroup
	duties.Go(func() { g.replica.Run(background) })
	duties.Go(func() { g.expire(background) })
	duties.Go(func() { exchange.Run(background) })
	if shared != nil {
		duties.Go(func() { shared.Run(background) })
	}
	duties.Go(func() { g.lines.run(background) })
	duties.Go(func() { g.register(registered) })
	_ = level.Info(g.logger).Log("event", "started", "host", g.settings.get().Host, "domain", g.settings.get().FailureDomain, "region", g.settings.get().Region)

	<-ctx.Done()
	g.shutdown(servers, withdraw)
	stop()
	duties.Wait()
	_ = level.Info(g.logger).Log("event", "stopped", "host", g.settings.get().Host)
	return nil
}

// listenLoads opens the exchange of loads, nil if there is no address for it.
func (g *Gateway) listenLoads() (*loadreport.Exchange, error) {
	address := g.settings.get().ListenLoads
	if address == "" {
		return nil, nil
	}
	return loadreport.Listen(address, &loads{pool: g.state.pool, state: g.state}, g.logger)
}

// shutdown stops the host without cutting a request: callers learn that it
// leaves, then new requests are refused, then the last ones end.
func (g *Gateway) shutdown(servers []*http.Server, withdraw context.CancelFunc) {
	_ = level.Info(g.logger).Log("event", "leaving", "grace", g.settings.get().Grace)
	grace := g.settings.get().Grace
	end, cancel := context.WithTimeout(context.Background(), part(grace, finishBefore))
	defer cancel()
	g.leaving.Store(true)
	withdraw()
	time.Sleep(part(grace, refuseAfter))
	g.refusing.Store(true)
	var wait sync.WaitGroup
	for _, server := range servers {
		wait.Go(func() {
			if err := server.Shutdown(end); err != nil {
				_ = level.Warn(g.logger).Log("event", "requests cut by the end of the grace", "address", server.Addr, "err", err)
			}
		})
	}
	wait.Wait()
}

// metricsPrefix begins the names of all metrics.
const metricsPrefix = "peridotrail_"

// withPort replaces the port of an IP:port.
func withPort(address string, port uint16) string {
	ip, _, _ := strings.Cut(address, ":")
	return net.JoinHostPort(ip, strconv.Itoa(int(port)))
}

// listen opens the listeners and serves them.
func (g *Gateway) listen() ([]*http.Server, error) {
	settings := g.settings.get()
	type endpoint struct {
		address string
		handler http.Handler
	}
	handlers := []endpoint{
		{settings.ListenCallers, http.HandlerFunc(g.requests)},
		{settings.ListenReady, http.HandlerFunc(g.readiness)},
		{settings.ListenLookups, http.HandlerFunc(g.lookups)},
	}
	if settings.MetricsPort != 0 {
		handlers = append(handlers, endpoint{withPort(settings.ListenCallers, settings.MetricsPort), observe.TextHandler(metricsPrefix, g.counters.registry)})
	}
	if settings.ListenPeers != "" {
		handlers = append(handlers, endpoint{settings.ListenPeers, changefeed.Handler(g.replica, g.logger)})
	}
	var servers []*http.Server
	for _, each := range handlers {
		listener, err := net.Listen("tcp4", each.address)
		if err != nil {
			return nil, err
		}
		server := &http.Server{
			Addr:              each.address,
			Handler:           each.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    headerBytes,
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
				_ = level.Error(g.logger).Log("event", "listener failed", "address", each.address, "err", err)
			}
		}()
	}
	return servers, nil
}
