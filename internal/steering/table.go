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
	prefixes bart.Table[uint32]
	lists    [][]string // distinct lists of failure domains, nearest first
}

// Block is the result of a look-up in a Table.
type Block struct {
	Prefix  netip.Prefix
	Domains []string // failure domains, nearest first; must not be modified
}

// NewTable builds the table of the given client blocks.
func NewTable(blocks []configuration.ClientBlock) *Table {
	return NewTableOf(slices.Values(blocks))
}

// NewTableOf builds the table of client blocks that are not held as a slice,
// such as those of configuration.Configuration.Blocks.
func NewTableOf(blocks iter.Seq[configuration.ClientBlock]) *Table {
	table := &Table{}
	index := map[string]uint32{}
	for block := range blocks {
		key := listKey(block.Domains)
		position, known := index[key]
		if !known {
			position = uint32(len(table.lists))
			index[key] = position
			table.lists = append(table.lists, slices.Clone(block.Domains))
		}
		table.prefixes.Insert(block.Prefix.Masked(), position)
	}
	return table
}

func listKey(domains []string) string {
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
	position, ok := t.prefixes.Lookup(address.Unmap())
	if !ok {
		return nil, false
	}
	return t.lists[position], true
}

// Find returns the whole client block that covers address.
func (t *Table) Find(address netip.Addr) (Block, bool) {
	address = address.Unmap()
	prefix, position, ok := t.prefixes.LookupPrefixLPM(netip.PrefixFrom(address, address.BitLen()))
	if !ok {
		return Block{}, false
	}
	return Block{Prefix: prefix, Domains: t.lists[position]}, true
}
