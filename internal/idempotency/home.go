package idempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/configuration"
)

// Domains is what a host knows of the configured failure domains.
type Domains struct {
	Names    []string               // of all configured failure domains
	Revision configuration.Revision // of the configuration that lists them
	Fresh    bool                   // the revision was confirmed as current within MaxStaleness
}

// sameNames reports whether two lists hold the same names in any order.
func sameNames(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// home returns the failure domain that keeps a key, by rendezvous hashing.
func home(names []string, account, key string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		score := xxhash.Sum64String(name + "\x00" + account + "\x00" + key)
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}
