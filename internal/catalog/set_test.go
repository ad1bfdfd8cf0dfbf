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
