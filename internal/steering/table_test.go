package steering

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"peridotrail/internal/configuration"

	"github.com/stretchr/testify/require"
)

func TestTableFindsTheLongestPrefix(t *testing.T) {
	table := NewTable([]configuration.ClientBlock{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Domains: []string{"toronto"}},
		{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Domains: []string{"detroit", "lansing"}},
		{Prefix: netip.MustParsePrefix("2001:db8::/32"), Domains: []string{"cleveland"}},
	})
	for _, c := range []struct {
		address string
		domains []string
	}{
		{"10.2.3.4", []string{"toronto"}},
		{"10.1.3.4", []string{"detroit", "lansing"}},
		{"::ffff:10.1.3.4", []string{"detroit", "lansing"}},
		{"2001:db8::1", []string{"cleveland"}},
		{"192.0.2.1", nil},
	} {
		domains, ok := table.Lookup(netip.MustParseAddr(c.address))
		require.Equal(t, c.domains != nil, ok, c.address)
		require.Equal(t, c.domains, domains, c.address)
	}
}

func TestTableLookupDoesNotAllocate(t *testing.T) {
	table := NewTable(makeBlocks(1000))
	address := netip.MustParseAddr("1.0.3.4")
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Lookup(address) }))
}

// makeBlocks returns n distinct blocks of mixed prefix lengths.
func makeBlocks(n int) []configuration.ClientBlock {
	lists := [][]string{{"a", "b"}, {"b", "c"}, {"c", "a"}}
	blocks := make([]configuration.ClientBlock, n)
	for i := range blocks {
		var raw [4]byte
		binary.BigEndian.PutUint32(raw[:], 1<<24+uint32(i)<<10)
		bits := 22 + i%3
		blocks[i].Prefix = netip.PrefixFrom(netip.AddrFrom4(raw), bits)
		blocks[i].Domains = lists[i%len(lists)]
	}
	return blocks
}

const benchmarkBlocks = 2_300_000

// scatteredBlocks returns n distinct random blocks of /16 to /24.
func scatteredBlocks(n int) []configuration.ClientBlock {
	random := rand.New(rand.NewPCG(1, 2))
	blocks := makeBlocks(n)
	seen := make(map[netip.Prefix]bool, n)
	for i := range blocks {
		prefix := netip.Prefix{}
		for !prefix.IsValid() || seen[prefix] {
			var raw [4]byte
			binary.BigEndian.PutUint32(raw[:], random.Uint32())
			prefix = netip.PrefixFrom(netip.AddrFrom4(raw), 24-min(8, int(random.ExpFloat64()))).Masked()
		}
		seen[prefix] = true
		blocks[i].Prefix = prefix
	}
	return blocks
}

func BenchmarkTableLookup(b *testing.B) {
	b.Run("dense", func(b *testing.B) { benchmarkTable(b, makeBlocks(benchmarkBlocks)) })
	b.Run("scattered", func(b *testing.B) { benchmarkTable(b, scatteredBlocks(benchmarkBlocks)) })
}

func benchmarkTable(b *testing.B, blocks []configuration.ClientBlock) {
	before := heapInUse()
	table := NewTable(blocks)
	size := heapInUse() - before
	addresses := make([]netip.Addr, 4096)
	for i := range addresses {
		addresses[i] = blocks[(i*7919*31)%len(blocks)].Prefix.Addr()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		table.Lookup(addresses[i%len(addresses)])
	}
	b.ReportMetric(float64(size)/1e6, "MB")
	runtime.KeepAlive(blocks)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
