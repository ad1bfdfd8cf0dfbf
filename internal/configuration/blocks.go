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

// A client block is stored as a fixed-size record: the address, one byte with the
// prefix length and two bytes with the big-endian index of its list of failure
// domains.
const (
	v4AddressBytes    = 4
	v6AddressBytes    = 16
	recordSuffixBytes = 3
)

// BlockRunError reports client blocks that cannot be encoded or packed client
// blocks that violate the format.
type BlockRunError struct {
	Field string // invalid part of the data
}

// Error implements error.
func (e *BlockRunError) Error() string {
	return fmt.Sprintf("client blocks: invalid %s", e.Field)
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
	Lists   [][]byte `cbor:"2,keyasint"`           // lists of indexes into Domains, nearest domain first
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

// blockEncoder packs one run of client blocks into a chunk.
type blockEncoder struct {
	run     blockRun
	domains map[string]byte
	lists   map[string]uint16
	size    int // estimated encoded size in bytes, without the CBOR framing
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
		if last || encoder.isFull() || isRunBoundary(block.Prefix) {
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

// isRunBoundary reports whether a chunk ends after prefix. It depends on the
// prefix alone, so that adding or removing other blocks does not move boundaries.
func isRunBoundary(prefix netip.Prefix) bool {
	var record [v6AddressBytes + 1]byte
	address := prefix.Addr().As16()
	copy(record[:], address[:])
	record[v6AddressBytes] = byte(prefix.Bits())
	return xxhash.Sum64(record[:])%meanBlocksInChunk == 0
}

const maxListsInRun = 1<<16 - 1

func (b *blockEncoder) isFull() bool {
	return b.size > maxRunBytes || len(b.run.Lists) >= maxListsInRun
}

func (b *blockEncoder) add(block ClientBlock) error {
	list, err := b.listIndex(block.Domains)
	if err != nil {
		return err
	}
	suffix := [recordSuffixBytes]byte{byte(block.Prefix.Bits())}
	binary.BigEndian.PutUint16(suffix[1:], list)
	address := block.Prefix.Addr()
	switch {
	case !block.Prefix.IsValid():
		return &BlockRunError{Field: "prefix"}
	case address.Is4():
		octets := address.As4()
		b.run.V4 = append(append(b.run.V4, octets[:]...), suffix[:]...)
		b.size += v4AddressBytes + recordSuffixBytes
	default:
		octets := address.As16()
		b.run.V6 = append(append(b.run.V6, octets[:]...), suffix[:]...)
		b.size += v6AddressBytes + recordSuffixBytes
	}
	return nil
}

func (b *blockEncoder) listIndex(domains []string) (uint16, error) {
	var buffer [maxFailureDomains]byte
	order := buffer[:0]
	for _, domain := range domains {
		index, err := b.domainIndex(domain)
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

func (b *blockEncoder) domainIndex(name string) (byte, error) {
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
		return Chunk{}, &ChunkError{Reason: ChunkMalformed, Err: err}
	}
	return newChunk(ChunkBlocks, data), nil
}

// listInterner makes chunks share the memory of equal lists of failure
// domains.
type listInterner struct {
	lists map[string][]string
}

func newListInterner() *listInterner { return &listInterner{lists: map[string][]string{}} }

func (in *listInterner) intern(order []byte, domains []string) ([]string, error) {
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

// packedBlocks holds the client blocks of one chunk in encoded form, which takes
// about 7 bytes for an IPv4 prefix. It is immutable.
type packedBlocks struct {
	lists [][]string
	v4    []byte
	v6    []byte
}

func decodeBlocks(data []byte, interned *listInterner) (*packedBlocks, error) {
	var run blockRun
	if err := decodeMode.Unmarshal(data, &run); err != nil {
		return nil, err
	}
	packed := &packedBlocks{lists: make([][]string, len(run.Lists)), v4: run.V4, v6: run.V6}
	for i, order := range run.Lists {
		list, err := interned.intern(order, run.Domains)
		if err != nil {
			return nil, err
		}
		packed.lists[i] = list
	}
	if err := packed.validateRecords(run.V4, v4AddressBytes); err != nil {
		return nil, err
	}
	return packed, packed.validateRecords(run.V6, v6AddressBytes)
}

// validateRecords checks every record, so that iteration cannot fail.
func (p *packedBlocks) validateRecords(records []byte, addressBytes int) error {
	size := addressBytes + recordSuffixBytes
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

func (p *packedBlocks) yieldRecords(records []byte, addressBytes int, yield func(ClientBlock) bool) bool {
	size := addressBytes + recordSuffixBytes
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

// Blocks iterates over all client blocks (address prefixes of callers). Blocks with
// equal Domains share one slice, which callers must not modify.
func (c *Configuration) Blocks() iter.Seq[ClientBlock] {
	return func(yield func(ClientBlock) bool) {
		for _, block := range c.ClientBlocks {
			if !yield(block) {
				return
			}
		}
		for _, run := range c.packedClientBlocks {
			if !run.yieldRecords(run.v4, v4AddressBytes, yield) || !run.yieldRecords(run.v6, v6AddressBytes, yield) {
				return
			}
		}
	}
}

// SharesBlocks reports whether c and other hold their client blocks in the same
// memory, which implies that the blocks are equal. Equal blocks in different
// memory give false. Configurations from the same Assembler share memory for
// chunks that did not change.
func (c *Configuration) SharesBlocks(other *Configuration) bool {
	if len(c.ClientBlocks) != len(other.ClientBlocks) {
		return false
	}
	if len(c.ClientBlocks) > 0 && &c.ClientBlocks[0] != &other.ClientBlocks[0] {
		return false
	}
	return slices.Equal(c.packedClientBlocks, other.packedClientBlocks)
}

// sortedBlocks returns the client blocks sorted by prefix.
func (c *Configuration) sortedBlocks() []ClientBlock {
	blocks := c.ClientBlocks
	if len(c.packedClientBlocks) > 0 {
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
