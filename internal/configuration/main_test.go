package configuration

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for randomised tests, unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
