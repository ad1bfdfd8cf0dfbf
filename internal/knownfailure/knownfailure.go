// Package knownfailure skips tests whose failure is known.
package knownfailure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	listFile = "KNOWN-RED.txt"
	// RunEnvVar is the environment variable that, if set, makes listed tests run.
	RunEnvVar = "KNOWN_RED"
)

// SkipIfListed skips the test if KNOWN-RED.txt at the root of the module contains its
// name.
func SkipIfListed(t *testing.T) {
	t.Helper()
	list, err := os.ReadFile(filepath.Join(moduleRoot(t), listFile))
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(RunEnvVar) == "" && strings.Contains(string(list), t.Name()) {
		t.Skipf("listed in %s; set %s=run to run it", listFile, RunEnvVar)
	}
}

// moduleRoot returns the folder of go.mod, at or above the working directory.
func moduleRoot(t *testing.T) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			t.Fatal("no go.mod above the working directory")
		}
		folder = parent
	}
}
