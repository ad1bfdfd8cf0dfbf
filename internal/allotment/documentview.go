package allotment

import (
	"peridotrail/internal/kvstore"
)

// DocumentView is a domain leader's view of one document, with the leader's pending
// write if its outcome is not known yet.
type DocumentView struct {
	domain    string
	index     int
	document  FleetDocument
	revision  kvstore.Revision
	loaded    bool
	pending   *pendingDocument
	caps      map[string]Share
	mutations mutations
}

type pendingDocument struct {
	document     FleetDocument
	write        kvstore.Write
	responseLost bool // the write may have succeeded even if a later attempt fails
}

// NewDocumentView returns the view of a leader that has not read the document yet.
func NewDocumentView(domain string, index int) *DocumentView {
	return &DocumentView{domain: domain, index: index}
}

// Key returns the store key of the document.
func (v *DocumentView) Key() string { return DocumentKey(v.index) }

// Loaded reports whether the document has been read.
func (v *DocumentView) Loaded() bool { return v.loaded }

// Document returns the newest version that has been read.
func (v *DocumentView) Document() *FleetDocument { return &v.document }

// Observe processes an entry that was read from the store. Older revisions have no
// effect. A newer one ends a pending write, which either succeeded or can no longer
// succeed. It fails with a *DecodeError if the entry cannot be decoded.
func (v *DocumentView) Observe(entry kvstore.Entry) error {
	if v.loaded && entry.Revision.Compare(v.revision) <= 0 {
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

// Plan returns the next write, identified by operation, or false if there is nothing
// to write. It returns a pending write again, unchanged.
func (v *DocumentView) Plan(in FleetPlanInput, operation string) (kvstore.Write, bool) {
	if v.pending != nil {
		return v.pending.write, true
	}
	plan := v.document.Plan(in)
	v.caps = plan.Caps
	if !plan.Changed || plan.Superseded {
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

// RecordOutcome processes the outcome of a write that Plan returned, with the entry
// that the store returned.
func (v *DocumentView) RecordOutcome(entry kvstore.Entry, err error) error {
	if err == nil || kvstore.IsKind(err, kvstore.KindConflict) {
		return v.Observe(entry)
	}
	if v.pending == nil {
		return nil
	}
	v.pending.responseLost = v.pending.responseLost || kvstore.IsKind(err, kvstore.KindUnknownOutcome)
	if !v.pending.responseLost || v.mutations.forgetLostWrite {
		v.pending = nil
	}
	return nil
}

// Fenced reports whether the document names the given epoch of the domain, so that
// its leaders with lower epochs can no longer write the document.
func (v *DocumentView) Fenced(epoch uint64) bool {
	return v.loaded && v.document.Epoch(v.domain) == epoch
}

// UsableShare returns the limit for the use of an account by the domain's hosts, the
// share that the domain has now, and the floor of that share. Generation is that of
// the domain's record. ExtraShareUsable is true while the record is renewed.
//
// While the outcome of a write is unknown, the smaller of both versions applies.
func (v *DocumentView) UsableShare(account string, generation uint64, extraShareUsable bool) (limit, domainShare, floor Share) {
	domainShare, floor = usableShare(&v.document, v.domain, account, generation, true)
	limit, _ = usableShare(&v.document, v.domain, account, generation, extraShareUsable)
	if v.pending != nil {
		pendingShare, pendingFloor := usableShare(&v.pending.document, v.domain, account, generation, true)
		pendingLimit, _ := usableShare(&v.pending.document, v.domain, account, generation, extraShareUsable)
		limit, domainShare, floor = limit.Min(pendingLimit), domainShare.Min(pendingShare), floor.Min(pendingFloor)
	}
	if shareCap, ok := v.caps[account]; ok {
		limit = limit.Min(shareCap)
	}
	return limit, domainShare, floor
}

func usableShare(d *FleetDocument, domain, account string, generation uint64, extraShareUsable bool) (usable, floor Share) {
	a := d.Account(account)
	if a == nil {
		return Share{}, Share{}
	}
	share := a.Domain(domain)
	if extraShareUsable && share.Generation == generation {
		return share.Total(), share.Floor
	}
	return share.Floor, share.Floor
}
