package configuration

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// syntheticBlocks returns n distinct /24 blocks with varied lists of domains.
func syntheticBlocks(n int) *Configuration {
	c := &Configuration{Regions: []Region{{Name: "r"}}}
	var lists [][]string
	domains := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
	for i := range domains {
		c.FailureDomains = append(c.FailureDomains, FailureDomain{Name: domains[i], Region: "r"})
		for j := range domains {
			if i != j {
				lists = append(lists, []string{domains[i], domains[j]})
			}
		}
	}
	c.ClientBlocks = make([]ClientBlock, n)
	for i := range c.ClientBlocks {
		var octets [4]byte
		binary.BigEndian.PutUint32(octets[:], uint32(i)<<8)
		c.ClientBlocks[i] = ClientBlock{Prefix: netip.PrefixFrom(netip.AddrFrom4(octets), 24), Domains: lists[i/7%len(lists)]}
	}
	return c
}

func byDigest(chunks []Chunk) map[Digest][]byte {
	data := map[Digest][]byte{}
	for _, chunk := range chunks {
		data[chunk.Reference.Digest] = chunk.Data
	}
	return data
}

func assembleFrom(t testing.TB, chunks []Chunk) *Configuration {
	assembler := NewAssembler()
	for _, chunk := range chunks {
		require.NoError(t, assembler.Add(chunk.Reference, chunk.Data))
	}
	c, err := assembler.Assemble(references(chunks))
	require.NoError(t, err)
	return c
}

func TestEncodeAssembleRoundTrip(t *testing.T) {
	c := syntheticBlocks(20_000)
	c.ClientBlocks = append(c.ClientBlocks, ClientBlock{Prefix: netip.MustParsePrefix("2001:db8::/32"), Domains: []string{"k", "a"}})
	c.ClientAccounts = []ClientAccount{{Name: "x", Rate: 1.5, Burst: 3, Keys: []Key{{ID: "k", Digest: digestA}}}}
	chunks, err := Encode(c)
	require.NoError(t, err)
	require.Greater(t, len(chunks), 4)
	got := assembleFrom(t, chunks)
	require.Equal(t, c.ClientBlocks, slices.Collect(got.Blocks()))
	require.Equal(t, c.ClientAccounts, got.ClientAccounts)
	require.Equal(t, c.FailureDomains, got.FailureDomains)
	require.Equal(t, DigestOf(c), DigestOf(got))
}

func TestOneBlockChangesOneChunk(t *testing.T) {
	c := syntheticBlocks(100_000)
	before, err := Encode(c)
	require.NoError(t, err)
	c.ClientBlocks[50_000].Domains = []string{"k", "a", "b"}
	after, err := Encode(c)
	require.NoError(t, err)
	require.Equal(t, 1, countNew(before, after))
	c.ClientBlocks = append(c.ClientBlocks[:30_000], c.ClientBlocks[30_001:]...)
	removed, err := Encode(c)
	require.NoError(t, err)
	require.LessOrEqual(t, countNew(after, removed), 1)
}

func countNew(before, after []Chunk) int {
	known := byDigest(before)
	count := 0
	for _, chunk := range after {
		if known[chunk.Reference.Digest] == nil {
			count++
		}
	}
	return count
}

func TestAssemblerRefusesDamage(t *testing.T) {
	chunks, err := Encode(syntheticBlocks(10))
	require.NoError(t, err)
	assembler := NewAssembler()
	var failure *ChunkError
	_, err = assembler.Assemble(references(chunks))
	require.ErrorAs(t, err, &failure)
	require.Equal(t, ChunkMissing, failure.Reason)
	require.ErrorAs(t, assembler.Add(chunks[0].Reference, []byte("x")), &failure)
	require.Equal(t, ChunkCorrupt, failure.Reason)
	for _, kind := range []ChunkKind{ChunkObjects, ChunkBlocks, 9} {
		garbled := newChunk(kind, []byte("{"))
		require.ErrorAs(t, assembler.Add(garbled.Reference, garbled.Data), &failure)
		require.Equal(t, ChunkGarbled, failure.Reason)
	}
	require.Len(t, assembler.Missing(references(chunks)), len(chunks))
}
