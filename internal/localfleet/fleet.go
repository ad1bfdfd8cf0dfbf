// Package localfleet runs a fleet of entry hosts in one process on loopback, with a
// fake store and emulated links between failure domains.
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

const readyPollInterval = 20 * time.Millisecond

// Options configures a Fleet.
type Options struct {
	Configuration *configuration.Configuration // committed before the hosts start; nil commits none
	Domains       []string                     // failure domain of each host
	Regions       map[string]string            // region by failure domain; overrides those of Configuration
	Delay         network.DelayFunc            // one-way, between failure domains; nil means none
	Notice        time.Duration                // settings.Shutdown.Notice of each host
	Grace         time.Duration                // settings.Shutdown.Grace of each host
	Logger        log.Logger                   // nil logs nothing
	// Port returns the entry and admin ports of a host. Nil picks free ports.
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

	mu        sync.Mutex // guards the daemon of each instance
	instances []*instance
}

// instance is one host, whether or not it runs.
type instance struct {
	name         string
	domain       string
	fleetAddress netip.AddrPort
	port         *network.Port
	daemon       *daemon.Host
	// reservation holds the UDP port of fleetAddress until the host first starts.
	reservation *net.UDPConn
}

// NotReadyError reports a host that did not become ready in time.
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
	for i := range f.instances {
		if err := f.StartHost(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Prepare commits the configuration and registers all hosts with the store and the
// network, but starts none of them. See StartHost.
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
		if err := f.commitInitial(ctx, options.Configuration); err != nil {
			return nil, err
		}
	}
	maps.Copy(f.regions, options.Regions)
	return f, f.openPorts()
}

func (f *Fleet) commitInitial(ctx context.Context, c *configuration.Configuration) error {
	for _, domain := range c.FailureDomains {
		f.regions[domain.Name] = domain.Region
	}
	_, err := f.Repository.Commit(ctx, 0, c)
	return err
}

// openPorts opens the ports of all hosts and sets the store's list of hosts.
func (f *Fleet) openPorts() error {
	count := map[string]int{}
	var records []kvstore.HostRecord
	for _, domain := range f.options.Domains {
		count[domain]++
		inst := &instance{name: fmt.Sprintf("%s-%d", domain, count[domain]), domain: domain}
		f.instances = append(f.instances, inst)
		var err error
		if inst.reservation, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return err
		}
		inst.fleetAddress = inst.reservation.LocalAddr().(*net.UDPAddr).AddrPort()
		if inst.port, err = f.Network.Join(domain, inst.fleetAddress); err != nil {
			return err
		}
		records = append(records, kvstore.HostRecord{Name: inst.name, FailureDomain: domain, FleetAddress: inst.port.Address().String()})
	}
	f.Store.SetHosts(records)
	return nil
}

// StartHost starts a host that is not running.
func (f *Fleet) StartHost(i int) error {
	inst := f.instances[i]
	material, err := f.authority.Material(keys.Name{Host: host.ID(inst.name), FailureDomain: inst.domain})
	if err != nil {
		return err
	}
	_ = inst.reservation.Close() // already closed on a restart, which has no effect
	started, err := daemon.Start(daemon.Options{
		Settings: f.settings(i, inst),
		Store:    f.Store.Client(store.Caller{Host: inst.name, FailureDomain: inst.domain}),
		Keys:     keys.NewReplaceableSource(material),
		Logger:   f.options.Logger,
		Metrics:  metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	inst.daemon = started
	return nil
}

func (f *Fleet) settings(i int, inst *instance) settings.Settings {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	var entry, admin uint16
	if f.options.Port != nil {
		entry, admin = f.options.Port(i)
	}
	s := settings.Default()
	s.Host = settings.Host{ID: inst.name, FailureDomain: inst.domain, Region: f.regions[inst.domain]}
	s.Entry.Listen = netip.AddrPortFrom(loopback, entry)
	s.Admin.Listen = netip.AddrPortFrom(loopback, admin)
	s.Fleet.Listen = inst.fleetAddress
	s.Fleet.Advertise = inst.port.Address()
	s.Shutdown.Notice = configuration.Duration(f.options.Notice)
	s.Shutdown.Grace = configuration.Duration(f.options.Grace)
	return s
}

// Len returns the number of hosts, whether or not they run.
func (f *Fleet) Len() int { return len(f.instances) }

// Host returns a running host, or nil if it is not running.
func (f *Fleet) Host(i int) *daemon.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[i].daemon
}

// Domain returns the failure domain of a host.
func (f *Fleet) Domain(i int) string { return f.instances[i].domain }

// WaitReady waits until all running hosts are ready. It returns a *NotReadyError if
// ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for i, inst := range f.instances {
		for {
			h := f.Host(i)
			if h == nil || h.Ready() {
				break
			}
			select {
			case <-ctx.Done():
				return &NotReadyError{Host: inst.name, Err: ctx.Err()}
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Apply commits a configuration that replaces the current one.
func (f *Fleet) Apply(ctx context.Context, c *configuration.Configuration) (configuration.Revision, error) {
	root, _, err := f.Repository.Root(ctx)
	if err != nil {
		return 0, err
	}
	return f.Repository.Commit(ctx, root.Revision, c)
}

// Kill stops a host at once, as if its process were killed.
func (f *Fleet) Kill(i int) {
	if h := f.detachDaemon(i); h != nil {
		h.Kill()
	}
}

// Shutdown stops a host gracefully, within Options.Grace.
func (f *Fleet) Shutdown(ctx context.Context, i int) error {
	h := f.detachDaemon(i)
	if h == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Grace)
	defer cancel()
	return h.Shutdown(ctx)
}

// detachDaemon returns a host's daemon and marks the host as not running.
func (f *Fleet) detachDaemon(i int) *daemon.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	detached := f.instances[i].daemon
	f.instances[i].daemon = nil
	return detached
}

// ShutdownAll stops all hosts gracefully and concurrently, and returns the first
// error.
func (f *Fleet) ShutdownAll(ctx context.Context) error {
	failures := make(chan error, len(f.instances))
	for i := range f.instances {
		go func() { failures <- f.Shutdown(ctx, i) }()
	}
	var first error
	for range f.instances {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close kills all hosts and closes the network.
func (f *Fleet) Close() {
	for i := range f.instances {
		f.Kill(i)
	}
	f.Network.Close()
}
