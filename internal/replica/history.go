package replica

import "peridotrail/internal/kvstore"

// maxHistoryEntries limits the changes that a replica keeps for the hosts that follow
// it: a few seconds of changes in a large deployment.
const maxHistoryEntries = 2048

// batch holds the changes returned by one watch.
type batch struct {
	at      kvstore.Revision // revision of the last change
	entries []kvstore.Entry
}

// history holds the latest changes in revision order. It is not safe for concurrent
// use.
type history struct {
	known         map[string]kvstore.Revision // revision of each key
	startRevision kvstore.Revision            // all changes after it are in batches
	batches       []batch
	entryCount    int // entries in all batches
}

// load takes over all entries as they were at a revision. What differs from the entries before,
// which were those at the revision last, is added as one change, so that hosts that follow this
// one need not read all entries when the store's own history ends. If the revisions can't be
// compared, all changes are dropped.
func (h *history) load(entries []kvstore.Entry, at, last kvstore.Revision) {
	before := h.known
	h.known = make(map[string]kvstore.Revision, len(entries))
	var changed []kvstore.Entry
	for _, e := range entries {
		h.known[e.Key] = e.Revision
		if before[e.Key] != e.Revision {
			changed = append(changed, e)
		}
	}
	if last.IsZero() || last.Era != at.Era || at.Before(last) {
		*h = history{startRevision: at, known: h.known}
		return
	}
	for key := range before {
		if _, exists := h.known[key]; !exists {
			changed = append(changed, kvstore.Entry{Key: key})
		}
	}
	h.append(changed, at)
}

// add appends the changes up to a revision.
func (h *history) add(entries []kvstore.Entry, at kvstore.Revision) {
	if h.known == nil {
		h.known = map[string]kvstore.Revision{}
	}
	for _, e := range entries {
		if e.Exists() {
			h.known[e.Key] = e.Revision
		} else {
			delete(h.known, e.Key)
		}
	}
	h.append(entries, at)
}

// append adds one batch. It drops the oldest batches while more than maxHistoryEntries entries
// are held.
func (h *history) append(entries []kvstore.Entry, at kvstore.Revision) {
	if len(entries) == 0 {
		return
	}
	h.batches = append(h.batches, batch{at: at, entries: entries})
	h.entryCount += len(entries)
	for h.entryCount > maxHistoryEntries {
		oldest := h.batches[0]
		h.startRevision, h.entryCount = oldest.at, h.entryCount-len(oldest.entries)
		h.batches[0] = batch{}
		h.batches = h.batches[1:]
	}
}

// since returns the changes after a revision, possibly with earlier ones of the same
// batch. ok is false if changes after that revision were already dropped.
func (h *history) since(after kvstore.Revision) (entries []kvstore.Entry, ok bool) {
	if after.Before(h.startRevision) {
		return nil, false
	}
	for _, b := range h.batches {
		if after.Before(b.at) {
			entries = append(entries, b.entries...)
		}
	}
	return entries, true
}
