package placement

import "slices"

// objectID is the number that this host assigns to an object of a service.
type objectID uint32

// sendHistory lists the objects that this host has sent to one upstream, most
// recently sent first. An upstream serves only its most recently used objects
// quickly, so the number of other objects sent since predicts whether it still
// has an object cached.
type sendHistory struct{ recent []objectID }

// maxHistoryObjects bounds the objects in one history.
const maxHistoryObjects = 160

// reuseDistance returns the number of other objects sent since this one. ok is
// false if the object is not in the history.
func (h *sendHistory) reuseDistance(object objectID) (distance int, ok bool) {
	distance = slices.Index(h.recent, object)
	return distance, distance >= 0
}

// record moves an object to the front. The oldest object is dropped when the
// history is full.
func (h *sendHistory) record(object objectID) {
	index := slices.Index(h.recent, object)
	if index < 0 {
		if len(h.recent) < maxHistoryObjects {
			h.recent = append(h.recent, 0)
		}
		index = len(h.recent) - 1
	}
	copy(h.recent[1:index+1], h.recent[:index])
	h.recent[0] = object
}

func (h *sendHistory) reset() { h.recent = h.recent[:0] }
