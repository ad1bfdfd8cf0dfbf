package placement

import "slices"

// objectID is an object's number within its service at this host.
type objectID uint32

// memory is the order in which a host last sent objects to one upstream, the last
// one first. An upstream serves only the objects quickly that it has served most
// recently, so the number of others since then tells whether it still knows one.
type memory struct{ recent []objectID }

// memoryObjects bounds the objects that are remembered of one upstream.
const memoryObjects = 160

// rank returns the number of other objects sent since this one. ok is false if the
// object is not remembered.
func (m *memory) rank(object objectID) (rank int, ok bool) {
	rank = slices.Index(m.recent, object)
	return rank, rank >= 0
}

// use notes that an object was sent.
func (m *memory) use(object objectID) {
	at := slices.Index(m.recent, object)
	if at < 0 {
		if len(m.recent) < memoryObjects {
			m.recent = append(m.recent, 0)
		}
		at = len(m.recent) - 1
	}
	copy(m.recent[1:at+1], m.recent[:at])
	m.recent[0] = object
}

func (m *memory) forget() { m.recent = m.recent[:0] }
