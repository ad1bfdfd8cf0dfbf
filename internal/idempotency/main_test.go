package idempotency

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.steps":      "80",
		"rapid.checks":     modelChecks,
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "100ms",
	} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
