package crashguard

import (
	"hash/fnv"
	"slices"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Writes returns the writes that this host should make now: crashes that it saw, and
// deletions of records that are harmless, expired or too many. Finish must be called with
// the result of each.
func (t *Table) Writes(now boottime.Instant) []Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired map[Fingerprint]bool
	if !now.Before(t.nextCleanup) {
		t.nextCleanup = now.Add(cleanupInterval)
		expired = t.expired(now)
	}
	var due []Write
	for f, r := range t.records {
		if r.hasLost() && !now.Before(r.lostUntil) {
			if r.lost = (Entry{}); r.empty() && !r.claiming {
				t.remove(f)
				continue
			}
		}
		if len(due) == maxWrites {
			break
		}
		if now.Before(r.retryAt) || r.claiming {
			continue
		}
		write, err := t.dueWrite(f, r, expired[f], now)
		if err != nil || write.Key == "" {
			continue
		}
		r.retryAt = now.Add(writeRetryDelay)
		due = append(due, write)
	}
	return due
}

// dueWrite returns the write of a record, without a key if none is due. The caller holds mu.
func (t *Table) dueWrite(f Fingerprint, r *record, expired bool, now boottime.Instant) (Write, error) {
	isDue := slices.ContainsFunc(r.found, func(c foundCrash) bool { return !now.Before(c.due) }) || r.hasLost() && !now.Before(r.lostDue)
	crashes := r.crashes()
	switch {
	case r.opaque && !expired:
		return Write{}, nil
	case !r.revision.IsZero() && (len(crashes) == 0 || expired && !isDue):
		return Write{Fingerprint: f, Write: kvstore.Write{Key: entryKey(r.account, f), Expected: r.revision, Delete: true}}, nil
	case isDue || len(r.refuted) > 0:
		known := r.known()
		entry := Entry{Crashes: crashes, Trials: known.Trials}
		if entry.guilty() != known.guilty() {
			entry.Trials = 0
		}
		return t.newWrite(f, r, entry)
	default:
		return Write{}, nil
	}
}

// expired returns the records to delete: those whose time is over, and those beyond the
// number for their account. The caller holds mu.
func (t *Table) expired(now boottime.Instant) map[Fingerprint]bool {
	over := map[Fingerprint]bool{}
	surplus := map[string][]Fingerprint{}
	for f, r := range t.records {
		if r.revision.IsZero() {
			continue
		}
		delay := t.deletionDelay(f)
		if now.Sub(r.readAt) > r.stored.trialDelay()+forgetTime+delay {
			over[f] = true
		}
		if n := t.perAccount[r.account]; !f.shared() && (n > 2*maxPerAccount || n > maxPerAccount && len(r.stored.Crashes) < suspectCrashes) {
			surplus[r.account] = append(surplus[r.account], f)
		}
	}
	for account, all := range surplus {
		slices.SortFunc(all, func(a, b Fingerprint) int { return t.records[a].compare(t.records[b]) })
		for _, f := range all[:min(len(all), t.perAccount[account]-maxPerAccount)] {
			if now.Sub(t.records[f].readAt) > surplusAge+t.deletionDelay(f)/10 {
				over[f] = true
			}
		}
	}
	return over
}

// deletionDelay returns this host's delay before it deletes a record that is over.
func (t *Table) deletionDelay(f Fingerprint) time.Duration { return t.spread(f, maxDeletionDelay) }

// spread returns a time below most that differs between hosts.
func (t *Table) spread(f Fingerprint, most time.Duration) time.Duration {
	digest := fnv.New64a()
	_, _ = digest.Write(f[:]) // a hash returns no error
	_, _ = digest.Write([]byte(t.host))
	return time.Duration(digest.Sum64() % uint64(most))
}

// Finish records the result of a write. A write whose outcome is not known is made again;
// its condition keeps it from taking effect twice. It reports whether the write is known to
// have succeeded: only then a claim permits a trial.
func (t *Table) Finish(write Write, revision kvstore.Revision, err error, now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[write.Fingerprint]
	if r == nil {
		return err == nil
	}
	if write.claim {
		r.claiming = false
	}
	switch {
	case err != nil:
		return false
	case write.Delete:
		if r.revision != write.Expected {
			return true // the record has changed since
		}
		r.clear()
		if r.empty() {
			t.remove(write.Fingerprint)
		}
	case r.revision.Before(revision):
		r.store(write.entry, revision, now)
	}
	return true
}
