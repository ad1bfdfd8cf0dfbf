package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"peridotrail/internal/configuration"
	"peridotrail/internal/localfleet"
)

const (
	readyTimeout   = 30 * time.Second
	settleTime     = 3 * time.Second // in which the shares of the rates adapt to the first demand
	applyTimeout   = 5 * time.Second
	shutdownGrace  = 20 * time.Second
	shutdownNotice = lookupCacheTime // callers that cached a host leave it before it stops
)

// fleet is a fleet of peridotrail hosts.
type fleet struct {
	*localfleet.Fleet
	deployment *deployment
	logger     log.Logger
}

func newFleet(d *deployment, c *configuration.Configuration, logger log.Logger) (*fleet, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	started, err := localfleet.Start(ctx, localfleet.Options{
		Configuration: c, Domains: d.hosts, Delay: d.delay, Notice: shutdownNotice, Grace: shutdownGrace, Logger: logger,
	})
	if err != nil {
		return nil, err
	}
	if err := started.WaitReady(ctx); err != nil {
		started.Close()
		return nil, err
	}
	time.Sleep(settleTime)
	return &fleet{Fleet: started, deployment: d, logger: logger}, nil
}

// lookup sends the look-up to the hosts of the callers' nearest failure domain,
// then to the others, until one returns hosts.
func (f *fleet) lookup(ctx context.Context, group callerGroup, service string) []netip.AddrPort {
	client := f.deployment.clientAddress(group)
	for _, sameDomain := range []bool{true, false} {
		for i := range f.Len() {
			h := f.Host(i)
			if h == nil || (f.Domain(i) == group.domain) != sameDomain {
				continue
			}
			if hosts := lookupAt(ctx, h.Self().Entry, service, client); len(hosts) > 0 {
				return hosts
			}
		}
	}
	return nil
}

func (f *fleet) apply(c *configuration.Configuration) {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	_, err := f.Apply(ctx, c)
	f.log("apply", err)
}

func (f *fleet) kill(i int) { f.Kill(i) }

func (f *fleet) restart(i int) {
	f.log("shutdown", f.Shutdown(context.Background(), i))
	f.log("start", f.StartHost(i))
}

func (f *fleet) stop() { f.Close() }

// log logs the failure of an operation; a nil error logs nothing.
func (f *fleet) log(event string, err error) {
	if err != nil {
		_ = f.logger.Log("event", event+" failed", "err", err) // logs are best effort
	}
}
