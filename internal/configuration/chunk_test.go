package configuration

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// syntheticBlocks returns a configuration with n distinct /24 blocks and varied lists
// of failure domains.
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

// manifestOf returns a manifest of the encoded configuration.
func manifestOf(e Encoded) *Manifest {
	index := references(e.Index)
	return &Manifest{Revision: 1, Digest: DigestOfChunks(index), Index: index}
}

func assembleFrom(t testing.TB, e Encoded) *Configuration {
	assembler, err := newAssemblerWith(e.All())
	require.NoError(t, err)
	s, err := assembler.Snapshot(manifestOf(e))
	require.NoError(t, err)
	return s.Configuration
}

func TestEncodeAssembleRoundTrip(t *testing.T) {
	c := syntheticBlocks(20_000)
	c.ClientBlocks = append(c.ClientBlocks, ClientBlock{Prefix: netip.MustParsePrefix("2001:db8::/32"), Domains: []string{"k", "a"}})
	c.ClientAccounts = []ClientAccount{{Name: "x", Rate: 1.5, Burst: 3, Keys: []Key{{ID: "k", Digest: digestA}}}}
	chunks, err := Encode(c)
	require.NoError(t, err)
	require.Greater(t, len(chunks.Content), 4)
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
	require.Equal(t, 2, countNew(before, after), "a content chunk and an index chunk")
	c.ClientBlocks = append(c.ClientBlocks[:30_000], c.ClientBlocks[30_001:]...)
	removed, err := Encode(c)
	require.NoError(t, err)
	require.LessOrEqual(t, countNew(after, removed), 2)
}

func countNew(before, after Encoded) int {
	existing := byDigest(before.All())
	count := 0
	for _, chunk := range after.All() {
		if existing[chunk.Reference.Digest] == nil {
			count++
		}
	}
	return count
}

func TestAssemblerRejectsInvalidChunks(t *testing.T) {
	encoded, err := Encode(syntheticBlocks(10))
	require.NoError(t, err)
	manifest := manifestOf(encoded)
	assembler := NewAssembler()
	var failure *ChunkError
	_, err = assembler.Snapshot(manifest)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, ChunkMissing, failure.Reason)
	require.ErrorAs(t, assembler.Add(encoded.Index[0].Reference, []byte("x")), &failure)
	require.Equal(t, ChunkCorrupt, failure.Reason)
	for _, kind := range []ChunkKind{ChunkObjects, ChunkBlocks, ChunkIndex, 9} {
		malformed := newChunk(kind, []byte("{"))
		require.ErrorAs(t, assembler.Add(malformed.Reference, malformed.Data), &failure)
		require.Equal(t, ChunkMalformed, failure.Reason)
	}
	nested, err := encodeIndex(references(encoded.Index))
	require.NoError(t, err)
	require.ErrorAs(t, assembler.Add(nested[0].Reference, nested[0].Data), &failure, "an index of indexes")
	require.Equal(t, references(encoded.Index), assembler.MissingChunks(manifest))
	for _, chunk := range encoded.Index {
		require.NoError(t, assembler.Add(chunk.Reference, chunk.Data))
	}
	require.Equal(t, references(encoded.Content), assembler.MissingChunks(manifest))
}

func TestSharesBlocks(t *testing.T) {
	c := syntheticBlocks(5_000)
	require.True(t, c.SharesBlocks(c))
	require.False(t, c.SharesBlocks(syntheticBlocks(5_000)), "equal blocks in different memory are not shared")

	before, err := Encode(c)
	require.NoError(t, err)
	assembled := assembleFrom(t, before)
	require.False(t, assembled.SharesBlocks(c))
	require.True(t, assembled.SharesBlocks(assembled))
}
