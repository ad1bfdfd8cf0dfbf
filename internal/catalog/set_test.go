package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

const begin = boottime.Instant(time.Hour)

func after(d time.Duration) boottime.Instant { return begin.Add(d) }

func names(s *Set[string]) []string { return s.All() }

func TestRemovalIsAtOnceWithoutAnOutage(t *testing.T) {
	s := NewSet[string]()
	s.Put("a", "a")
	s.Remove("a", after(time.Second))
	require.Empty(t, names(s))
}

func TestAbsenceAfterAnOutage(t *testing.T) {
	s := NewSet[string]()
	s.Put("lives", "lives")
	s.Put("dead", "dead")
	s.OutageEnded(begin)
	s.Retain(map[string]bool{}, after(10*time.Millisecond))
	require.Equal(t, []string{"dead", "lives"}, names(s))
	s.Put("lives", "lives")
	require.Empty(t, s.Expire(after(AbsenceGrace)))
	require.Equal(t, []string{"dead"}, s.Expire(after(AbsenceGrace+time.Millisecond)))
	require.Equal(t, []string{"lives"}, names(s))
}

// An entry that is removed some time after the return has not lapsed.
func TestRemovalLongAfterAnOutageIsAtOnce(t *testing.T) {
	s := NewSet[string]()
	s.Put("a", "a")
	s.OutageEnded(begin)
	s.Remove("a", after(AbsenceGrace+time.Millisecond))
	require.Empty(t, names(s))
}

// A second outage does not prolong the grace of an entry that was missing before.
func TestGraceIsNotProlonged(t *testing.T) {
	s := NewSet[string]()
	s.Put("a", "a")
	s.OutageEnded(begin)
	s.Remove("a", after(time.Millisecond))
	s.OutageEnded(after(time.Second))
	s.Remove("a", after(1100*time.Millisecond))
	require.Equal(t, []string{"a"}, s.Expire(after(AbsenceGrace+time.Millisecond)))
}
