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

// blockCounts are the numbers of client blocks that are measured.
var blockCounts = []int{100_000, 400_000, 1_000_000, 2_300_000}

const tableSeed = 1

// measureTables measures the table of client blocks: memory and time a block,
// and a look-up at the largest size.
func measureTables() ([]Figure, error) {
	var memory, assembly, rewritten []point
	var lookup float64
	for _, count := range blockCounts {
		c := blockConfiguration(count)
		base := heapInUse()
		table := steering.NewTable(c.ClientBlocks)
		memory = append(memory, point{x: float64(count), y: heapInUse() - base})
		lookup = lookupTime(table, count)
		loaded, changed, err := storeBlocks(c)
		if err != nil {
			return nil, err
		}
		assembly = append(assembly, point{x: float64(count), y: loaded.Seconds()})
		rewritten = append(rewritten, point{x: float64(count), y: changed})
	}
	return []Figure{
		newFigure("look-up table memory", "bytes a block", memory),
		newFigure("load of the configuration", "seconds a block", assembly),
		{Name: "bytes rewritten by a change of one block", Unit: "bytes at 2.3 million blocks", Slope: rewritten[len(rewritten)-1].y, Points: rewritten},
		{Name: "look-up time", Unit: "seconds at 2.3 million blocks", Slope: lookup},
	}, nil
}

func blockConfiguration(count int) *configuration.Configuration {
	c := fleetConfiguration(size{domains: designDomains, hosts: 1})
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

func lookupTime(table *steering.Table, count int) float64 {
	random := rand.New(rand.NewPCG(tableSeed, tableSeed))
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

// storeBlocks commits the configuration, loads it, and returns the time of the
// load and the bytes that a change of one block writes.
func storeBlocks(c *configuration.Configuration) (time.Duration, float64, error) {
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
	loaded := time.Since(start)
	changed := c.ClientBlocks[len(c.ClientBlocks)/2]
	c.ClientBlocks[len(c.ClientBlocks)/2].Domains = []string{changed.Domains[1], changed.Domains[0]}
	before := counting.written.Load()
	if _, err := repository.Commit(ctx, revision, c); err != nil {
		return 0, 0, err
	}
	return loaded, float64(counting.written.Load() - before), nil
}
