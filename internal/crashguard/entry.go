package crashguard

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"peridotrail/internal/kvstore"
)

// Prefix is the prefix of the keys of crash records in the store. The rest of the key is a
// digest of the client account and the fingerprint of the request.
const Prefix = "crashes/"

// Entry is the value of a crash record in the store.
type Entry struct {
	Crashes []Crash `json:"crashes"` // of different processes, at most maxCrashes, oldest first
	Trials  int     `json:"trials"`  // claimed since the request became a suspect, or guilty
}

const (
	// maxCrashes limits the crashes that one record lists; more add nothing to a decision.
	maxCrashes = 8
	// maxFieldBytes limits the IDs in a record. Callers choose those of their attempts.
	maxFieldBytes = 64
)

// KeyError reports a key under Prefix that does not name an account and a fingerprint.
type KeyError struct{ Key string }

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q is not that of a crash record", e.Key) }

// TrialsError reports a crash record with a negative number of trials.
type TrialsError struct{ Trials int }

// Error implements error.
func (e *TrialsError) Error() string { return fmt.Sprintf("%d trials", e.Trials) }

// accountDigest identifies a client account in keys.
func accountDigest(account string) string {
	digest := sha256.Sum256([]byte(account))
	return hex.EncodeToString(digest[:8])
}

// Key returns the key of the record of a request of a client account, empty for requests
// that need no key.
func Key(account string, f Fingerprint) string { return entryKey(accountDigest(account), f) }

func entryKey(account string, f Fingerprint) string { return Prefix + account + "/" + f.String() }

// parseKey returns the account's digest and the fingerprint in a key.
func parseKey(key string) (account string, f Fingerprint, err error) {
	rest, _ := strings.CutPrefix(key, Prefix)
	account, text, found := strings.Cut(rest, "/")
	f, ok := parseFingerprint(text)
	if !found || !ok {
		return "", Fingerprint{}, &KeyError{Key: key}
	}
	return account, f, nil
}

// decodeEntry returns the crash record in an entry of the store.
func decodeEntry(entry kvstore.Entry) (Entry, error) {
	var decoded Entry
	if err := json.Unmarshal(entry.Value, &decoded); err != nil {
		return Entry{}, err
	}
	if decoded.Trials < 0 {
		return Entry{}, &TrialsError{Trials: decoded.Trials}
	}
	return Entry{Crashes: mergeCrashes(nil, decoded.Crashes), Trials: decoded.Trials}, nil
}

// guilty reports whether an upstream crashed during a trial, when no other host sent the
// request.
func (e Entry) guilty() bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Trial })
}

// trialDelay returns the time from the last change of an entry to the next trial.
func (e Entry) trialDelay() time.Duration {
	delay, doublings := firstQuarantine, e.Trials
	if !e.guilty() {
		if e.Trials == 0 {
			return 0
		}
		delay, doublings = trialTime, e.Trials-1
		if len(e.Crashes) > suspectCrashes {
			delay = unresolvedDelay
		}
	}
	for ; doublings > 0 && delay < maxQuarantine; doublings-- {
		delay *= 2
	}
	return min(delay, maxQuarantine)
}

// mergeCrashes adds those crashes to all that are of other processes.
func mergeCrashes(all, added []Crash) []Crash {
	all = slices.Clone(all)
	for _, crash := range added {
		same := func(other Crash) bool { return other.Process == crash.Process }
		switch i := slices.IndexFunc(all, same); {
		case i >= 0:
			all[i].Trial = all[i].Trial || crash.Trial
		case len(all) < maxCrashes:
			all = append(all, crash)
		case crash.Trial: // it tells more than the oldest one
			all = append(slices.Delete(all, 0, 1), crash)
		}
	}
	return all
}
