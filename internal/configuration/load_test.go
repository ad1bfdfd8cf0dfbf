package configuration

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
)

const (
	digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// folder returns a file system with the given files; pairs alternates names and
// contents.
func folder(pairs ...string) fstest.MapFS {
	files := fstest.MapFS{}
	for i := 0; i < len(pairs); i += 2 {
		files[pairs[i]] = &fstest.MapFile{Data: []byte(pairs[i+1])}
	}
	return files
}

func TestLoadFolderMergesInOrderOfNames(t *testing.T) {
	c, err := LoadFolder(folder(
		"20-b.jsonc", `{"clientAccounts": [{"name": "second", "rate": 1, "burst": 1}]}`,
		"10-a.json", `{"clientAccounts": [{"name": "first", "rate": 1, "burst": 1, "keys": [{"id": "k", "digest": "`+digestA+`"}]}]}`,
		"15-w.jsonc", `{"withdrawnKeys": [{"account": "first", "key": "k"}]}`,
		"16-g.jsonc", `{"grantedKeys": [{"account": "second", "id": "k", "digest": "`+digestB+`"}]}`,
		".hidden.json", `not read`,
		"notes.txt", `not read`,
		"sub/30.json", `not read`,
	))
	require.NoError(t, err)
	require.Equal(t, "first", c.ClientAccounts[0].Name)
	require.Equal(t, "second", c.ClientAccounts[1].Name)

	s := NewSnapshot(1, c)
	digest, _ := parseKeyDigest(digestA)
	_, _, ok := s.KeyOwner(digest)
	require.False(t, ok, "a withdrawal overrides the grant")
	require.True(t, s.KeyWithdrawn(digest))
	digest, _ = parseKeyDigest(digestB)
	account, id, ok := s.KeyOwner(digest)
	require.Equal(t, []any{"second", "k", true}, []any{account, id, ok}, "a key may be granted in a different file than its account")
}

func TestLoadFolderReportsEveryIssue(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	tests := []struct {
		name string
		file string
		want []Issue // Detail is not compared
	}{
		{"syntax", "{\n  \"regions\": [}\n", []Issue{{Line: 2, Code: CodeSyntax}}},
		{"not an object", "[]", []Issue{{Line: 1, Code: CodeType}}},
		{"unknown collection", `{"zones": []}`, []Issue{{Line: 1, Field: "zones", Code: CodeUnknownField}}},
		{"collection twice", `{"regions": [], "regions": []}`, []Issue{{Line: 1, Field: "regions", Code: CodeDuplicate}}},
		{"several at once", "{\"regions\": [\n{\"name\": \"a\", \"colour\": 1},\n{\"name\": 7},\n{\"name\": \"a\"},\n{\"name\": \"" + long + "\"}]}", []Issue{
			{Line: 2, Field: "regions[0].colour", Code: CodeUnknownField},
			{Line: 3, Field: "regions[1].name", Code: CodeType},
			{Line: 4, Field: "regions[2].name", Code: CodeDuplicate},
			{Line: 5, Field: "regions[3].name", Code: CodeTooLong},
		}},
		{"null", `{"regions": [null]}`, []Issue{{Line: 1, Field: "regions[0]", Code: CodeType}, {Line: 1, Field: "regions[0].name", Code: CodeMissing}}},
		{"account numbers", `{"clientAccounts": [
			{"name": "a", "rate": -1, "burst": 0, "weight": -2},
			{"name": "b", "rate": 1e999, "burst": 1.5}]}`, []Issue{
			{Line: 3, Field: "clientAccounts[1].rate", Code: CodeType},
			{Line: 3, Field: "clientAccounts[1].burst", Code: CodeType},
			{Line: 2, Field: "clientAccounts[0].rate", Code: CodeRange},
			{Line: 2, Field: "clientAccounts[0].burst", Code: CodeRange},
			{Line: 2, Field: "clientAccounts[0].weight", Code: CodeRange},
		}},
		{"keys", `{"clientAccounts": [
			{"name": "a", "rate": 1, "burst": 1, "keys": [{"id": "k", "digest": "` + digestA + `"}, {"id": "k", "digest": "` + digestB + `"}]},
			{"name": "b", "rate": 1, "burst": 1, "keys": [
				{"id": "k", "digest": "` + digestA + `"},
				{"id": "m", "digest": "ABC"}]}],
			"grantedKeys": [{"account": "a", "id": "k", "digest": "` + digestB + `"}, {"account": "z", "id": "n", "digest": ""}],
			"withdrawnKeys": [{"account": "a", "key": "other"}, {"account": "z", "key": "k"}]}`, []Issue{
			{Line: 2, Field: "clientAccounts[0].keys[1].id", Code: CodeDuplicate},
			{Line: 4, Field: "clientAccounts[1].keys[0].digest", Code: CodeDuplicate},
			{Line: 5, Field: "clientAccounts[1].keys[1].digest", Code: CodeFormat},
			{Line: 6, Field: "grantedKeys[0].id", Code: CodeDuplicate},
			{Line: 6, Field: "grantedKeys[0].digest", Code: CodeDuplicate},
			{Line: 6, Field: "grantedKeys[1].account", Code: CodeDangling},
			{Line: 6, Field: "grantedKeys[1].digest", Code: CodeFormat},
			{Line: 7, Field: "withdrawnKeys[0].key", Code: CodeDangling},
			{Line: 7, Field: "withdrawnKeys[1].account", Code: CodeDangling},
		}},
		{"dangling", `{"failureDomains": [{"name": "d", "region": "r"}],
			"upstreams": [{"name": "u", "service": "s", "failureDomain": "x", "address": "10.0.0.1:80", "slots": 0, "connections": 0}],
			"routes": [{"service": "s", "prefix": "a"}],
			"drains": [{"name": "n", "kind": "upstream", "target": "w"}]}`, []Issue{
			{Line: 1, Field: "failureDomains[0].region", Code: CodeDangling},
			{Line: 2, Field: "upstreams[0].service", Code: CodeDangling},
			{Line: 2, Field: "upstreams[0].failureDomain", Code: CodeDangling},
			{Line: 2, Field: "upstreams[0].slots", Code: CodeRange},
			{Line: 2, Field: "upstreams[0].connections", Code: CodeRange},
			{Line: 3, Field: "routes[0].service", Code: CodeDangling},
			{Line: 3, Field: "routes[0].prefix", Code: CodeFormat},
			{Line: 4, Field: "drains[0].target", Code: CodeDangling},
		}},
		{"services", `{"services": [{"name": "v1"}, {"name": "s", "maxDeadline": "-1s", "healthPath": "/a/../b"}, {"name": "t", "maxDeadline": "1s", "defaultDeadline": "2s"}, {"name": "u", "probeTime": 5}]}`, []Issue{
			{Line: 1, Field: "services[3].probeTime", Code: CodeType},
			{Line: 1, Field: "services[0].name", Code: CodeFormat},
			{Line: 1, Field: "services[1].maxDeadline", Code: CodeRange},
			{Line: 1, Field: "services[1].healthPath", Code: CodeFormat},
			{Line: 1, Field: "services[2].defaultDeadline", Code: CodeRange},
		}},
		{"client blocks", `{"regions": [{"name": "r"}], "failureDomains": [{"name": "d", "region": "r"}], "clientBlocks": [
			{"prefix": "10.0.0.0/8", "domains": ["d"]},
			{"prefix": "10.0.0.0/8", "domains": ["d", "d"]},
			{"prefix": "10.0.0.1/8", "domains": []},
			{"prefix": "::ffff:10.0.0.0/104", "domains": ["x"]},
			{"domains": ["d"]}]}`, []Issue{
			{Line: 3, Field: "clientBlocks[1].prefix", Code: CodeDuplicate},
			{Line: 3, Field: "clientBlocks[1].domains[1]", Code: CodeDuplicate},
			{Line: 4, Field: "clientBlocks[2].prefix", Code: CodeFormat},
			{Line: 4, Field: "clientBlocks[2].domains", Code: CodeMissing},
			{Line: 5, Field: "clientBlocks[3].prefix", Code: CodeFormat},
			{Line: 5, Field: "clientBlocks[3].domains[0]", Code: CodeDangling},
			{Line: 6, Field: "clientBlocks[4].prefix", Code: CodeMissing},
		}},
		{"shifts", `{"regions": [{"name": "r"}], "failureDomains": [{"name": "d", "region": "r"}, {"name": "e", "region": "r"}], "shifts": [
			{"name": "a", "from": "d", "to": "e", "share": 0.7, "cap": 1.5, "interval": "1m"},
			{"name": "b", "from": "d", "to": "e", "share": 0.4, "cap": 0.1, "interval": "1m"},
			{"name": "c", "from": "e", "to": "e", "share": 2, "cap": 0, "interval": "0s"}]}`, []Issue{
			{Line: 2, Field: "shifts[0].cap", Code: CodeCapacity},
			{Line: 3, Field: "shifts[1].share", Code: CodeCapacity},
			{Line: 4, Field: "shifts[2].to", Code: CodeRange},
			{Line: 4, Field: "shifts[2].share", Code: CodeCapacity},
			{Line: 4, Field: "shifts[2].cap", Code: CodeRange},
			{Line: 4, Field: "shifts[2].interval", Code: CodeRange},
		}},
		{"objectives", `{"objectives": [{"name": "o", "target": 1, "window": "1m"}]}`, []Issue{
			{Line: 1, Field: "objectives[0]", Code: CodeMissing},
			{Line: 1, Field: "objectives[0].target", Code: CodeRange},
			{Line: 1, Field: "objectives[0].window", Code: CodeRange},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := LoadFolder(folder("a.jsonc", test.file))
			var failure *InvalidError
			require.ErrorAs(t, err, &failure)
			got := make([]Issue, len(failure.Issues))
			for i, issue := range failure.Issues {
				require.NotEmpty(t, issue.Detail)
				require.Equal(t, "a.jsonc", issue.File)
				got[i] = Issue{Line: issue.Line, Field: issue.Field, Code: issue.Code}
			}
			require.Equal(t, test.want, got, "%v", err)
		})
	}
}

func TestLoadFolderNamesTheFileOfALaterDuplicate(t *testing.T) {
	_, err := LoadFolder(folder(
		"10.json", `{"regions": [{"name": "r"}]}`,
		"20.json", "{\n\"regions\": [{\"name\": \"r\"}], \"staleKeys\": {\"policy\": \"serve\"}}",
	))
	require.ErrorContains(t, err, `20.json:2: regions[0].name: "r" is already defined (duplicate)`)
}
