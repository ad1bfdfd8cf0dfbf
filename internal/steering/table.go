// Package steering decides which entry hosts a caller should use. It finds the
// caller's client block, orders the hosts by distance and applies drains and
// shifts.
package steering

import (
	"iter"
	"net/netip"
	"slices"

	"peridotrail/internal/configuration"

	"github.com/gaissmai/bart"
)

// Table finds the client block of an address by longest prefix match. It is
// immutable and safe for concurrent use.
type Table struct {
	prefixes    bart.Table[uint32]
	domainLists [][]string // distinct lists of failure domains, nearest first
}

// Block is the result of a look-up in a Table.
type Block struct {
	Prefix  netip.Prefix
	Domains []string // failure domains, nearest first; must not be modified
}

// NewTable builds the table of the given client blocks.
func NewTable(blocks []configuration.ClientBlock) *Table {
	return NewTableFromSeq(slices.Values(blocks))
}

// NewTableFromSeq builds the table from an iterator over client blocks, such as
// configuration.Configuration.Blocks.
func NewTableFromSeq(blocks iter.Seq[configuration.ClientBlock]) *Table {
	table := &Table{}
	listIndexes := map[string]uint32{}
	for block := range blocks {
		key := domainListKey(block.Domains)
		index, known := listIndexes[key]
		if !known {
			index = uint32(len(table.domainLists))
			listIndexes[key] = index
			table.domainLists = append(table.domainLists, slices.Clone(block.Domains))
		}
		table.prefixes.Insert(block.Prefix.Masked(), index)
	}
	return table
}

// domainListKey returns a map key that identifies a list of failure domains.
func domainListKey(domains []string) string {
	size := 0
	for _, domain := range domains {
		size += len(domain) + 1
	}
	key := make([]byte, 0, size)
	for _, domain := range domains {
		key = append(key, domain...)
		key = append(key, 0)
	}
	return string(key)
}

// Lookup returns the failure domains for address, nearest first, and whether a
// client block covers it.
func (t *Table) Lookup(address netip.Addr) ([]string, bool) {
	index, ok := t.prefixes.Lookup(address.Unmap())
	if !ok {
		return nil, false
	}
	return t.domainLists[index], true
}

// Find returns the longest client block that covers address.
func (t *Table) Find(address netip.Addr) (Block, bool) {
	address = address.Unmap()
	prefix, index, ok := t.prefixes.LookupPrefixLPM(netip.PrefixFrom(address, address.BitLen()))
	if !ok {
		return Block{}, false
	}
	return Block{Prefix: prefix, Domains: t.domainLists[index]}, true
}
