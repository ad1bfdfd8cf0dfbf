package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	valid, err := os.ReadFile("../../platform/testdata/settings.json")
	require.NoError(t, err)
	tests := []struct {
		name, text string
		args       []string
		says       string // empty: no error
		code       int
	}{
		{"the platform's format", string(valid), []string{"--platform"}, "", 0},
		{"a field of the platform's format", "{}", []string{"--platform"}, "no value", exitSettings},
		{"the platform's format as our own", string(valid), nil, "unknown", exitSettings},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			require.NoError(t, os.WriteFile(path, []byte(test.text), 0o600))
			err := command().Run(t.Context(), append(append([]string{"peridotraild", "check"}, test.args...), path))
			if test.says == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.says)
			require.Equal(t, test.code, exitCode(err))
		})
	}
}

func TestCheckWithoutFile(t *testing.T) {
	require.Error(t, command().Run(t.Context(), []string{"peridotraild", "check"}))
}
