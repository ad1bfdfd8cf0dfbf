// Package fixedseed runs the property-based tests of a package with a fixed seed.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// seedFlag is the seed flag of package rapid. With 0, rapid picks a random seed.
const seedFlag = "rapid.seed"

// Main runs the tests of a package; TestMain calls it. A seed from the command line
// takes precedence. Rapid's failure files are disabled, because the seed reproduces
// each failure.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup(seedFlag).Value.String() == "0" {
		_ = flag.Set(seedFlag, "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
