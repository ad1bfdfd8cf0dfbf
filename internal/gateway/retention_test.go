package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/routing"
)

// rollbackState is a state with a clock and entries of a store that the test sets.
type rollbackState struct {
	*state
	now      boottime.Instant
	revision kvstore.Revision
}

func newRollbackState() *rollbackState {
	s := &rollbackState{now: boottime.Instant(time.Hour), revision: kvstore.Revision{Era: 2, Number: 100}}
	live := newLiveSettings(Settings{Host: "h", FailureDomain: "w1", Region: "west", Regions: map[string]string{"w1": "west"}, RetryWindow: time.Second})
	s.state = newState(live, fakeSchema{}, log.NewNopLogger(), newLimits(live, log.NewNopLogger(), boottime.Now), func() boottime.Instant { return s.now }, boottime.Now)
	s.onUpstreams = func([]catalog.Upstream) {}
	return s
}

// entry returns an entry that was just written.
func (s *rollbackState) entry(key, value string) kvstore.Entry {
	s.revision.Number++
	return kvstore.Entry{Key: key, Value: []byte(value), Revision: s.revision}
}

// rollBack lets the store return with some entries.
func (s *rollbackState) rollBack(entries ...kvstore.Entry) {
	s.revision = kvstore.Revision{Era: s.revision.Era + 1, Number: 50}
	for i := range entries {
		entries[i].Revision = kvstore.Revision{Era: s.revision.Era, Number: uint64(i + 1)}
	}
	s.Reset(entries, s.revision, false)
}

// available returns the upstreams that may get requests.
func (s *rollbackState) available() []string {
	var ids []string
	for _, u := range s.currentUpstreams() {
		if !u.Draining {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// What a host had seen acknowledged was undone by a copy of the store that did not know it.
func TestAcknowledgedChangesOutliveARollback(t *testing.T) {
	s := newRollbackState()
	ready := func(id string) kvstore.Entry { return kvstore.Entry{Key: "up/" + id, Value: []byte("ready")} }
	s.Reset([]kvstore.Entry{s.entry("policy", "3"), s.entry("up/a", "ready"), s.entry("up/b", "ready"), s.entry("up/c", "ready")}, s.revision, false)
	require.Equal(t, []string{"a", "b", "c"}, s.available())
	s.Apply([]kvstore.Entry{s.entry("policy", "5"), s.entry("up/a", "draining"), {Key: "up/b"}, s.entry("evacuated/w1", "1")})
	require.Equal(t, []string{"c"}, s.available())

	old := kvstore.Entry{Key: "policy", Value: []byte("3")}
	for range 2 { // a second return changes nothing
		s.now = s.now.Add(time.Second)
		s.rollBack(old, ready("a"), ready("b"), ready("c"))
		require.Equal(t, routing.Version(5), s.table.Load().Version())
		require.Equal(t, []string{"c"}, s.available(), "a drains, b is gone")
		require.True(t, s.evacuatedDomains()["w1"])
	}

	same := []kvstore.Entry{ready("a"), ready("b"), ready("c")}
	for i := range same {
		same[i].Revision = kvstore.Revision{Era: s.revision.Era, Number: uint64(i + 2)}
	}
	s.Reset(same, s.revision, false)
	require.Equal(t, []string{"c"}, s.available(), "a snapshot of the same era has the same older entries")

	s.Apply([]kvstore.Entry{s.entry("up/a", "draining"), s.entry("up/b", "ready"), {Key: "evacuated/w1"}})
	require.Equal(t, []string{"b", "c"}, s.available(), "b has registered again")
	require.False(t, s.evacuatedDomains()["w1"], "it was taken back")
}

// An upstream that drained got requests because its entry was written again in several steps,
// of which the first ones did not know that it drains.
func TestDrainingOutlivesEntriesThatAreWrittenAgainInSteps(t *testing.T) {
	s := newRollbackState()
	s.Reset([]kvstore.Entry{s.entry("up/a", "ready"), s.entry("up/b", "ready")}, s.revision, false)
	s.Apply([]kvstore.Entry{s.entry("up/a", "draining"), s.entry("up/c", "draining")})
	s.rollBack(kvstore.Entry{Key: "up/a", Value: []byte("ready")}, kvstore.Entry{Key: "up/b", Value: []byte("ready")})
	s.Apply([]kvstore.Entry{s.entry("up/a", "ready"), s.entry("up/c", "ready")})
	require.Equal(t, []string{"b"}, s.available())
	s.Reset([]kvstore.Entry{s.entry("up/a", "ready"), s.entry("up/b", "ready"), s.entry("up/c", "ready")}, s.revision, false)
	require.Equal(t, []string{"b"}, s.available(), "a snapshot of the same era")
	s.now = s.now.Add(catalog.RetentionTime)
	s.expireAbsent()
	require.Equal(t, []string{"a", "b", "c"}, s.available(), "the store's entries count in the end")
}

// An upstream whose entry could not be read any more got requests again when the retention of
// its older entry ended.
func TestUnreadableEntryEndsRetention(t *testing.T) {
	s := newRollbackState()
	s.Reset([]kvstore.Entry{s.entry("up/a", "ready"), s.entry("up/b", "ready")}, s.revision, false)
	s.Apply([]kvstore.Entry{s.entry("up/a", "draining")})
	s.rollBack(kvstore.Entry{Key: "up/a", Value: []byte("ready")}, kvstore.Entry{Key: "up/b", Value: []byte("ready")})
	s.Apply([]kvstore.Entry{s.entry("up/a", "broken")})
	s.now = s.now.Add(catalog.RetentionTime)
	s.expireAbsent()
	require.Equal(t, []string{"b"}, s.available())
}

// What the copy lacked was kept for ever.
func TestRetentionEnds(t *testing.T) {
	s := newRollbackState()
	s.Reset([]kvstore.Entry{s.entry("up/a", "ready"), s.entry("up/b", "ready")}, s.revision, false)
	s.Apply([]kvstore.Entry{s.entry("up/a", "draining"), {Key: "up/b"}, s.entry("evacuated/w1", "1")})
	s.rollBack(kvstore.Entry{Key: "up/a", Value: []byte("ready")}, kvstore.Entry{Key: "up/b", Value: []byte("ready")})
	s.now = s.now.Add(catalog.RetentionTime - time.Millisecond)
	s.expireAbsent()
	require.Empty(t, s.available())
	require.True(t, s.evacuatedDomains()["w1"])
	s.now = s.now.Add(time.Millisecond)
	s.expireAbsent()
	require.Equal(t, []string{"a", "b"}, s.available())
	require.False(t, s.evacuatedDomains()["w1"])
}

// Hosts and upstreams whose entries the copy lacked disappeared until they had registered
// again.
func TestMembersThatTheCopyLacksStayForAMoment(t *testing.T) {
	s := newRollbackState()
	s.Reset([]kvstore.Entry{s.entry("up/a", "ready"), s.entry("hosts/h/1", `{"name":"h","entry":"127.0.0.1:2"}`)}, s.revision, false)
	s.rollBack()
	require.Equal(t, []string{"a"}, s.available())
	require.Len(t, *s.hosts.Load(), 1)
	s.now = s.now.Add(catalog.AbsenceGrace + time.Millisecond)
	s.expireAbsent()
	require.Empty(t, s.available())
	require.Empty(t, *s.hosts.Load())
}

// The first snapshot of a process is no return of the store.
func TestFirstSnapshotIsNoRollback(t *testing.T) {
	s := newRollbackState()
	s.Reset([]kvstore.Entry{s.entry("up/a", "ready")}, s.revision, false)
	s.Apply([]kvstore.Entry{{Key: "up/a"}})
	require.Empty(t, s.available(), "removed at once")
	require.False(t, s.restoring(s.now))
}
