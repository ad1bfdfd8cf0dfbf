package configuration

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"iter"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A record of a client block is its address, its prefix length and the index of
// its list of failure domains, big-endian.
const (
	v4AddressBytes  = 4
	v6AddressBytes  = 16
	recordTailBytes = 3
)

// BlockRunError reports client blocks that have no encoding or packed client
// blocks that break the format.
type BlockRunError struct {
	Field string
}

// Error implements error.
func (e *BlockRunError) Error() string {
	return fmt.Sprintf("client blocks: bad %s", e.Field)
}

func comparePrefixes(a, b netip.Prefix) int {
	if order := a.Addr().Compare(b.Addr()); order != 0 {
		return order
	}
	return cmp.Compare(a.Bits(), b.Bits())
}

// blockRun is the CBOR form of a run of client blocks.
type blockRun struct {
	Domains []string `cbor:"1,keyasint"`           // names of failure domains
	Lists   [][]byte `cbor:"2,keyasint"`           // each an order of indexes into Domains
	V4      []byte   `cbor:"3,keyasint,omitempty"` // records of IPv4 prefixes
	V6      []byte   `cbor:"4,keyasint,omitempty"` // records of IPv6 prefixes
}

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// blockEncoder packs one run of client blocks.
type blockEncoder struct {
	run     blockRun
	domains map[string]byte
	lists   map[string]uint16
	size    int // bytes, without the framing of CBOR
}

func newBlockEncoder() *blockEncoder {
	return &blockEncoder{domains: map[string]byte{}, lists: map[string]uint16{}}
}

func encodeBlocks(c *Configuration) ([]Chunk, error) {
	var chunks []Chunk
	encoder := newBlockEncoder()
	blocks := c.sortedBlocks()
	for i, block := range blocks {
		if err := encoder.add(block); err != nil {
			return nil, err
		}
		last := i == len(blocks)-1
		if last || encoder.full() || endsRun(block.Prefix) {
			chunk, err := encoder.chunk()
			if err != nil {
				return nil, err
			}
			if chunks, err = appendChunk(chunks, chunk); err != nil {
				return nil, err
			}
			encoder = newBlockEncoder()
		}
	}
	return chunks, nil
}

// endsRun reports whether a chunk ends after prefix. It depends on the prefix
// alone, so that boundaries stay when other blocks come and go.
func endsRun(prefix netip.Prefix) bool {
	var record [v6AddressBytes + 1]byte
	address := prefix.Addr().As16()
	copy(record[:], address[:])
	record[v6AddressBytes] = byte(prefix.Bits())
	return xxhash.Sum64(record[:])%meanBlocksInChunk == 0
}

const maxListsInRun = 1<<16 - 1

func (b *blockEncoder) full() bool {
	return b.size > maxRunBytes || len(b.run.Lists) >= maxListsInRun
}

func (b *blockEncoder) add(block ClientBlock) error {
	list, err := b.list(block.Domains)
	if err != nil {
		return err
	}
	tail := [recordTailBytes]byte{byte(block.Prefix.Bits())}
	binary.BigEndian.PutUint16(tail[1:], list)
	address := block.Prefix.Addr()
	switch {
	case !block.Prefix.IsValid():
		return &BlockRunError{Field: "prefix"}
	case address.Is4():
		octets := address.As4()
		b.run.V4 = append(append(b.run.V4, octets[:]...), tail[:]...)
		b.size += v4AddressBytes + recordTailBytes
	default:
		octets := address.As16()
		b.run.V6 = append(append(b.run.V6, octets[:]...), tail[:]...)
		b.size += v6AddressBytes + recordTailBytes
	}
	return nil
}

func (b *blockEncoder) list(domains []string) (uint16, error) {
	var buffer [maxFailureDomains]byte
	order := buffer[:0]
	for _, domain := range domains {
		index, err := b.domain(domain)
		if err != nil {
			return 0, err
		}
		order = append(order, index)
	}
	if index, known := b.lists[string(order)]; known {
		return index, nil
	}
	index := uint16(len(b.run.Lists))
	b.lists[string(order)] = index
	b.run.Lists = append(b.run.Lists, append([]byte(nil), order...))
	b.size += len(order) + 2
	return index, nil
}

func (b *blockEncoder) domain(name string) (byte, error) {
	if index, known := b.domains[name]; known {
		return index, nil
	}
	if len(b.run.Domains) >= maxFailureDomains {
		return 0, &BlockRunError{Field: "number of failure domains"}
	}
	index := byte(len(b.run.Domains))
	b.domains[name] = index
	b.run.Domains = append(b.run.Domains, name)
	b.size += len(name) + 2
	return index, nil
}

func (b *blockEncoder) chunk() (Chunk, error) {
	data, err := cbor.Marshal(b.run)
	if err != nil {
		return Chunk{}, &ChunkError{Reason: ChunkGarbled, Err: err}
	}
	return newChunk(ChunkBlocks, data), nil
}

// interner shares equal lists of failure domains between chunks.
type interner struct {
	lists map[string][]string
}

func newInterner() *interner { return &interner{lists: map[string][]string{}} }

func (in *interner) list(order []byte, domains []string) ([]string, error) {
	key := ""
	for _, index := range order {
		if int(index) >= len(domains) {
			return nil, &BlockRunError{Field: "failure domain index"}
		}
		key += domains[index] + "\x00"
	}
	if list, known := in.lists[key]; known {
		return list, nil
	}
	list := make([]string, len(order))
	for i, index := range order {
		list[i] = domains[index]
	}
	in.lists[key] = list
	return list, nil
}

// packedRun holds the client blocks of one chunk, about 7 bytes for an IPv4
// prefix. It is immutable.
type packedRun struct {
	lists [][]string
	v4    []byte
	v6    []byte
}

func decodeBlocks(data []byte, interned *interner) (*packedRun, error) {
	var run blockRun
	if err := decodeMode.Unmarshal(data, &run); err != nil {
		return nil, err
	}
	packed := &packedRun{lists: make([][]string, len(run.Lists)), v4: run.V4, v6: run.V6}
	for i, order := range run.Lists {
		list, err := interned.list(order, run.Domains)
		if err != nil {
			return nil, err
		}
		packed.lists[i] = list
	}
	if err := packed.check(run.V4, v4AddressBytes); err != nil {
		return nil, err
	}
	return packed, packed.check(run.V6, v6AddressBytes)
}

// check verifies every record, so that iteration cannot fail.
func (p *packedRun) check(records []byte, addressBytes int) error {
	size := addressBytes + recordTailBytes
	if len(records)%size != 0 {
		return &BlockRunError{Field: "record length"}
	}
	for ; len(records) > 0; records = records[size:] {
		list := binary.BigEndian.Uint16(records[addressBytes+1:])
		if int(records[addressBytes]) > 8*addressBytes || int(list) >= len(p.lists) {
			return &BlockRunError{Field: "record"}
		}
	}
	return nil
}

func (p *packedRun) yield(records []byte, addressBytes int, yield func(ClientBlock) bool) bool {
	size := addressBytes + recordTailBytes
	for ; len(records) > 0; records = records[size:] {
		address, _ := netip.AddrFromSlice(records[:addressBytes])
		list := binary.BigEndian.Uint16(records[addressBytes+1:])
		block := ClientBlock{
			Prefix:  netip.PrefixFrom(address, int(records[addressBytes])),
			Domains: p.lists[list],
		}
		if !yield(block) {
			return false
		}
	}
	return true
}

// Blocks iterates over all client blocks. Equal lists of failure domains share
// memory and must not be modified.
func (c *Configuration) Blocks() iter.Seq[ClientBlock] {
	return func(yield func(ClientBlock) bool) {
		for _, block := range c.ClientBlocks {
			if !yield(block) {
				return
			}
		}
		for _, run := range c.packed {
			if !run.yield(run.v4, v4AddressBytes, yield) || !run.yield(run.v6, v6AddressBytes, yield) {
				return
			}
		}
	}
}

// SharesBlocks reports whether c and other hold their client blocks in the same
// memory, so that the blocks are certainly equal. Configurations that one
// Assembler made share the blocks that did not change.
func (c *Configuration) SharesBlocks(other *Configuration) bool {
	if len(c.ClientBlocks) != len(other.ClientBlocks) {
		return false
	}
	if len(c.ClientBlocks) > 0 && &c.ClientBlocks[0] != &other.ClientBlocks[0] {
		return false
	}
	return slices.Equal(c.packed, other.packed)
}

// sortedBlocks returns the client blocks sorted by prefix.
func (c *Configuration) sortedBlocks() []ClientBlock {
	blocks := c.ClientBlocks
	if len(c.packed) > 0 {
		blocks = slices.Collect(c.Blocks())
	}
	compare := func(a, b ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) }
	if slices.IsSortedFunc(blocks, compare) {
		return blocks
	}
	blocks = slices.Clone(blocks)
	slices.SortFunc(blocks, compare)
	return blocks
}
