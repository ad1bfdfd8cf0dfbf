package replica

import "peridotrail/internal/kvstore"

// historyMost bounds the changes that a replica keeps for the hosts that follow
// it: some seconds of the entries of a large deployment.
const historyMost = 2048

// batch is what one watch brought.
type batch struct {
	at      kvstore.Revision // of the last change
	entries []kvstore.Entry
}

// history holds the latest changes in their order. It is not safe for concurrent
// use.
type history struct {
	from    kvstore.Revision // changes after it are held
	batches []batch
	held    int // entries in all batches
}

// restart forgets all changes; those after a revision will be added.
func (h *history) restart(at kvstore.Revision) { *h = history{from: at} }

// add appends the changes up to a revision and drops the oldest ones.
func (h *history) add(entries []kvstore.Entry, at kvstore.Revision) {
	if len(entries) == 0 {
		return
	}
	h.batches = append(h.batches, batch{at: at, entries: entries})
	h.held += len(entries)
	for h.held > historyMost {
		oldest := h.batches[0]
		h.from, h.held = oldest.at, h.held-len(oldest.entries)
		h.batches[0] = batch{}
		h.batches = h.batches[1:]
	}
}

// since returns the changes after a revision, and perhaps some before it that came
// in the same batch. ok is false if the history begins later.
func (h *history) since(after kvstore.Revision) (entries []kvstore.Entry, ok bool) {
	if after < h.from {
		return nil, false
	}
	for _, b := range h.batches {
		if b.at > after {
			entries = append(entries, b.entries...)
		}
	}
	return entries, true
}
