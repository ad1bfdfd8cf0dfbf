package steering

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
	"peridotrail/internal/kvstore"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// stepMade is one change of a document as the store saw it.
type stepMade struct {
	at       time.Time
	change   float64
	progress Progress
}

// shiftStore is a store with one table whose calls can fail in the given way.
type shiftStore struct {
	kvstore.Store
	now      func() time.Time
	entries  map[string]kvstore.Entry
	revision kvstore.Revision
	fault    kvstore.ErrorKind // of the next call; zero: none
	steps    []stepMade
}

func (s *shiftStore) takeFault(op, key string) (before, after error) {
	kind := s.fault
	s.fault = 0
	failure := &kvstore.Error{Kind: kind, Op: op, Key: key}
	switch kind {
	case kvstore.KindUnavailable:
		return failure, nil
	case kvstore.KindUnknownOutcome:
		return nil, failure
	}
	return nil, nil
}

func (s *shiftStore) List(_ context.Context, prefix string) ([]kvstore.Entry, error) {
	before, after := s.takeFault("list", prefix)
	if before != nil || after != nil {
		return nil, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "list"}
	}
	var entries []kvstore.Entry
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	return entries, nil
}

func (s *shiftStore) CompareAndSwap(_ context.Context, w kvstore.Write) (kvstore.Entry, error) {
	before, after := s.takeFault("compare-and-swap", w.Key)
	if before != nil {
		return kvstore.Entry{}, before
	}
	old := s.entries[w.Key]
	if old.Revision != w.Expected {
		return old, &kvstore.Error{Kind: kvstore.KindConflict, Key: w.Key}
	}
	s.revision++
	entry := kvstore.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	s.entries[w.Key] = entry
	s.record(old.Value, w.Value)
	return entry, after
}

func (s *shiftStore) record(old, value []byte) {
	var previous, next Progress
	_ = json.Unmarshal(old, &previous) // empty at first
	_ = json.Unmarshal(value, &next)
	if next.Moved != previous.Moved {
		s.steps = append(s.steps, stepMade{s.now(), next.Moved - previous.Moved, next})
	}
}

// shiftWorld is a store, several hosts that believe to lead, and a target whose
// health varies.
type shiftWorld struct {
	now     time.Time
	store   *shiftStore
	wanted  []configuration.Shift
	leading []bool
	duties  []*ShiftDuty
	source  Measure
	target  Measure
}

func newShiftWorld(hosts int) *shiftWorld {
	w := &shiftWorld{now: testNow, leading: make([]bool, hosts)}
	w.store = &shiftStore{now: func() time.Time { return w.now }, entries: map[string]kvstore.Entry{}}
	w.source = Measure{LiveHosts: 2, FreeSlots: map[string]int{"s": 20}, Slots: map[string]int{"s": 100}}
	w.target = Measure{LiveHosts: 2, FreeSlots: map[string]int{"s": 100}, Slots: map[string]int{"s": 100}}
	for i := range hosts {
		w.duties = append(w.duties, NewShiftDuty(ShiftOptions{
			Self: host.Identity{ID: host.ID(rune('a' + i)), FailureDomain: "detroit"}, Store: w.store,
			Configuration: func() *configuration.Snapshot {
				return configuration.NewSnapshot(1, &configuration.Configuration{Shifts: w.wanted})
			},
			Leading: func() (uint64, bool) { return 1, w.leading[i] },
			Measure: func(domain string) Measure {
				m := w.source
				if domain == "toronto" {
					m = w.target
				}
				m.At = w.now
				return m
			},
			Now: func() time.Time { return w.now },
		}))
	}
	return w
}

func (w *shiftWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for _, duty := range w.duties {
			duty.Once(context.Background())
		}
	}
}

func testShift() configuration.Shift {
	return configuration.Shift{Name: "s", From: "detroit", To: "toronto", Share: 0.5, Cap: 0.2, Interval: configuration.Duration(time.Minute)}
}

// moved returns the share that the store's document moves.
func (w *shiftWorld) moved(name string) float64 {
	var progress Progress
	_ = json.Unmarshal(w.store.entries[ShiftPrefix+name].Value, &progress)
	return progress.Moved
}

// checkSteps verifies every step that reached the store: no two within the
// interval and the time that callers take to follow, none above its cap.
func (w *shiftWorld) checkSteps(t require.TestingT) {
	for i, step := range w.store.steps {
		require.LessOrEqual(t, abs(step.change), step.progress.Cap+shareTolerance)
		for _, earlier := range w.store.steps[:i] {
			if earlier.progress.Name == step.progress.Name {
				require.GreaterOrEqual(t, step.at.Sub(earlier.at), step.progress.Interval.Std()+DefaultMaxAge+propagationTime)
			}
		}
	}
}

func abs(x float64) float64 { return max(x, -x) }

func TestShiftMovesInStepsAndBackWhenRemoved(t *testing.T) {
	w := newShiftWorld(1)
	w.leading[0] = true
	w.wanted = []configuration.Shift{testShift()}
	w.run(2 * time.Second)
	require.Equal(t, 0.2, w.moved("s"))
	w.run(4 * time.Minute)
	require.Equal(t, 0.5, w.moved("s"))
	require.Len(t, w.store.steps, 3)
	w.wanted = nil
	w.run(5 * time.Minute)
	require.Zero(t, w.moved("s"))
	w.checkSteps(t)
}

func TestShiftWaitsForCapacityAndRollsBackFromAFailedTarget(t *testing.T) {
	w := newShiftWorld(1)
	w.leading[0] = true
	w.wanted = []configuration.Shift{testShift()}
	w.run(90 * time.Second)
	require.Equal(t, 0.4, w.moved("s"))
	w.target.FreeSlots = map[string]int{"s": 10}
	w.run(10 * time.Minute)
	require.Equal(t, 0.4, w.moved("s"), "a cold target with 10 free slots can't take 13 more in use")
	w.target.LiveHosts = 0
	w.run(time.Minute)
	require.InDelta(t, 0.2, w.moved("s"), shareTolerance)
	w.run(2 * time.Minute)
	require.Zero(t, w.moved("s"))
	w.checkSteps(t)
}

func TestShiftDoesNotDependOnOneMoment(t *testing.T) {
	w := newShiftWorld(1)
	w.leading[0] = true
	w.wanted = []configuration.Shift{testShift()}
	w.source.Slots["r"] = 100
	w.source.FreeSlots["r"] = 20
	w.target.Slots["r"] = 100
	for i := range 400 {
		w.target.FreeSlots = map[string]int{"s": 100 * (i % 2), "r": 100 * (1 - i%2)}
		w.run(time.Second)
	}
	require.Equal(t, 0.5, w.moved("s"), "no moment shows free slots of both services")
	w.checkSteps(t)
}

func TestShiftsFromOneDomainHoldSeparateRanges(t *testing.T) {
	w := newShiftWorld(1)
	w.leading[0] = true
	second := testShift()
	second.Name = "t"
	w.wanted = []configuration.Shift{testShift(), second}
	w.run(10 * time.Minute)
	require.Equal(t, 0.5, w.moved("s"))
	require.Equal(t, 0.5, w.moved("t"))
	third := testShift()
	third.Name = "u"
	w.wanted = []configuration.Shift{third}
	w.run(time.Minute)
	require.Zero(t, w.moved("u"), "the range is still held")
	w.run(20 * time.Minute)
	require.Equal(t, 0.5, w.moved("u"))
	w.checkSteps(t)
}

// TestShiftStaysUnderItsCap runs random histories of leaders that race, pause
// and come back, lost answers, changed shifts and failing targets.
func TestShiftStaysUnderItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newShiftWorld(3)
		violated := false
		defer invariant.SetHandler(func(*invariant.Violation) { violated = true })()
		w.wanted = []configuration.Shift{testShift()}
		t.Repeat(map[string]func(*rapid.T){
			"lead": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.leading)-1).Draw(t, "host")
				w.leading[i] = !w.leading[i]
			},
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
			},
			"pause": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
			},
			"fault": func(t *rapid.T) {
				w.store.fault = rapid.SampledFrom([]kvstore.ErrorKind{kvstore.KindUnavailable, kvstore.KindUnknownOutcome}).Draw(t, "kind")
			},
			"shift": func(t *rapid.T) {
				shift := testShift()
				shift.Share = rapid.Float64Range(0.01, 1).Draw(t, "share")
				shift.Cap = rapid.Float64Range(0.01, 0.5).Draw(t, "cap")
				shift.Interval = configuration.Duration(time.Duration(rapid.IntRange(1, 90).Draw(t, "interval")) * time.Second)
				w.wanted = []configuration.Shift{shift}
			},
			"remove": func(*rapid.T) { w.wanted = nil },
			"target": func(t *rapid.T) {
				w.target.LiveHosts = rapid.IntRange(0, 1).Draw(t, "hosts")
				w.target.FreeSlots = map[string]int{"s": rapid.IntRange(0, 100).Draw(t, "free")}
			},
			"": func(t *rapid.T) {
				require.False(t, violated)
				w.checkSteps(t)
			},
		})
	})
}
