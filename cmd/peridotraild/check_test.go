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
		wantError  string // part of the error; empty: no error
		wantCode   int
	}{
		{"the platform's format", string(valid), []string{"--platform"}, "", 0},
		{"the platform's format without fields", "{}", []string{"--platform"}, "no value", exitInvalidSettings},
		{"the platform's format without the flag", string(valid), nil, "unknown", exitInvalidSettings},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			require.NoError(t, os.WriteFile(path, []byte(test.text), 0o600))
			err := newCommand().Run(t.Context(), append(append([]string{"peridotraild", "check"}, test.args...), path))
			if test.wantError == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.wantError)
			require.Equal(t, test.wantCode, exitCode(err))
		})
	}
}

func TestCheckWithoutFile(t *testing.T) {
	require.Error(t, newCommand().Run(t.Context(), []string{"peridotraild", "check"}))
}
