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
	fake "peridotrail/internal/fake/upstream"
	"peridotrail/internal/localfleet"
)

const (
	serviceTime   = 20 * time.Millisecond
	upstreamQueue = 16
	entryOffset   = 100 // entry port of the first host, counted from the base port
	adminOffset   = 400 // admin port of the first host, counted from the base port
	readyTimeout  = 30 * time.Second
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

// Fleet is a running quick start.
type Fleet struct {
	options   Options
	http      *http.Server
	endpoint  string
	upstreams []*fake.Upstream
	hosts     *localfleet.Fleet
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
	f := &Fleet{options: options}
	if err := f.start(ctx, c); err != nil {
		_ = f.Stop() // the first failure is the one to report
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
		Notice:        notice,
		Grace:         shutdownGrace,
		Logger:        f.options.Logger,
		Port: func(i int) (entry, admin uint16) {
			return f.options.BasePort + entryOffset + uint16(i), f.options.BasePort + adminOffset + uint16(i)
		},
	})
}

func (f *Fleet) startStore() error {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), f.options.BasePort)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	f.endpoint = "http://" + listener.Addr().String()
	f.http = &http.Server{Handler: f.hosts.Store}
	go func() { _ = f.http.Serve(listener) }() // ends with Close
	return nil
}

func (f *Fleet) startUpstreams(c *configuration.Configuration) error {
	for _, u := range c.Upstreams {
		listener, err := net.Listen("tcp", u.Address.String())
		if err != nil {
			return err
		}
		upstream := fake.New(fake.Settings{Name: u.Name, Slots: u.Slots, Queue: upstreamQueue, ServiceTime: serviceTime})
		f.upstreams = append(f.upstreams, upstream)
		go func() { _ = upstream.Serve(listener) }() // ends with Close
	}
	return nil
}

// Stop shuts all hosts down gracefully, then ends the stand-ins.
func (f *Fleet) Stop() error {
	var first error
	if f.hosts != nil {
		first = f.hosts.ShutdownAll(context.Background())
		f.hosts.Close()
	}
	for _, u := range f.upstreams {
		_ = u.Close() // a stand-in
	}
	if f.http != nil {
		_ = f.http.Close() // a stand-in
	}
	return first
}
