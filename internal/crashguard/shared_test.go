package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/kvstore"
)

// fullTable returns a table in which account "a" has all records of its own.
func fullTable(t *testing.T) *Table {
	t.Helper()
	table := NewTable("h")
	for n := range maxPerAccount {
		entry := Entry{Crashes: []Crash{crashOf("u1"), trialCrashOf("u2")}}
		require.NoError(t, table.Apply(storeEntry(t, fingerprint(n), entry, kvstore.Revision{Number: uint64(n + 1)}), start))
	}
	return table
}

// sameRecord returns two requests of account "a" that share a record.
func sameRecord(t *testing.T) (first, second Fingerprint) {
	t.Helper()
	first = fingerprint(1000)
	for n := 1001; n < 100_000; n++ {
		if second = fingerprint(n); sharedFingerprint(accountDigest("a"), second) == sharedFingerprint(accountDigest("a"), first) {
			return first, second
		}
	}
	require.Fail(t, "no request shares a record")
	return first, second
}

// verdict returns the verdict on a request of account "a".
func verdict(table *Table, f Fingerprint) Verdict {
	return table.Admit(table.Subject(f, "a"), start).Verdict
}

// save makes the writes that are due and returns them as entries of the store.
func save(t *testing.T, table *Table, revision uint64) (entries []kvstore.Entry) {
	t.Helper()
	for _, write := range table.Writes(after(time.Duration(revision) * time.Second)) {
		require.False(t, write.Delete)
		at := kvstore.Revision{Number: revision}
		require.True(t, table.Finish(write, at, nil, start))
		entries = append(entries, kvstore.Entry{Key: write.Key, Value: write.Value, Revision: at})
	}
	return entries
}

// Beyond maxPerAccount records of an account its further crashes were forgotten.
func TestCrashesBeyondTheRecordsOfAnAccountAreShared(t *testing.T) {
	table := fullTable(t)
	f, neighbour := sameRecord(t)
	require.False(t, table.Crashed(f, "a", crashOf("u3"), false, start))
	require.Equal(t, Allowed, verdict(table, f), "after one crash")
	require.False(t, table.Crashed(f, "a", crashOf("u4"), false, start))
	entries := save(t, table, 100)
	require.Len(t, entries, 1)
	require.Equal(t, Trial, verdict(table, f))
	require.Equal(t, Trial, verdict(table, neighbour), "not known to be harmless")

	// Another host learns of it from the store.
	other := fullTable(t)
	require.NoError(t, other.Apply(entries[0], start))
	require.Equal(t, Trial, verdict(other, f))

	// The crash of the trial begins the quarantine.
	write, ok := table.Claim(table.Subject(f, "a"), start)
	require.True(t, ok)
	require.True(t, table.Finish(write, kvstore.Revision{Number: 101}, nil, start))
	require.False(t, table.Crashed(f, "a", trialCrashOf("u5"), false, start))
	save(t, table, 102)
	require.Equal(t, firstQuarantine, table.Admit(table.Subject(f, "a"), start).RetryAfter)
}

// A request that crashes nothing was refused because it shares a record with one that does,
// or cleared that record.
func TestHarmlessRequestIsServedBesideASharedRecord(t *testing.T) {
	table := fullTable(t)
	f, neighbour := sameRecord(t)
	for n := range 3 {
		table.Crashed(f, "a", crashOf(fmt.Sprint("v", n)), false, start)
	}
	save(t, table, 100)
	table.Answered(neighbour, "a")
	require.Equal(t, Allowed, verdict(table, neighbour))
	require.Equal(t, Trial, verdict(table, f))
	require.Equal(t, Allowed, table.Admit(table.Subject(f, "another account"), start).Verdict)

	table.Crashed(neighbour, "a", crashOf("v9"), false, start)
	require.NotEqual(t, Allowed, verdict(table, neighbour), "it crashes upstreams since")
	table.Answered(f, "a")
	require.Equal(t, Allowed, verdict(table, f))
	require.Equal(t, []Crash{{Process: crashOf("v9").Process, Request: "r-v9", Host: "h", Tag: neighbour.tag()}}, table.records[sharedFingerprint(accountDigest("a"), f)].crashes())
}
