// Package leasedshare divides limits among hosts so that their parts never add up to
// more than the limit, whatever each host knows about the others.
//
// A limit belongs to a group, such as the upstreams of a failure domain. Each group
// has SharesPerGroup shares. The store gives a share to at most one host at a time:
// a host claims it with a conditional write under the lease of its registration. A
// limit of n consists of n units, and unit i belongs to one of the shares, so the
// host that holds the share may use it and no other host may. The number of hosts
// decides only how many shares each host claims, never how much a share is worth.
//
// All types work without I/O and take the time from the caller.
package leasedshare

import (
	"math/bits"
	"strconv"
	"strings"
)

// SharesPerGroup is the number of shares of each group.
const SharesPerGroup = 16

// maxWrites is the largest number of writes in one transaction.
const maxWrites = 16

// Prefix is the prefix of the keys of shares in the store.
const Prefix = "shares/"

// Set is a set of shares of one group. Bit i stands for share i.
type Set uint16

// Count returns the number of shares in the set.
func (s Set) Count() int { return bits.OnesCount16(uint16(s)) }

// Units returns how many of the n units of a limit belong to the shares of the set.
// The units are dealt to the shares in turn, beginning with the share that start
// selects, so that the units of different limits are spread over the shares. The
// units of sets that have no share in common never add up to more than n.
func (s Set) Units(n int, start uint64) int {
	if n <= 0 {
		return 0
	}
	units := n / SharesPerGroup * s.Count()
	remainder := Set(1)<<(n%SharesPerGroup) - 1
	dealt := Set(bits.RotateLeft16(uint16(remainder), int(start%SharesPerGroup)))
	return units + (s & dealt).Count()
}

// share identifies one share.
type share struct {
	group string
	index int
}

// key returns the key of the share in the store.
func (s share) key() string { return Prefix + s.group + "/" + strconv.Itoa(s.index) }

// parseKey returns the share that a key is about. It reports false for other keys.
func parseKey(key string) (share, bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return share{}, false
	}
	slash := strings.LastIndexByte(rest, '/')
	if slash < 0 {
		return share{}, false
	}
	index, err := strconv.Atoi(rest[slash+1:])
	if err != nil || index < 0 || index >= SharesPerGroup {
		return share{}, false
	}
	return share{group: rest[:slash], index: index}, true
}
