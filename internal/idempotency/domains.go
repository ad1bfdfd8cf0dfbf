package idempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/configuration"
)

// Domains is a host's view of the configured failure domains.
type Domains struct {
	Names    []string               // names of all configured failure domains
	Revision configuration.Revision // revision of the configuration that lists them; 0 before the first one
	Fresh    bool                   // whether the revision was confirmed as current within MaxStaleness
}

// sameNames reports whether two lists hold the same names in any order.
func sameNames(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// homeDomain returns the failure domain whose leader keeps a caller key. It is
// chosen by rendezvous hashing over names, and is empty if names is empty.
func homeDomain(names []string, account, key string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		score := xxhash.Sum64String(name + "\x00" + account + "\x00" + key)
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}
