package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fake/store"
	"peridotrail/internal/steering"
)

// blockCounts holds the numbers of client blocks to measure, in ascending order.
var blockCounts = []int{100_000, 400_000, 1_000_000, 2_300_000}

const lookupSeed = 1

// measureClientBlocks measures memory and load time per client block, and the
// bytes rewritten by a change and the time of a look-up at the largest count.
func measureClientBlocks() ([]Figure, error) {
	var memory, loadTimes, rewrittenBytes []measurement
	var lookupSeconds float64
	for _, count := range blockCounts {
		c := blockConfiguration(count)
		heapBefore := heapInUse()
		table := steering.NewTable(c.ClientBlocks)
		memory = append(memory, measurement{x: float64(count), y: heapInUse() - heapBefore})
		lookupSeconds = lookupTime(table, count)
		loadTime, changeBytes, err := measureBlockStorage(c)
		if err != nil {
			return nil, err
		}
		loadTimes = append(loadTimes, measurement{x: float64(count), y: loadTime.Seconds()})
		rewrittenBytes = append(rewrittenBytes, measurement{x: float64(count), y: changeBytes})
	}
	return []Figure{
		newFigure("look-up table memory", "bytes a block", memory),
		newFigure("load of the configuration", "seconds a block", loadTimes),
		{Name: "bytes rewritten by a change of one block", Unit: "bytes at 2.3 million blocks", Slope: rewrittenBytes[len(rewrittenBytes)-1].y, Measurements: rewrittenBytes},
		{Name: "look-up time", Unit: "seconds at 2.3 million blocks", Slope: lookupSeconds},
	}, nil
}

// blockConfiguration returns a configuration with the given number of client
// blocks, each with two of the failure domains.
func blockConfiguration(count int) *configuration.Configuration {
	c := fleetConfiguration(fleetSize{domains: designDomains, hosts: 1})
	c.ClientBlocks = make([]configuration.ClientBlock, count)
	for i := range c.ClientBlocks {
		n := uint32(i) << 8
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), 0}), 24)
		first := i / 5 % designDomains
		c.ClientBlocks[i] = configuration.ClientBlock{
			Prefix:  prefix,
			Domains: []string{domainName(first), domainName((first + 1 + i/50%(designDomains-1)) % designDomains)},
		}
	}
	return c
}

// lookupTime returns the mean time of a look-up in seconds.
func lookupTime(table *steering.Table, count int) float64 {
	random := rand.New(rand.NewPCG(lookupSeed, lookupSeed))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		n := random.Uint32N(uint32(count)) << 8
		addresses[i] = netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), 7})
	}
	result := testing.Benchmark(func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			table.Lookup(addresses[i%len(addresses)])
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N) / float64(time.Second)
}

// measureBlockStorage commits the configuration to a fake store and loads it. It
// returns the time of the load and the bytes written by a change of one client block.
func measureBlockStorage(c *configuration.Configuration) (time.Duration, float64, error) {
	ctx := context.Background()
	counting := &countingStore{Store: store.New()}
	repository := configuration.NewRepository(configuration.RepositoryConfig{Store: counting})
	revision, err := repository.Commit(ctx, 0, c)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if _, err := repository.Load(ctx); err != nil {
		return 0, 0, err
	}
	loadTime := time.Since(start)
	block := c.ClientBlocks[len(c.ClientBlocks)/2]
	c.ClientBlocks[len(c.ClientBlocks)/2].Domains = []string{block.Domains[1], block.Domains[0]}
	writtenBefore := counting.written.Load()
	if _, err := repository.Commit(ctx, revision, c); err != nil {
		return 0, 0, err
	}
	return loadTime, float64(counting.written.Load() - writtenBefore), nil
}
