package distribution

import (
	"encoding/binary"
	"net/netip"

	"peridotrail/internal/configuration"
)

// withBlocks returns a change that adds n client blocks.
func withBlocks(n int) func(*configuration.Configuration) {
	return func(c *configuration.Configuration) {
		c.FailureDomains = []configuration.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
		for i := range n {
			var octets [4]byte
			binary.BigEndian.PutUint32(octets[:], uint32(i)<<8)
			prefix := netip.PrefixFrom(netip.AddrFrom4(octets), 24)
			c.ClientBlocks = append(c.ClientBlocks, configuration.ClientBlock{Prefix: prefix, Domains: []string{"a", "b"}})
		}
	}
}
