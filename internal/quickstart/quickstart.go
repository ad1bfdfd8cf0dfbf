// Package quickstart runs a whole fleet in one process on loopback: a store
// stand-in, upstream stand-ins and one entry host for each failure domain.
package quickstart

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/go-kit/log"

	"peridotrail/internal/configuration"
	"peridotrail/internal/daemon"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
	"peridotrail/internal/platform"
	"peridotrail/internal/platform/httpstore"
	"peridotrail/internal/settings"
	"peridotrail/internal/standin/store"
	standin "peridotrail/internal/standin/upstream"
)

const (
	serviceTime   = 20 * time.Millisecond
	upstreamQueue = 16
	storeOffset   = 0   // ports, counted from the base port
	entryOffset   = 100 // of the first host
	fleetOffset   = 200
	adminOffset   = 400
	readyTimeout  = 30 * time.Second
	readyPoll     = 50 * time.Millisecond
	shutdownGrace = 10 * time.Second
	notice        = 500 * time.Millisecond
)

// Options configures Run.
type Options struct {
	Out      io.Writer
	Logger   log.Logger
	Folder   string // configuration folder
	BasePort uint16 // first port of the store and the hosts
}

// NotReadyError reports a host that had no configuration in force in time.
type NotReadyError struct {
	Host host.ID
}

// Error implements error.
func (e *NotReadyError) Error() string { return fmt.Sprintf("host %s did not become ready", e.Host) }

// Fleet is a running quick start.
type Fleet struct {
	options   Options
	store     *store.Store
	http      *http.Server
	endpoint  string
	upstreams []*standin.Upstream
	hosts     []*daemon.Host
}

// Run starts the fleet, prints commands to try, and ends it gracefully when ctx
// ends.
func Run(ctx context.Context, options Options) error {
	f, err := Start(ctx, options)
	if err != nil {
		return err
	}
	f.printGuide()
	<-ctx.Done()
	fmt.Fprintln(options.Out, "shutting down")
	return f.Stop()
}

// Start starts the fleet and returns when all hosts serve.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	c, err := configuration.LoadFolder(os.DirFS(options.Folder))
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: options, store: store.New()}
	if err := f.start(ctx, c); err != nil {
		_ = f.Stop() // the first failure is the one to report
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, c *configuration.Configuration) error {
	if err := f.startStore(); err != nil {
		return err
	}
	if err := f.startUpstreams(c); err != nil {
		return err
	}
	repository := configuration.NewRepository(configuration.RepositoryConfig{Store: f.store})
	if _, err := repository.Commit(ctx, 0, c); err != nil {
		return err
	}
	if err := f.startHosts(c); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) address(offset, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), f.options.BasePort+uint16(offset+i))
}

func (f *Fleet) startStore() error {
	listener, err := net.Listen("tcp", f.address(storeOffset, 0).String())
	if err != nil {
		return err
	}
	f.endpoint = "http://" + listener.Addr().String()
	f.http = &http.Server{Handler: f.store}
	go func() { _ = f.http.Serve(listener) }() // ends with Close
	return nil
}

func (f *Fleet) startUpstreams(c *configuration.Configuration) error {
	for _, u := range c.Upstreams {
		listener, err := net.Listen("tcp", u.Address.String())
		if err != nil {
			return err
		}
		upstream := standin.New(standin.Settings{Name: u.Name, Slots: u.Slots, Queue: upstreamQueue, ServiceTime: serviceTime})
		f.upstreams = append(f.upstreams, upstream)
		go func() { _ = upstream.Serve(listener) }() // ends with Close
	}
	return nil
}

func (f *Fleet) startHosts(c *configuration.Configuration) error {
	authority, err := keys.Ephemeral()
	if err != nil {
		return err
	}
	var records []platform.HostRecord
	for i, domain := range c.FailureDomains {
		records = append(records, platform.HostRecord{
			Name: hostName(domain.Name), FailureDomain: domain.Name, FleetAddress: f.address(fleetOffset, i).String(),
		})
	}
	f.store.SetHosts(records)
	for i, domain := range c.FailureDomains {
		h, err := f.startHost(authority, i, domain)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

func hostName(domain string) string { return domain + "-1" }

func (f *Fleet) startHost(authority *keys.Authority, i int, domain configuration.FailureDomain) (*daemon.Host, error) {
	s := settings.Default()
	s.Host = settings.Host{ID: hostName(domain.Name), FailureDomain: domain.Name, Region: domain.Region}
	s.Entry.Listen = f.address(entryOffset, i)
	s.Fleet.Listen = f.address(fleetOffset, i)
	s.Admin.Listen = f.address(adminOffset, i)
	s.Platform.Endpoints = []string{f.endpoint}
	s.Shutdown.Notice = configuration.Duration(notice)
	material, err := authority.Material(keys.Name{Host: host.ID(s.Host.ID), FailureDomain: domain.Name})
	if err != nil {
		return nil, err
	}
	return daemon.Start(daemon.Options{
		Settings: s,
		Store:    httpstore.New(s.Platform.Endpoints, httpstore.WithCaller(s.Host.ID, domain.Name)),
		Keys:     keys.NewHolder(material),
		Logger:   f.options.Logger,
	})
}

func (f *Fleet) waitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTimeout)
	for _, h := range f.hosts {
		for !h.Ready() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(limit) {
				return &NotReadyError{Host: h.Self().ID}
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// Stop shuts all hosts down gracefully, then ends the stand-ins.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	failures := make(chan error, len(f.hosts))
	for _, h := range f.hosts {
		go func() { failures <- h.Shutdown(ctx) }()
	}
	var first error
	for range f.hosts {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	for _, u := range f.upstreams {
		_ = u.Close() // a stand-in
	}
	if f.http != nil {
		_ = f.http.Close() // a stand-in
	}
	return first
}
