package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

const start = boottime.Instant(time.Hour)

func after(d time.Duration) boottime.Instant { return start.Add(d) }

func members(s *Set[string]) []string { return s.All() }

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	s := NewSet[string]()
	s.Put("a", "a")
	s.Remove("a", after(time.Second))
	require.Empty(t, members(s))
}

func TestAbsentMembersExpireAfterOutage(t *testing.T) {
	s := NewSet[string]()
	s.Put("lives", "lives")
	s.Put("dead", "dead")
	s.OutageEnded(start)
	s.Retain(map[string]bool{}, after(10*time.Millisecond))
	require.Equal(t, []string{"dead", "lives"}, members(s))
	s.Put("lives", "lives")
	require.Empty(t, s.Expire(after(AbsenceGrace)))
	require.Equal(t, []string{"dead"}, s.Expire(after(AbsenceGrace+time.Millisecond)))
	require.Equal(t, []string{"lives"}, members(s))
}

// An entry that is deleted later than AbsenceGrace after an outage did not expire
// because of the outage.
func TestRemovalLongAfterOutageIsImmediate(t *testing.T) {
	s := NewSet[string]()
	s.Put("a", "a")
	s.OutageEnded(start)
	s.Remove("a", after(AbsenceGrace+time.Millisecond))
	require.Empty(t, members(s))
}

// A second outage must not extend the grace period of an entry that was missing
// already.
func TestSecondOutageDoesNotExtendGrace(t *testing.T) {
	s := NewSet[string]()
	s.Put("a", "a")
	s.OutageEnded(start)
	s.Remove("a", after(time.Millisecond))
	s.OutageEnded(after(time.Second))
	s.Remove("a", after(1100*time.Millisecond))
	require.Equal(t, []string{"a"}, s.Expire(after(AbsenceGrace+time.Millisecond)))
}

// Members whose entries expire while the store rejects this host may be rejected too.
func TestMembersAreHeld(t *testing.T) {
	s := NewSet[string]()
	for _, id := range []string{"absent before", "lives", "dead"} {
		s.Put(id, id)
	}
	s.OutageEnded(start)
	s.Remove("absent before", start)
	s.Hold(after(time.Second))
	s.Remove("lives", after(time.Second))
	s.Hold(after(2 * time.Second)) // is held already
	s.Remove("dead", after(4*time.Second))
	s.Remove("dead", after(5*time.Second))
	require.Empty(t, s.Expire(after(time.Hour)))
	require.Len(t, members(s), 3)
	s.Release(after(time.Hour))
	s.Release(after(2 * time.Hour)) // was released already
	require.Equal(t, []string{"absent before"}, s.Expire(after(time.Hour)), "its time was over before")
	s.Put("lives", "lives")
	require.Empty(t, s.Expire(after(time.Hour+AbsenceGrace)))
	require.Equal(t, []string{"dead"}, s.Expire(after(time.Hour+AbsenceGrace+time.Millisecond)))
	s.Remove("lives", after(2*time.Hour))
	require.Empty(t, members(s), "nothing is held any more")
}
