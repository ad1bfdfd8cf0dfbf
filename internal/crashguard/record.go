package crashguard

import (
	"slices"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// record is what a host knows about one request.
type record struct {
	account  string // digest
	stored   Entry
	revision kvstore.Revision // of stored; zero if the store has no entry
	readAt   boottime.Instant // when this process learned of the revision
	opaque   bool             // the store has an entry that this build can't read, so it stays until it expires

	// lost is what the store listed in an earlier era and does not list any more. It counts
	// until the store lists it again or lostUntil.
	lost      Entry
	lostDue   boottime.Instant // when this host writes it again
	lostUntil boottime.Instant

	found    []foundCrash // crashes that this host saw and the store does not list yet
	refuted  []Process    // crashes that complete responses showed to have other causes
	claiming bool         // a claim is being written
	retryAt  boottime.Instant
}

// foundCrash is a crash that this host saw.
type foundCrash struct {
	Crash
	at  boottime.Instant
	due boottime.Instant // when it is to be written
}

// crashes returns the known crashes of a request.
func (r *record) crashes() []Crash {
	all := r.known().Crashes
	for _, f := range r.found {
		all = mergeCrashes(all, []Crash{f.Crash})
	}
	return all
}

// clear records that the store has no entry.
func (r *record) clear() {
	r.stored, r.revision, r.refuted, r.opaque = Entry{}, kvstore.Revision{}, nil, false
}

// store records the entry that the store has.
func (r *record) store(entry Entry, revision kvstore.Revision, now boottime.Instant) {
	r.stored, r.revision, r.readAt, r.opaque = entry, revision, now, false
	r.refuted = slices.DeleteFunc(r.refuted, func(p Process) bool {
		return !slices.ContainsFunc(entry.Crashes, func(c Crash) bool { return c.Process == p })
	})
	r.found = slices.DeleteFunc(r.found, func(f foundCrash) bool { return lists(entry.Crashes, f.Crash) })
	if entry.Trials >= r.lost.Trials && !slices.ContainsFunc(r.lost.Crashes, func(c Crash) bool { return !lists(entry.Crashes, c) }) {
		r.lost = Entry{}
	}
}

// keep keeps what the store listed in an earlier era, unless it lists it again.
func (r *record) keep(known Entry, due, until boottime.Instant) {
	missing := known.Trials > r.stored.Trials || slices.ContainsFunc(known.Crashes, func(c Crash) bool { return !lists(r.stored.Crashes, c) })
	r.lost = Entry{}
	if missing && len(known.Crashes) > 0 && !r.opaque {
		r.lost, r.lostDue, r.lostUntil = known, due, until
	}
}

// hasLost reports whether the store lacks what it listed in an earlier era.
func (r *record) hasLost() bool { return r.lost.Trials > 0 || len(r.lost.Crashes) > 0 }

// known returns what the store lists, or has listed in an earlier era, without what complete
// responses have refuted.
func (r *record) known() Entry {
	crashes := slices.DeleteFunc(mergeCrashes(r.stored.Crashes, r.lost.Crashes), func(c Crash) bool { return slices.Contains(r.refuted, c.Process) })
	return Entry{Crashes: crashes, Trials: max(r.stored.Trials, r.lost.Trials)}
}

// empty reports whether nothing is known about the request.
func (r *record) empty() bool { return len(r.found) == 0 && !r.hasLost() && r.revision.IsZero() }

// lists reports whether a crash adds nothing to the crashes of a record.
func lists(all []Crash, crash Crash) bool {
	i := slices.IndexFunc(all, func(c Crash) bool { return c.Process == crash.Process })
	if i < 0 {
		return len(all) >= maxCrashes && !crash.Trial
	}
	return all[i].Trial || !crash.Trial
}

// compare orders records by how much they are worth keeping: those with few crashes first,
// and the oldest of them.
func (r *record) compare(other *record) int {
	if n := len(r.stored.Crashes) - len(other.stored.Crashes); n != 0 {
		return n
	}
	return r.revision.Compare(other.revision)
}
