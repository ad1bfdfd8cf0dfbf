package leasedshare

import "github.com/cespare/xxhash/v2"

// assign returns which of the hosts should hold each share of a group. It prefers
// hosts by rendezvous hashing, so that few shares move when a host joins or leaves,
// and gives no host more than its even part, rounded up. hosts must not be empty.
//
// Hosts that know different hosts may disagree. The assignment only says who should
// claim a share; the store decides who holds it.
func assign(group string, hosts []string) [SharesPerGroup]string {
	var holders [SharesPerGroup]string
	most := (SharesPerGroup + len(hosts) - 1) / len(hosts)
	counts := make(map[string]int, len(hosts))
	for index := range holders {
		key := share{group, index}.key()
		var best string
		var bestHash uint64
		for _, host := range hosts {
			if counts[host] == most {
				continue
			}
			if hash := xxhash.Sum64String(key + "\x00" + host); best == "" || hash < bestHash || hash == bestHash && host < best {
				best, bestHash = host, hash
			}
		}
		holders[index] = best
		counts[best]++
	}
	return holders
}
