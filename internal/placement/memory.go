package placement

import "github.com/cespare/xxhash/v2"

// memory is the order in which a host last sent objects to one upstream. An
// upstream serves only the objects quickly that it has served most recently, so
// the number of others since then tells whether it still knows one.
type memory struct {
	sequence uint64
	used     map[string]uint64
}

// memoryObjects bounds the objects that are remembered of one upstream.
const memoryObjects = 160

func newMemory() memory { return memory{used: map[string]uint64{}} }

// rank returns the number of other objects sent since this one. ok is false if the
// object is not remembered.
func (m *memory) rank(object string) (rank int, ok bool) {
	at, ok := m.used[object]
	if !ok {
		return 0, false
	}
	for _, other := range m.used {
		if other > at {
			rank++
		}
	}
	return rank, true
}

// use notes that an object was sent.
func (m *memory) use(object string) {
	m.sequence++
	m.used[object] = m.sequence
	if len(m.used) <= memoryObjects {
		return
	}
	oldest, least := "", m.sequence
	for other, at := range m.used {
		if at < least {
			oldest, least = other, at
		}
	}
	delete(m.used, oldest)
}

func (m *memory) forget() { clear(m.used) }

// score ranks an upstream for an object in rendezvous hashing.
func score(id, object string) uint64 { return xxhash.Sum64String(id + "\x00" + object) }
