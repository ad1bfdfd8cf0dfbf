// Package knownfailure passes over tests that KNOWN-RED.txt lists.
package knownfailure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	listName = "KNOWN-RED.txt"
	// Variable makes listed tests run all the same if it is set.
	Variable = "KNOWN_RED"
)

// PassOver skips the test if KNOWN-RED.txt at the root of the module lists it.
func PassOver(t *testing.T) {
	t.Helper()
	list, err := os.ReadFile(filepath.Join(root(t), listName))
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(Variable) == "" && strings.Contains(string(list), t.Name()) {
		t.Skipf("listed in %s; set %s=run to run it", listName, Variable)
	}
}

// root returns the folder that holds go.mod.
func root(t *testing.T) string {
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
