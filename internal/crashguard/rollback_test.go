package crashguard

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/kvstore"
)

const (
	firstEra  = kvstore.Era(2)
	secondEra = kvstore.Era(3)
)

// recordedTable returns a table that has read one record in the first era.
func recordedTable(t *testing.T, f Fingerprint, entry Entry) *Table {
	table := NewTable("h")
	revision := kvstore.Revision{Era: firstEra, Number: 5}
	require.Empty(t, table.Reset([]kvstore.Entry{storeEntry(t, f, entry, revision)}, firstEra, start))
	return table
}

var guiltyEntry = Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2"), trialCrashOf("u3")}, Trials: 2}

// A request that crashes upstreams was sent again because the store had lost its record.
func TestRecordThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	cases := []struct {
		name string
		copy *Entry // what the store returned with; nil: nothing
	}{
		{"the record is gone", nil},
		{"a crash is missing", &Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}, Trials: 1}},
		{"a trial is missing", &Entry{Crashes: guiltyEntry.Crashes, Trials: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := fingerprint(1)
			table := recordedTable(t, f, guiltyEntry)
			var entries []kvstore.Entry
			revision := kvstore.Revision{}
			if c.copy != nil {
				revision = kvstore.Revision{Era: secondEra, Number: 4}
				entries = append(entries, storeEntry(t, f, *c.copy, revision))
			}
			returned := after(time.Hour)
			require.Empty(t, table.Reset(entries, secondEra, returned))
			require.Equal(t, Refused, table.Admit(f, returned).Verdict)
			require.Empty(t, table.Writes(returned.Add(table.spread(f, maxLostDelay)-time.Millisecond)), "the hosts take turns")
			due := returned.Add(maxLostDelay)
			writes := table.Writes(due)
			require.Len(t, writes, 1)
			require.Equal(t, revision, writes[0].Expected)
			var written Entry
			require.NoError(t, json.Unmarshal(writes[0].Value, &written))
			require.ElementsMatch(t, guiltyEntry.Crashes, written.Crashes)
			require.Equal(t, guiltyEntry.Trials, written.Trials)
			require.True(t, table.Finish(writes[0], kvstore.Revision{Era: secondEra, Number: 9}, nil, due))
			require.Empty(t, table.Writes(due.Add(writeRetryDelay)))
			require.Equal(t, Refused, table.Admit(f, due.Add(lostTime)).Verdict, "the quarantine goes on")
		})
	}
}

// Each host wrote again what another one had already written.
func TestRecordThatAnotherHostHasWrittenAgainIsLeftAlone(t *testing.T) {
	f := fingerprint(1)
	table := recordedTable(t, f, guiltyEntry)
	returned := after(time.Second)
	require.Empty(t, table.Reset(nil, secondEra, returned))
	require.NoError(t, table.Apply(storeEntry(t, f, guiltyEntry, kvstore.Revision{Era: secondEra, Number: 9}), returned))
	require.Empty(t, table.Writes(returned.Add(maxLostDelay)))
}

func TestLostRecordIsForgottenIfNobodyWritesIt(t *testing.T) {
	f := fingerprint(1)
	table := recordedTable(t, f, guiltyEntry)
	require.Empty(t, table.Reset(nil, secondEra, after(time.Second)))
	end := after(time.Second).Add(lostTime)
	require.Equal(t, Refused, table.Admit(f, end.Add(-time.Millisecond)).Verdict)
	require.Empty(t, table.Writes(end))
	require.True(t, table.Empty())
}

// A record was kept although a complete response had shown that the request is harmless.
func TestRefutedRecordIsNotKeptInANewEra(t *testing.T) {
	f := fingerprint(1)
	table := recordedTable(t, f, Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}})
	table.Answered(f, "a")
	require.Empty(t, table.Reset(nil, secondEra, after(time.Second)))
	require.Equal(t, Allowed, table.Admit(f, after(time.Second)).Verdict)
	require.True(t, table.Empty())
}

// A trial was made twice because the store had lost its claim.
func TestNoTrialsRightAfterARollback(t *testing.T) {
	f := fingerprint(1)
	suspect := Entry{Crashes: []Crash{crashOf("u1"), crashOf("u2")}}
	table := recordedTable(t, f, suspect)
	require.Equal(t, Trial, table.Admit(f, start).Verdict, "the first era of a process is no change")
	returned := after(time.Minute)
	require.Empty(t, table.Reset([]kvstore.Entry{storeEntry(t, f, suspect, kvstore.Revision{Era: secondEra, Number: 5})}, secondEra, returned))
	got := table.Admit(f, returned.Add(time.Second))
	require.Equal(t, Refused, got.Verdict)
	require.Equal(t, newEraHold-time.Second, got.RetryAfter)
	_, claimed := table.Claim(f, returned.Add(time.Second))
	require.False(t, claimed)
	require.Equal(t, Trial, table.Admit(f, returned.Add(newEraHold)).Verdict)
}
