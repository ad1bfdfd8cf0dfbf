package configuration

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// FuzzLoadFolder checks that a folder of two files is either rejected with issues that
// give file and line, or is unchanged after it was encoded into chunks and assembled.
func FuzzLoadFolder(f *testing.F) {
	f.Add(`{"regions": [{"name": "r"}]}`, `{"failureDomains": [{"name": "d", "region": "r"}], }`)
	f.Add(`{"clientAccounts": [{"name": "a", "rate": 1e-9, "burst": 1, "keys": [{"id": "k", "digest": "`+digestA+`"}]}]}`, `{"withdrawnKeys": [{"account": "a", "key": "k"}]}`)
	f.Add(`{"regions": [{"name": "r"}], "failureDomains": [{"name": "d", "region": "r"}]}`, `{"clientBlocks": [{"prefix": "::/0", "domains": ["d"]}, {"prefix": "0.0.0.0/0", "domains": ["d"]}]}`)
	f.Add(`{"services": [{"name": "s", "maxDeadline": "1s"}]}`, `{"routes": [{"service": "s", "prefix": "/a//b"}, {"service": "s", "prefix": "/%2f", "idempotent": false}]}`)
	f.Add(`{"drains": [{"name": "d", "kind": "host", "target": "h", "start": "2026-12-03T00:00:00+14:00"}]}`, `// nothing`)
	f.Add(`{"regions": [{"name": "\ud800"}]}`, "{\"regions\": [null, [], {}, \"\", -0, 1e400]}")
	f.Fuzz(func(t *testing.T, first, second string) {
		c, err := LoadFolder(folder("10.jsonc", first, "20.json", second))
		if err != nil {
			requireIssuesWithLocations(t, err)
			return
		}
		require.NoError(t, Validate(c))
		chunks, err := Encode(c)
		require.NoError(t, err)
		assembled := assembleFrom(t, chunks)
		require.True(t, Compare(c, assembled).Empty(), "%v", Compare(c, assembled))
		require.Equal(t, DigestOf(c), DigestOf(assembled))
		snapshot := NewSnapshot(1, assembled)
		for _, key := range assembled.allKeys() {
			digest, ok := parseKeyDigest(key.Digest)
			require.True(t, ok)
			account, id, owned := snapshot.KeyOwner(digest)
			require.NotEqual(t, owned, snapshot.KeyWithdrawn(digest))
			if owned {
				require.Equal(t, key, GrantedKey{Account: account, ID: id, Digest: key.Digest})
			}
		}
	})
}

func requireIssuesWithLocations(t *testing.T, err error) {
	var failure *InvalidError
	require.True(t, errors.As(err, &failure), "%v", err)
	require.NotEmpty(t, failure.Issues)
	for _, issue := range failure.Issues {
		require.NotEmpty(t, issue.File)
		require.Positive(t, issue.Line)
		require.NotEmpty(t, issue.Code)
		require.NotEmpty(t, issue.Detail)
	}
}

// FuzzChunk checks that decoding arbitrary data as a chunk or manifest does not panic,
// and that all client blocks of an accepted chunk are valid.
func FuzzChunk(f *testing.F) {
	chunks, err := Encode(syntheticBlocks(10))
	if err != nil {
		f.Fatal(err)
	}
	for _, chunk := range chunks.All() {
		f.Add(chunk.Data)
	}
	manifest, err := manifestOf(chunks).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(manifest)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = DecodeManifest(data)
		for _, kind := range []ChunkKind{ChunkObjects, ChunkBlocks, ChunkIndex} {
			assembler := NewAssembler()
			ref := newChunk(kind, data).Reference
			if assembler.Add(ref, data) != nil {
				continue
			}
			c, err := assembler.assemble([]ChunkReference{ref})
			if kind == ChunkIndex {
				require.Error(t, err, "an index chunk is not a content chunk")
				continue
			}
			require.NoError(t, err)
			for block := range c.Blocks() {
				require.True(t, block.Prefix.IsValid())
			}
		}
	})
}
