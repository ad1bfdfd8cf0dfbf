// Package fixedseed runs the random tests of a package with a fixed seed.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// seedFlag is the flag of package rapid; zero draws a seed.
const seedFlag = "rapid.seed"

// Main is called by TestMain. A seed that was given on the command line stays, and
// files of failures are not written: the seed repeats them.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup(seedFlag).Value.String() == "0" {
		_ = flag.Set(seedFlag, "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
