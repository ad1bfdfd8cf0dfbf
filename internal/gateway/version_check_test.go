package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
)

func era(number uint64) kvstore.Era {
	e, _ := kvstore.NewEra(number)
	return e
}

// registered returns the entry of a host that registered in an era with a policy version.
func registered(t *testing.T, name string, in kvstore.Era, version uint64) kvstore.Entry {
	t.Helper()
	value, err := json.Marshal(catalog.Host{Name: name, EntryAddress: "127.0.0.1:1", Era: in, PolicyVersion: version})
	require.NoError(t, err)
	return kvstore.Entry{Key: "hosts/" + name + "/" + in.String(), Value: value, Revision: kvstore.Revision{Era: in, Number: 1}}
}

// A host that started after the store had returned from an older copy accepted a revoked key
// until the operator had written the policy again.
func TestHostThatStartsAfterARollbackWaitsForTheNewestPolicy(t *testing.T) {
	policy := func(version string) kvstore.Entry {
		return kvstore.Entry{Key: "policy", Value: []byte(version), Revision: kvstore.Revision{Number: 5}}
	}
	cases := []struct {
		name    string
		era     kvstore.Era
		entries []kvstore.Entry
		// then are changes that are read 1 s later.
		then               []kvstore.Entry
		first, later, late bool // whether keys are refused: at once, after then, and after versionCheckTime
	}{
		{"the store names no era", 0, nil, nil, false, false, false},
		{"first era, no other host", era(1), nil, nil, false, false, false},
		{"first era, hosts of this era", era(1), []kvstore.Entry{registered(t, "a", era(1), 3)}, nil, false, false, false},
		{"later era, hosts of this era", era(4), []kvstore.Entry{registered(t, "a", era(4), 3)}, nil, false, false, false},
		{"later era, no other host", era(2), nil, nil, true, true, false},
		{"hosts of an earlier build only", era(2), []kvstore.Entry{registered(t, "a", 0, 0)}, nil, true, true, false},
		{"only this host's own earlier entry", era(1), []kvstore.Entry{registered(t, "h", era(0), 3)}, nil, false, false, false},
		{"a host registers again with a newer version", era(2), []kvstore.Entry{registered(t, "a", era(1), 3)}, []kvstore.Entry{registered(t, "a", era(2), 7)}, true, true, true},
		{"a host registers again with this version", era(2), []kvstore.Entry{registered(t, "a", era(1), 3)}, []kvstore.Entry{registered(t, "a", era(2), 3)}, true, false, false},
		{"one of two hosts registers again", era(2), []kvstore.Entry{registered(t, "a", era(1), 3), registered(t, "b", era(1), 3)}, []kvstore.Entry{registered(t, "a", era(2), 3)}, true, true, false},
		{"the operator writes again", era(2), []kvstore.Entry{registered(t, "a", era(2), 7)}, []kvstore.Entry{policy("7")}, true, false, false},
		{"a policy that this build can't read", era(2), []kvstore.Entry{registered(t, "a", era(2), 7)}, []kvstore.Entry{policy("broken")}, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newRollbackState()
			s.revision = kvstore.Revision{Era: c.era, Number: 100}
			s.Reset(append([]kvstore.Entry{policy("3")}, c.entries...), s.revision, false)
			require.Equal(t, c.first, s.keysOutdated(s.now) != "", "at once: %s", s.keysOutdated(s.now))
			s.now = s.now.Add(time.Second)
			s.Apply(c.then)
			require.Equal(t, c.later, s.keysOutdated(s.now) != "", "later: %s", s.keysOutdated(s.now))
			s.now = s.now.Add(versionCheckTime)
			require.Equal(t, c.late, s.keysOutdated(s.now) != "", "late: %s", s.keysOutdated(s.now))
		})
	}
}

// Running hosts refused requests with keys after each rollback.
func TestRunningHostDoesNotWaitInANewEra(t *testing.T) {
	s := newRollbackState()
	s.revision.Era = era(1)
	s.Reset([]kvstore.Entry{{Key: "policy", Value: []byte("7"), Revision: s.revision}}, s.revision, false)
	s.rollBack(kvstore.Entry{Key: "policy", Value: []byte("3")}, registered(t, "a", era(1), 3))
	require.Empty(t, s.keysOutdated(s.now))
}

// The wait of a host ended in an era that began while it waited in the one before.
func TestWaitBeginsAgainInANewEra(t *testing.T) {
	s := newRollbackState()
	s.revision.Era = era(2)
	s.Reset([]kvstore.Entry{registered(t, "a", era(1), 3)}, s.revision, false)
	s.now = s.now.Add(versionCheckTime - time.Millisecond)
	s.rollBack(registered(t, "a", era(1), 3))
	s.now = s.now.Add(time.Second)
	require.NotEmpty(t, s.keysOutdated(s.now))
}
