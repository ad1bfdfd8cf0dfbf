package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

const start = boottime.Instant(time.Hour)

func after(d time.Duration) boottime.Instant { return start.Add(d) }

func fingerprint(n int) Fingerprint {
	return NewFingerprint(Identity{Account: "a", Target: fmt.Sprintf("/%d", n)})
}

func crashOf(upstream string) Crash {
	return Crash{Process: Process{Upstream: upstream, Incarnation: 1}, Request: "r-" + upstream}
}

func trialCrashOf(upstream string) Crash {
	crash := crashOf(upstream)
	crash.Trial = true
	return crash
}

// storeEntry returns the entry of a record as the store has it.
func storeEntry(t *testing.T, f Fingerprint, entry Entry, revision kvstore.Revision) kvstore.Entry {
	write, err := NewTable("writer").newWrite(f, &record{account: accountDigest("a")}, entry)
	require.NoError(t, err)
	return kvstore.Entry{Key: write.Key, Value: write.Value, Revision: revision}
}

func TestAdmit(t *testing.T) {
	f := fingerprint(1)
	cases := []struct {
		name       string
		entry      Entry
		age        time.Duration // since the entry was read
		want       Verdict
		retryAfter time.Duration
	}{
		{"one crash", Entry{Crashes: []Crash{crashOf("u1")}}, 0, Allowed, 0},
		{"two crashes", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}}, 0, Trial, 0},
		{"many crashes without a trial", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2"), crashOf("u3")}}, 0, Trial, 0},
		{"a trial in progress", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}, Trials: 1}, time.Second, Refused, trialRetryAfter},
		{"a trial without a result", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}, Trials: 1}, trialTime, Trial, 0},
		{"two trials without a result", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}, Trials: 2}, trialTime, Refused, trialTime},
		{"a trial without a result, three crashes", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2"), crashOf("u3")}, Trials: 1}, trialTime, Refused, unresolvedDelay - trialTime},
		{"the trial crashed", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2"), trialCrashOf("u3")}}, time.Second, Refused, firstQuarantine - time.Second},
		{"quarantine over", Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2"), trialCrashOf("u3")}}, firstQuarantine, Trial, 0},
		{"second quarantine", Entry{Crashes: []Crash{crashOf("u1"), trialCrashOf("u2"), trialCrashOf("u3")}, Trials: 1}, firstQuarantine, Refused, firstQuarantine},
		{"the longest quarantine", Entry{Crashes: []Crash{crashOf("u1"), trialCrashOf("u2")}, Trials: 1 << 40}, 0, Refused, maxQuarantine},
		{"no crashes", Entry{}, 0, Allowed, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable("h")
			require.NoError(t, table.Apply(storeEntry(t, f, c.entry, kvstore.Revision{Number: 5}), start))
			got := table.Admit(f, after(c.age))
			require.Equal(t, c.want, got.Verdict)
			require.Equal(t, c.retryAfter, got.RetryAfter)
			require.Equal(t, Allowed, table.Admit(fingerprint(2), after(c.age)).Verdict, "another request")
		})
	}
}

func TestClaimPermitsOneTrial(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	require.NoError(t, table.Apply(storeEntry(t, f, Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}}, kvstore.Revision{Number: 5}), start))
	write, ok := table.Claim(f, start)
	require.True(t, ok)
	require.Equal(t, kvstore.Revision{Number: 5}, write.Expected)
	require.Equal(t, Refused, table.Admit(f, start).Verdict, "while the claim is written")
	_, ok = table.Claim(f, start)
	require.False(t, ok)
	require.True(t, table.Finish(write, kvstore.Revision{Number: 6}, nil, start))
	require.Equal(t, Refused, table.Admit(f, start).Verdict)

	require.True(t, table.Crashed(f, "a", trialCrashOf("u3"), false, after(time.Second)))
	writes := table.Writes(after(time.Second))
	require.Len(t, writes, 1)
	require.Equal(t, kvstore.Revision{Number: 6}, writes[0].Expected)
	require.True(t, table.Finish(writes[0], kvstore.Revision{Number: 7}, nil, after(time.Second)))
	got := table.Admit(f, after(time.Second))
	require.Equal(t, Refused, got.Verdict)
	require.Equal(t, firstQuarantine, got.RetryAfter)
	require.Len(t, got.Crashes, 3)
}

func TestFailedClaimPermitsNoTrial(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	require.NoError(t, table.Apply(storeEntry(t, f, Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}}, kvstore.Revision{Number: 5}), start))
	write, _ := table.Claim(f, start)
	require.False(t, table.Finish(write, kvstore.Revision{}, &kvstore.Error{Kind: kvstore.KindUnknownOutcome}, start))
	require.Equal(t, Trial, table.Admit(f, start).Verdict, "it may be claimed again")
}

func TestCompleteResponseClearsCrashes(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	require.True(t, table.Crashed(f, "a", crashOf("u1"), true, start))
	require.Empty(t, table.Writes(start), "while it is retried")
	table.Answered(f, "a")
	require.True(t, table.Empty())

	require.NoError(t, table.Apply(storeEntry(t, f, Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}}, kvstore.Revision{Number: 5}), start))
	table.Answered(f, "a")
	require.Equal(t, Allowed, table.Admit(f, start).Verdict)
	// Another host has recorded one more crash meanwhile.
	require.NoError(t, table.Apply(storeEntry(t, f, Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2"), crashOf("u3")}}, kvstore.Revision{Number: 6}), start))
	require.Equal(t, Allowed, table.Admit(f, start).Verdict)
	writes := table.Writes(start)
	require.Len(t, writes, 1)
	require.Equal(t, []Crash{crashOf("u3")}, writes[0].entry.Crashes)
	require.True(t, table.Finish(writes[0], kvstore.Revision{Number: 7}, nil, start))
	table.Answered(f, "a")
	writes = table.Writes(after(time.Second))
	require.Len(t, writes, 1)
	require.True(t, writes[0].Delete)
	require.True(t, table.Finish(writes[0], kvstore.Revision{}, nil, after(time.Second)))
	require.True(t, table.Empty())
}

// Requests that ran beside one that crashes upstreams were suspected like it.
func TestCrashesOfAGuiltyRequestDoNotCountForOthers(t *testing.T) {
	table, guilty, beside := NewTable("h"), fingerprint(1), fingerprint(2)
	require.NoError(t, table.Apply(storeEntry(t, beside, Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}}, kvstore.Revision{Number: 4}), start))
	require.Equal(t, Trial, table.Admit(beside, start).Verdict)
	require.NoError(t, table.Apply(storeEntry(t, guilty, Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2"), trialCrashOf("u3")}}, kvstore.Revision{Number: 5}), start))
	require.Equal(t, Allowed, table.Admit(beside, start).Verdict)
	require.Equal(t, Refused, table.Admit(guilty, start).Verdict)
}

func TestCrashIsRecordedAtOnceUnlessTheRequestIsRetried(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	require.True(t, table.Crashed(f, "a", crashOf("u1"), true, start))
	require.Empty(t, table.Writes(after(retryHold/2)))
	table.Settled(f, "a", after(retryHold/2))
	require.Len(t, table.Writes(after(retryHold/2)), 1)

	other := fingerprint(2)
	require.True(t, table.Crashed(other, "a", crashOf("u1"), true, start))
	require.NotEmpty(t, table.Writes(after(retryHold)), "the retry takes long")
}

// A host without the store sent a request again and again under which it saw crashes.
func TestUnsavedCrashHoldsTheRequestBack(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	require.True(t, table.Crashed(f, "a", crashOf("u1"), false, start))
	require.Equal(t, Allowed, table.Admit(f, after(time.Second)).Verdict)
	require.Equal(t, Refused, table.Admit(f, after(saveTime)).Verdict)
	table.Reset(nil, 0, after(saveTime))
	require.Equal(t, Refused, table.Admit(f, after(saveTime)).Verdict, "the store still lacks it")
}

// An account that sends ever new requests that crash upstreams pushed out the records of
// others, or filled memory and store.
func TestRecordsOfOneAccountAreBounded(t *testing.T) {
	table, other := NewTable("h"), NewFingerprint(Identity{Account: "other"})
	require.True(t, table.Crashed(other, "other", crashOf("u0"), false, start))
	suspect := fingerprint(0)
	entries := []kvstore.Entry{storeEntry(t, suspect, Entry{Crashes: []Crash{crashOf("u1"), trialCrashOf("u2")}}, kvstore.Revision{Number: 1})}
	recorded := 0
	for n := range 10 * maxPerAccount {
		if table.Crashed(fingerprint(n+1), "a", crashOf("u1"), false, start) {
			recorded++
		}
	}
	require.Equal(t, maxPerAccount, recorded)
	for n := range 2 * maxPerAccount {
		entries = append(entries, storeEntry(t, fingerprint(n+1), Entry{Crashes: []Crash{crashOf("u1")}}, kvstore.Revision{Number: uint64(n + 2)}))
	}
	require.Empty(t, table.Reset(entries, 0, start))
	later := after(surplusAge + maxDeletionDelay)
	deleted := map[Fingerprint]bool{}
	revision := kvstore.Revision{Number: uint64(len(entries) + 2)}
	for range 2 * maxPerAccount {
		later = later.Add(cleanupInterval)
		for _, write := range table.Writes(later) {
			revision.Number++
			deleted[write.Fingerprint] = deleted[write.Fingerprint] || write.Delete
			require.True(t, table.Finish(write, revision, nil, later))
		}
	}
	own := 0
	for f := range table.records {
		if !f.shared() {
			own++
		}
	}
	require.LessOrEqual(t, own, maxPerAccount+1)
	records, inShared := table.Len()
	require.LessOrEqual(t, records, maxPerAccount+1+sharedRecords)
	require.Equal(t, 9*maxPerAccount, inShared)
	require.False(t, deleted[suspect], "records with more crashes stay")
	require.False(t, deleted[other])
}

func TestExpiredRecordsAreDeleted(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	require.NoError(t, table.Apply(storeEntry(t, f, Entry{Crashes: []Crash{crashOf("u1")}}, kvstore.Revision{Number: 5}), start))
	require.Empty(t, table.Writes(after(forgetTime)))
	writes := table.Writes(after(forgetTime + maxDeletionDelay + time.Second))
	require.Len(t, writes, 1)
	require.True(t, writes[0].Delete)
}

// A crash that a conflicting write kept out of the store is written again.
func TestConflictingCrashIsWrittenAgain(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	require.True(t, table.Crashed(f, "a", crashOf("u1"), false, start))
	writes := table.Writes(start)
	require.Len(t, writes, 1)
	require.False(t, table.Finish(writes[0], kvstore.Revision{}, &kvstore.Error{Kind: kvstore.KindConflict}, start))
	require.NoError(t, table.Apply(storeEntry(t, f, Entry{Crashes: []Crash{crashOf("u2")}}, kvstore.Revision{Number: 5}), start))
	writes = table.Writes(after(writeRetryDelay))
	require.Len(t, writes, 1)
	require.Equal(t, kvstore.Revision{Number: 5}, writes[0].Expected)
	require.Len(t, writes[0].entry.Crashes, 2)
}

// A record that this build can't read, as a later one might write it, was deleted.
func TestUnreadableRecordIsLeftAlone(t *testing.T) {
	f, table := fingerprint(1), NewTable("h")
	entry := storeEntry(t, f, Entry{}, kvstore.Revision{Number: 5})
	entry.Value = []byte(`{"crashes":"in another form"}`)
	require.Error(t, table.Apply(entry, start))
	require.Equal(t, Allowed, table.Admit(f, start).Verdict)
	require.Empty(t, table.Writes(start))
	table.Answered(f, "a")
	require.Empty(t, table.Writes(after(time.Second)))
	require.NotEmpty(t, table.Writes(after(forgetTime+maxDeletionDelay+time.Second)), "it expires")

	require.NoError(t, table.Apply(storeEntry(t, f, Entry{Crashes: []Crash{crashOf("u1")}}, kvstore.Revision{Number: 6}), start))
	table.Answered(f, "a")
	require.NotEmpty(t, table.Writes(after(time.Hour)), "it is read now")
}

// FuzzApply checks that any entry of the store leaves a table that still decides.
func FuzzApply(f *testing.F) {
	key := Key("a", fingerprint(1))
	for _, seed := range []string{`{}`, `{"crashes":[{"upstream":"u","incarnation":1}],"trials":3}`, `{"trials":-1}`, `[]`, ``, `{"crashes":[null,{}],"trials":9223372036854775807}`} {
		f.Add(key, []byte(seed))
	}
	f.Add("crashes/x", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := NewTable("h")
		_ = table.Apply(kvstore.Entry{Key: key, Value: value, Revision: kvstore.Revision{Number: 1}}, start) // any error will do
		request := fingerprint(1)
		decision := table.Admit(request, start)
		require.GreaterOrEqual(t, decision.RetryAfter, time.Duration(0))
		require.LessOrEqual(t, decision.RetryAfter, maxQuarantine)
		require.LessOrEqual(t, len(decision.Crashes), maxCrashes)
		table.Claim(request, start)
		table.Writes(after(24 * time.Hour))
	})
}
