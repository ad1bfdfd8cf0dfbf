package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommittedPageIsUpToDate(t *testing.T) {
	source, err := os.ReadFile("../model.go")
	require.NoError(t, err)
	want, err := Generate(source)
	require.NoError(t, err)
	got, err := os.ReadFile("../../../docs/operators/configuration.md")
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), `run "go generate ./internal/configuration"`)
}

func TestGenerateReadsTagsAndComments(t *testing.T) {
	source := []byte("package m\n// Configuration.\ntype Configuration struct {\n\tThings []Thing `json:\"things\"`\n}\n// Thing is a thing.\ntype Thing struct {\n\tA int `json:\"a,omitempty\"` // first | last\n\tb int\n}\n")
	page, err := Generate(source)
	require.NoError(t, err)
	require.Contains(t, string(page), "## things\n\nThing is a thing.\n")
	require.Contains(t, string(page), "| `a` | whole number | no | first \\| last |\n")
	require.NotContains(t, string(page), "`b`")
}
