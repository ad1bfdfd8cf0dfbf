// Package localfleet runs a fleet of entry hosts in one process on loopback, with
// a store stand-in and emulated links between failure domains.
package localfleet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/configuration"
	"peridotrail/internal/daemon"
	"peridotrail/internal/fake/network"
	"peridotrail/internal/fake/store"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/settings"
)

const readyPoll = 20 * time.Millisecond

// Options configures a Fleet.
type Options struct {
	Configuration *configuration.Configuration // committed before the hosts start; none if nil
	Domains       []string                     // failure domain of each host
	Regions       map[string]string            // region of each failure domain; from Configuration if nil
	Delay         network.DelayFunc            // between failure domains; none if nil
	Notice        time.Duration                // of a graceful shutdown
	Grace         time.Duration                // of a graceful shutdown
	Logger        log.Logger                   // nil logs nothing
	// Port gives the fixed entry and admin ports of a host; free ports if nil.
	Port func(host int) (entry, admin uint16)
}

// Fleet is a running fleet. It is safe for concurrent use.
type Fleet struct {
	Store      *store.Store
	Network    *network.Network
	Repository *configuration.Repository

	options   Options
	regions   map[string]string
	authority *keys.Authority

	mu    sync.Mutex // guards the fields of hosts
	hosts []*place
}

// place is where one host runs, now or later.
type place struct {
	name    string
	domain  string
	private netip.AddrPort
	port    *network.Port
	daemon  *daemon.Host
	// reserved keeps the private port until the host first starts.
	reserved *net.UDPConn
}

// NotReadyError reports a host that was not ready in time.
type NotReadyError struct {
	Host string
	Err  error
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("host %s did not become ready: %v", e.Host, e.Err)
}

// Unwrap returns the underlying failure.
func (e *NotReadyError) Unwrap() error { return e.Err }

// Start commits the configuration and starts all hosts. It does not wait until
// they are ready.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f, err := Prepare(ctx, options)
	if err != nil {
		return nil, err
	}
	for i := range f.hosts {
		if err := f.StartHost(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Prepare is Start without starting hosts.
func Prepare(ctx context.Context, options Options) (*Fleet, error) {
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	authority, err := keys.NewEphemeralAuthority()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Store:     store.New(),
		Network:   network.New(options.Delay),
		options:   options,
		regions:   map[string]string{},
		authority: authority,
	}
	f.Repository = configuration.NewRepository(configuration.RepositoryConfig{Store: f.Store})
	if options.Configuration != nil {
		if err := f.commitFirst(ctx, options.Configuration); err != nil {
			return nil, err
		}
	}
	maps.Copy(f.regions, options.Regions)
	return f, f.join()
}

func (f *Fleet) commitFirst(ctx context.Context, c *configuration.Configuration) error {
	for _, domain := range c.FailureDomains {
		f.regions[domain.Name] = domain.Region
	}
	_, err := f.Repository.Commit(ctx, 0, c)
	return err
}

// join opens the ports of all hosts and publishes the platform's list of hosts.
func (f *Fleet) join() error {
	count := map[string]int{}
	var records []kvstore.HostRecord
	for _, domain := range f.options.Domains {
		count[domain]++
		p := &place{name: fmt.Sprintf("%s-%d", domain, count[domain]), domain: domain}
		f.hosts = append(f.hosts, p)
		var err error
		if p.reserved, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return err
		}
		p.private = p.reserved.LocalAddr().(*net.UDPAddr).AddrPort()
		if p.port, err = f.Network.Join(domain, p.private); err != nil {
			return err
		}
		records = append(records, kvstore.HostRecord{Name: p.name, FailureDomain: domain, FleetAddress: p.port.Address().String()})
	}
	f.Store.SetHosts(records)
	return nil
}

// StartHost starts a host that does not run.
func (f *Fleet) StartHost(i int) error {
	p := f.hosts[i]
	material, err := f.authority.Material(keys.Name{Host: host.ID(p.name), FailureDomain: p.domain})
	if err != nil {
		return err
	}
	_ = p.reserved.Close() // again on a restart, without effect
	started, err := daemon.Start(daemon.Options{
		Settings: f.settings(i, p),
		Store:    f.Store.Client(store.Caller{Host: p.name, FailureDomain: p.domain}),
		Keys:     keys.NewReplaceableSource(material),
		Logger:   f.options.Logger,
		Metrics:  metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.daemon = started
	return nil
}

func (f *Fleet) settings(i int, p *place) settings.Settings {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	var entry, admin uint16
	if f.options.Port != nil {
		entry, admin = f.options.Port(i)
	}
	s := settings.Default()
	s.Host = settings.Host{ID: p.name, FailureDomain: p.domain, Region: f.regions[p.domain]}
	s.Entry.Listen = netip.AddrPortFrom(loopback, entry)
	s.Admin.Listen = netip.AddrPortFrom(loopback, admin)
	s.Fleet.Listen = p.private
	s.Fleet.Advertise = p.port.Address()
	s.Shutdown.Notice = configuration.Duration(f.options.Notice)
	s.Shutdown.Grace = configuration.Duration(f.options.Grace)
	return s
}

// Len returns the number of hosts, running or not.
func (f *Fleet) Len() int { return len(f.hosts) }

// Host returns a host, nil if it does not run.
func (f *Fleet) Host(i int) *daemon.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i].daemon
}

// Domain returns the failure domain of a host.
func (f *Fleet) Domain(i int) string { return f.hosts[i].domain }

// WaitReady returns when all hosts that run are ready, or a *NotReadyError when
// ctx ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for i, p := range f.hosts {
		for {
			h := f.Host(i)
			if h == nil || h.Ready() {
				break
			}
			select {
			case <-ctx.Done():
				return &NotReadyError{Host: p.name, Err: ctx.Err()}
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Apply commits a configuration in place of the present one.
func (f *Fleet) Apply(ctx context.Context, c *configuration.Configuration) (configuration.Revision, error) {
	root, _, err := f.Repository.Root(ctx)
	if err != nil {
		return 0, err
	}
	return f.Repository.Commit(ctx, root.Revision, c)
}

// Kill ends a host at once, as the end of its process would.
func (f *Fleet) Kill(i int) {
	if h := f.take(i); h != nil {
		h.Kill()
	}
}

// Shutdown ends a host gracefully.
func (f *Fleet) Shutdown(ctx context.Context, i int) error {
	h := f.take(i)
	if h == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Grace)
	defer cancel()
	return h.Shutdown(ctx)
}

func (f *Fleet) take(i int) *daemon.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.hosts[i].daemon
	f.hosts[i].daemon = nil
	return taken
}

// ShutdownAll ends all hosts gracefully at the same time and returns the first
// failure.
func (f *Fleet) ShutdownAll(ctx context.Context) error {
	failures := make(chan error, len(f.hosts))
	for i := range f.hosts {
		go func() { failures <- f.Shutdown(ctx, i) }()
	}
	var first error
	for range f.hosts {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for i := range f.hosts {
		f.Kill(i)
	}
	f.Network.Close()
}
