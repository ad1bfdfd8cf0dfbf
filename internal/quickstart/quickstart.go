// Package quickstart runs a complete fleet in one process on loopback: a fake store,
// fake upstreams and one entry host for each failure domain.
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
	fake "peridotrail/internal/fake/upstream"
	"peridotrail/internal/localfleet"
)

const (
	upstreamServiceTime = 20 * time.Millisecond
	upstreamQueueLength = 16
	entryPortOffset     = 100 // from the base port to the first host's entry port
	adminPortOffset     = 400 // from the base port to the first host's admin port
	readyTimeout        = 30 * time.Second
	shutdownGrace       = 10 * time.Second
	shutdownNotice      = 500 * time.Millisecond
)

// Options configures Run.
type Options struct {
	Out      io.Writer
	Logger   log.Logger
	Folder   string // configuration folder
	BasePort uint16 // port of the store; the hosts' ports are at fixed offsets
}

// Fleet is a running quick start.
type Fleet struct {
	options       Options
	storeServer   *http.Server
	storeEndpoint string
	upstreams     []*fake.Upstream
	hosts         *localfleet.Fleet
}

// Run starts the fleet, prints commands to try, and stops the fleet gracefully when
// ctx ends.
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

// Start starts the fleet and returns when all hosts are ready.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	c, err := configuration.LoadFolder(os.DirFS(options.Folder))
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: options}
	if err := f.start(ctx, c); err != nil {
		_ = f.Stop() // the error of start is the one to report
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, c *configuration.Configuration) error {
	if err := f.startUpstreams(c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var err error
	if f.hosts, err = f.startHosts(ctx, c); err != nil {
		return err
	}
	if err := f.startStore(); err != nil {
		return err
	}
	return f.hosts.WaitReady(ctx)
}

func (f *Fleet) startHosts(ctx context.Context, c *configuration.Configuration) (*localfleet.Fleet, error) {
	var domains []string
	for _, domain := range c.FailureDomains {
		domains = append(domains, domain.Name)
	}
	return localfleet.Start(ctx, localfleet.Options{
		Configuration: c,
		Domains:       domains,
		Notice:        shutdownNotice,
		Grace:         shutdownGrace,
		Logger:        f.options.Logger,
		Port: func(i int) (entry, admin uint16) {
			return f.options.BasePort + entryPortOffset + uint16(i), f.options.BasePort + adminPortOffset + uint16(i)
		},
	})
}

func (f *Fleet) startStore() error {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), f.options.BasePort)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	f.storeEndpoint = "http://" + listener.Addr().String()
	f.storeServer = &http.Server{Handler: f.hosts.Store}
	go func() { _ = f.storeServer.Serve(listener) }() // returns when it is closed
	return nil
}

func (f *Fleet) startUpstreams(c *configuration.Configuration) error {
	for _, u := range c.Upstreams {
		listener, err := net.Listen("tcp", u.Address.String())
		if err != nil {
			return err
		}
		upstream := fake.New(fake.Settings{Name: u.Name, Slots: u.Slots, Queue: upstreamQueueLength, ServiceTime: upstreamServiceTime})
		f.upstreams = append(f.upstreams, upstream)
		go func() { _ = upstream.Serve(listener) }() // returns when it is closed
	}
	return nil
}

// Stop shuts all hosts down gracefully, then closes the fake upstreams and the fake
// store. It returns the first error of the hosts.
func (f *Fleet) Stop() error {
	var first error
	if f.hosts != nil {
		first = f.hosts.ShutdownAll(context.Background())
		f.hosts.Close()
	}
	for _, u := range f.upstreams {
		_ = u.Close() // a fake has nothing to flush
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close() // a fake has nothing to flush
	}
	return first
}
