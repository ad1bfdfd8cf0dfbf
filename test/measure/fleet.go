package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"peridotrail/internal/configuration"
	"peridotrail/internal/daemon"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
	"peridotrail/internal/platform"
	"peridotrail/internal/settings"
	"peridotrail/internal/standin/network"
	"peridotrail/internal/standin/store"
)

const (
	readyTimeout  = 30 * time.Second
	readyPoll     = 50 * time.Millisecond
	settleTime    = 3 * time.Second // for the shares to follow the first demand
	applyTimeout  = 5 * time.Second
	shutdownGrace = 10 * time.Second
)

// fleet is a fleet of peridotrail hosts.
type fleet struct {
	deployment *deployment
	logger     log.Logger
	store      *store.Store
	network    *network.Network
	authority  *keys.Authority
	repository *configuration.Repository

	mu    sync.Mutex // guards hosts
	hosts []*fleetHost
}

type fleetHost struct {
	name    string
	domain  string
	private netip.AddrPort
	port    *network.Port
	daemon  *daemon.Host
	// reserved keeps the private port until the host first starts.
	reserved *net.UDPConn
}

// NotReadyError reports a fleet that did not put its configuration in force.
type NotReadyError struct {
	Host string
}

// Error implements error.
func (e *NotReadyError) Error() string { return fmt.Sprintf("host %s did not become ready", e.Host) }

func newFleet(d *deployment, c *configuration.Configuration, logger log.Logger) (*fleet, error) {
	authority, err := keys.Ephemeral()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		deployment: d, logger: logger, authority: authority,
		store:   store.New(),
		network: network.New(d.delay),
	}
	f.repository = configuration.NewRepository(configuration.RepositoryConfig{Store: f.store})
	if _, err := f.repository.Commit(context.Background(), 0, c); err != nil {
		return nil, err
	}
	for i, domain := range d.hosts {
		if err := f.join(fmt.Sprintf("%s-%d", domain, i), domain); err != nil {
			return nil, err
		}
	}
	f.publishHosts()
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady()
}

func (f *fleet) join(name, domain string) error {
	reserved, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	private := reserved.LocalAddr().(*net.UDPAddr).AddrPort()
	port, err := f.network.Join(domain, private)
	if err != nil {
		return err
	}
	f.hosts = append(f.hosts, &fleetHost{name: name, domain: domain, private: private, port: port, reserved: reserved})
	return nil
}

func (f *fleet) publishHosts() {
	var records []platform.HostRecord
	for _, h := range f.hosts {
		records = append(records, platform.HostRecord{Name: h.name, FailureDomain: h.domain, FleetAddress: h.port.Address().String()})
	}
	f.store.SetHosts(records)
}

func (f *fleet) start(h *fleetHost) error {
	material, err := f.authority.Material(keys.Name{Host: host.ID(h.name), FailureDomain: h.domain})
	if err != nil {
		return err
	}
	s := settings.Default()
	s.Host = settings.Host{ID: h.name, FailureDomain: h.domain, Region: f.deployment.regions[h.domain]}
	s.Entry.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	s.Admin.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	s.Fleet.Listen = h.private
	s.Fleet.Advertise = h.port.Address()
	s.Shutdown.Grace = configuration.Duration(shutdownGrace)
	_ = h.reserved.Close() // again on a restart, without effect
	started, err := daemon.Start(daemon.Options{
		Settings: s,
		Store:    f.store.Client(store.Caller{Host: h.name, FailureDomain: h.domain}),
		Keys:     keys.NewHolder(material),
		Logger:   f.logger,
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.daemon = started
	return nil
}

func (f *fleet) waitReady() error {
	limit := time.Now().Add(readyTimeout)
	for _, h := range f.hosts {
		for !h.daemon.Ready() {
			if time.Now().After(limit) {
				return &NotReadyError{Host: h.name}
			}
			time.Sleep(readyPoll)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (f *fleet) running() []*fleetHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*fleetHost
	for _, h := range f.hosts {
		if h.daemon != nil {
			running = append(running, h)
		}
	}
	return running
}

// lookup asks a host of the caller's own domain first, then any.
func (f *fleet) lookup(ctx context.Context, domain, service string) []netip.AddrPort {
	client := f.deployment.clientAddress(domain, 0)
	var others []*fleetHost
	for _, h := range f.running() {
		if h.domain != domain {
			others = append(others, h)
			continue
		}
		if hosts := ask(ctx, h.daemon.Self().Entry, service, client); len(hosts) > 0 {
			return hosts
		}
	}
	for _, h := range others {
		if hosts := ask(ctx, h.daemon.Self().Entry, service, client); len(hosts) > 0 {
			return hosts
		}
	}
	return nil
}

func (f *fleet) apply(c *configuration.Configuration) {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	root, _, err := f.repository.Root(ctx)
	if err != nil {
		_ = f.logger.Log("event", "apply failed", "err", err) // logs are best effort
		return
	}
	if _, err := f.repository.Commit(ctx, root.Revision, c); err != nil {
		_ = f.logger.Log("event", "apply failed", "err", err) // logs are best effort
	}
}

func (f *fleet) take(i int) (*fleetHost, *daemon.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[i]
	taken := h.daemon
	h.daemon = nil
	return h, taken
}

func (f *fleet) kill(i int) {
	if _, d := f.take(i); d != nil {
		d.Kill()
	}
}

func (f *fleet) restart(i int) {
	h, d := f.take(i)
	if d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := d.Shutdown(ctx); err != nil {
		_ = f.logger.Log("event", "shutdown failed", "err", err) // logs are best effort
	}
	if err := f.start(h); err != nil {
		_ = f.logger.Log("event", "start failed", "err", err) // logs are best effort
	}
}

func (f *fleet) stop() {
	for i := range f.hosts {
		f.kill(i)
	}
	f.network.Close()
}
