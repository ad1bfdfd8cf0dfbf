package main

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"syscall"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/localfleet"
)

// fleetSize is the size of a fleet to measure.
type fleetSize struct {
	domains int
	hosts   int // in each failure domain
}

// fleetSizes varies the hosts per failure domain at a constant number of domains,
// then the number of domains at a constant number of hosts per domain.
var fleetSizes = []fleetSize{
	{domains: 2, hosts: 5}, {domains: 2, hosts: 10}, {domains: 2, hosts: 20}, {domains: 2, hosts: 40},
	{domains: 4, hosts: 5}, {domains: 8, hosts: 5}, {domains: 11, hosts: 5},
}

const (
	servicesPerFleet    = 4
	accountsPerFleet    = 8
	slotsPerUpstream    = 8
	readyTimeout        = 60 * time.Second
	applyCount          = 5
	applyInterval       = 300 * time.Millisecond
	inForcePollInterval = 5 * time.Millisecond
)

// sample holds the measured costs of one fleet. Bytes, reads and writes are per
// second.
type sample struct {
	fleetSize
	hostBytes   float64       // sent and received, median of the hosts that are not domain leaders
	leaderBytes float64       // sent and received, largest of all hosts
	cpuCores    float64       // processor cores, mean of all hosts
	heap        float64       // bytes, mean of all hosts
	storeReads  float64       // the whole fleet
	storeWrites float64       // the whole fleet
	inForce     time.Duration // from a commit until all hosts have the revision in force, longest
}

func measureFleets(ctx context.Context, settleTime, length time.Duration) ([]sample, error) {
	var samples []sample
	for _, s := range fleetSizes {
		fmt.Printf("measuring %d failure domains of %d hosts\n", s.domains, s.hosts)
		measured, err := measureFleet(ctx, s, settleTime, length)
		if err != nil {
			return nil, err
		}
		fmt.Printf("  host %.0f B/s, leader %.0f B/s, cpu %.3f%%, heap %.1f MB a host; store reads %.1f/s, writes %.1f/s; in force after %s\n",
			measured.hostBytes, measured.leaderBytes, 100*measured.cpuCores, measured.heap/1e6, measured.storeReads, measured.storeWrites, measured.inForce)
		samples = append(samples, measured)
	}
	return samples, nil
}

// measureFleet starts a fleet, waits for settleTime and measures its costs during
// length.
func measureFleet(ctx context.Context, s fleetSize, settleTime, length time.Duration) (sample, error) {
	result := sample{fleetSize: s}
	heapBefore := heapInUse()
	options := localfleet.Options{Configuration: fleetConfiguration(s), Grace: time.Second}
	for d := range s.domains {
		for range s.hosts {
			options.Domains = append(options.Domains, domainName(d))
		}
	}
	f, err := localfleet.Start(ctx, options)
	if err != nil {
		return result, err
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(readyCtx); err != nil {
		return result, err
	}
	time.Sleep(settleTime)
	before := readCounters(f)
	time.Sleep(length)
	after := readCounters(f)
	result.setRates(before, after, float64(f.Len()))
	result.heap = (heapInUse() - heapBefore) / float64(f.Len())
	result.inForce, err = slowestApply(ctx, f, options.Configuration)
	return result, err
}

// counters holds the values of all counters at one time.
type counters struct {
	at     time.Time
	bytes  []float64 // sent and received, by host
	cpu    time.Duration
	reads  int64
	writes int64
}

func readCounters(f *localfleet.Fleet) counters {
	c := counters{at: time.Now(), cpu: processorTime()}
	for i := range f.Len() {
		traffic := f.Host(i).Traffic()
		c.bytes = append(c.bytes, float64(traffic.BytesSent+traffic.BytesReceived))
	}
	calls := f.Store.Calls()
	c.reads, c.writes = calls.Reads(), calls.Writes()
	return c
}

// setRates sets the costs that follow from the change of the counters. It takes
// the hosts with the highest traffic, one per domain, for the domain leaders.
func (s *sample) setRates(before, after counters, hosts float64) {
	seconds := after.at.Sub(before.at).Seconds()
	rates := make([]float64, len(after.bytes))
	for i := range rates {
		rates[i] = (after.bytes[i] - before.bytes[i]) / seconds
	}
	slices.Sort(rates)
	s.hostBytes = rates[(len(rates)-s.domains)/2]
	s.leaderBytes = rates[len(rates)-1]
	s.cpuCores = (after.cpu - before.cpu).Seconds() / seconds / hosts
	s.storeReads = float64(after.reads-before.reads) / seconds
	s.storeWrites = float64(after.writes-before.writes) / seconds
}

// slowestApply commits applyCount changes, one after another, and returns the
// longest time from a commit until all hosts had the revision in force.
func slowestApply(ctx context.Context, f *localfleet.Fleet, c *configuration.Configuration) (time.Duration, error) {
	slowest := time.Duration(0)
	for i := range applyCount {
		next := *c
		next.ClientAccounts = append([]configuration.ClientAccount(nil), c.ClientAccounts...)
		next.ClientAccounts[0].Weight = i + 2
		start := time.Now()
		revision, err := f.Apply(ctx, &next)
		if err != nil {
			return 0, err
		}
		for i := range f.Len() {
			for f.Host(i).Revision() < revision {
				time.Sleep(inForcePollInterval)
			}
		}
		slowest = max(slowest, time.Since(start))
		time.Sleep(applyInterval)
	}
	return slowest, nil
}

func domainName(d int) string { return fmt.Sprintf("domain-%02d", d) }

// fleetConfiguration returns a configuration with one upstream per service in
// each failure domain, at an address where nothing listens.
func fleetConfiguration(s fleetSize) *configuration.Configuration {
	c := &configuration.Configuration{Regions: []configuration.Region{{Name: "region"}}}
	for n := range servicesPerFleet {
		service := fmt.Sprintf("service-%d", n)
		c.Services = append(c.Services, configuration.Service{Name: service})
		c.Routes = append(c.Routes, configuration.Route{Service: service, Prefix: "/"})
	}
	for n := range accountsPerFleet {
		c.ClientAccounts = append(c.ClientAccounts, configuration.ClientAccount{Name: fmt.Sprintf("account-%d", n), Rate: 100, Burst: 50})
	}
	for d := range s.domains {
		name := domainName(d)
		c.FailureDomains = append(c.FailureDomains, configuration.FailureDomain{Name: name, Region: "region"})
		for n := range servicesPerFleet {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(1 + d), byte(1 + n)}), 9)
			c.Upstreams = append(c.Upstreams, configuration.Upstream{
				Name: fmt.Sprintf("%s-%d", name, n), Service: fmt.Sprintf("service-%d", n), FailureDomain: name,
				Address: address, Slots: slotsPerUpstream, Connections: 64,
			})
		}
	}
	return c
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of the heap and the stacks in use, after several
// garbage collections, so that garbage of earlier measurements is excluded.
func heapInUse() float64 {
	for range gcRuns {
		runtime.GC()
		time.Sleep(gcPause)
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

const (
	gcRuns  = 3
	gcPause = 300 * time.Millisecond
)
