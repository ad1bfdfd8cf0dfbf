package allotment

import (
	"peridotrail/internal/kvstore"
)

// FleetView is one document as the leader of a domain knows it, with the write
// whose outcome is not known yet.
type FleetView struct {
	domain   string
	index    int
	document FleetDocument
	revision kvstore.Revision
	loaded   bool
	pending  *pendingDocument
	caps     map[string]Share
	rules    rules
}

type pendingDocument struct {
	document FleetDocument
	write    kvstore.Write
	lost     bool // an answer was lost; a later refusal does not settle the write
}

// NewFleetView returns a view that has not seen the document.
func NewFleetView(domain string, index int) *FleetView {
	return &FleetView{domain: domain, index: index}
}

// Key returns the store key of the document.
func (v *FleetView) Key() string { return DocumentKey(v.index) }

// Loaded reports whether the document has been seen.
func (v *FleetView) Loaded() bool { return v.loaded }

// Document returns the newest version seen.
func (v *FleetView) Document() *FleetDocument { return &v.document }

// Observe takes an entry that was read from the store. Older ones have no effect.
// It settles a write whose outcome was unknown if the document changed since.
func (v *FleetView) Observe(entry kvstore.Entry) error {
	if v.loaded && entry.Revision <= v.revision {
		return nil
	}
	document, err := DecodeDocument(entry.Key, entry.Value)
	if err != nil {
		return err
	}
	v.document, v.revision, v.loaded = document, entry.Revision, true
	v.pending = nil
	return nil
}

// Plan decides the next write. It returns false if there is none to send now.
// Operation names the write. An unsettled write is returned again unchanged.
func (v *FleetView) Plan(in FleetInput, operation string) (kvstore.Write, bool) {
	if v.pending != nil {
		return v.pending.write, true
	}
	plan := v.document.Plan(in)
	v.caps = plan.Caps
	if !plan.Changed || plan.Stale {
		return kvstore.Write{}, false
	}
	plan.Document.Operation = operation
	value, err := plan.Document.Encode()
	if err != nil {
		return kvstore.Write{}, false
	}
	write := kvstore.Write{Key: v.Key(), Value: value, Expected: v.revision}
	v.pending = &pendingDocument{document: plan.Document, write: write}
	return write, true
}

// Finish takes the outcome of a write that Plan returned. Entry is the one that
// the store returned.
func (v *FleetView) Finish(entry kvstore.Entry, err error) error {
	if err == nil || kvstore.IsKind(err, kvstore.KindConflict) {
		return v.Observe(entry)
	}
	if v.pending == nil {
		return nil
	}
	v.pending.lost = v.pending.lost || kvstore.IsKind(err, kvstore.KindUnknownOutcome)
	if !v.pending.lost || v.rules.ignoreLostWrite {
		v.pending = nil
	}
	return nil
}

// Fenced reports whether the document names an epoch, so that no leader of the
// domain with a lower one can write it any more.
func (v *FleetView) Fenced(epoch uint64) bool {
	return v.loaded && v.document.Epoch(v.domain) == epoch
}

// Usable returns what the hosts are to use of an account, the share that the domain
// has now, and the part of it that has no end. Generation is the one of the
// domain's record; extra says that the record is renewed.
func (v *FleetView) Usable(account string, generation uint64, extra bool) (whole, total, assured Share) {
	total, assured = usable(&v.document, v.domain, account, generation, true)
	whole, _ = usable(&v.document, v.domain, account, generation, extra)
	if v.pending != nil {
		t, a := usable(&v.pending.document, v.domain, account, generation, true)
		w, _ := usable(&v.pending.document, v.domain, account, generation, extra)
		whole, total, assured = whole.Min(w), total.Min(t), assured.Min(a)
	}
	if limit, ok := v.caps[account]; ok {
		whole = whole.Min(limit)
	}
	return whole, total, assured
}

func usable(d *FleetDocument, domain, account string, generation uint64, extra bool) (whole, assured Share) {
	a := d.Account(account)
	if a == nil {
		return Share{}, Share{}
	}
	share := a.Domain(domain)
	if extra && share.Generation == generation {
		return share.Total(), share.Floor
	}
	return share.Floor, share.Floor
}
