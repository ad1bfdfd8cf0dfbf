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

// recordedStep is one change of the moved share that reached the store.
type recordedStep struct {
	at       time.Time
	change   float64
	progress Progress
}

// fakeStore is an in-memory store whose next call can be made to fail.
type fakeStore struct {
	kvstore.Store
	now      func() time.Time
	entries  map[string]kvstore.Entry
	revision kvstore.Revision
	fault    kvstore.ErrorKind // error kind of the next call; zero: none
	steps    []recordedStep
}

// nextFault consumes the fault and returns the error to report before the call
// takes effect, or after it.
func (s *fakeStore) nextFault(op, key string) (before, after error) {
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

func (s *fakeStore) List(_ context.Context, prefix string) ([]kvstore.Entry, error) {
	before, after := s.nextFault("list", prefix)
	if before != nil || after != nil {
		return nil, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "list"}
	}
	var entries []kvstore.Entry
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	return entries, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, w kvstore.Write) (kvstore.Entry, error) {
	before, after := s.nextFault("compare-and-swap", w.Key)
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

func (s *fakeStore) record(old, value []byte) {
	var previous, next Progress
	_ = json.Unmarshal(old, &previous) // empty at first
	_ = json.Unmarshal(value, &next)
	if next.Moved != previous.Moved {
		s.steps = append(s.steps, recordedStep{s.now(), next.Moved - previous.Moved, next})
	}
}

// shiftSimulation runs the controllers of several hosts on one store. Any number of
// them may act as leader, and tests can change the source and the target.
type shiftSimulation struct {
	now         time.Time
	store       *fakeStore
	configured  []configuration.Shift
	leading     []bool
	controllers []*ShiftController
	source      Measurement
	target      Measurement
}

func newShiftSimulation(hosts int) *shiftSimulation {
	w := &shiftSimulation{now: testNow, leading: make([]bool, hosts)}
	w.store = &fakeStore{now: func() time.Time { return w.now }, entries: map[string]kvstore.Entry{}}
	w.source = Measurement{LiveHosts: 2, FreeSlots: map[string]int{"s": 20}, Slots: map[string]int{"s": 100}}
	w.target = Measurement{LiveHosts: 2, FreeSlots: map[string]int{"s": 100}, Slots: map[string]int{"s": 100}}
	for i := range hosts {
		w.controllers = append(w.controllers, NewShiftController(ShiftOptions{
			Self: host.Identity{ID: host.ID(rune('a' + i)), FailureDomain: "detroit"}, Store: w.store,
			Configuration: func() *configuration.Snapshot {
				return configuration.NewSnapshot(1, &configuration.Configuration{Shifts: w.configured})
			},
			Leading: func() (uint64, bool) { return 1, w.leading[i] },
			Measure: func(domain string) Measurement {
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

func (w *shiftSimulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for _, controller := range w.controllers {
			controller.RunOnce(context.Background())
		}
	}
}

func testShift() configuration.Shift {
	return configuration.Shift{Name: "s", From: "detroit", To: "toronto", Share: 0.5, Cap: 0.2, Interval: configuration.Duration(time.Minute)}
}

// moved returns the moved share in the stored document.
func (w *shiftSimulation) moved(name string) float64 {
	var progress Progress
	_ = json.Unmarshal(w.store.entries[ShiftPrefix+name].Value, &progress)
	return progress.Moved
}

// checkSteps checks every step that reached the store: none is above its cap, and
// no two of a shift are closer than the interval plus the time until callers act
// on a step.
func (w *shiftSimulation) checkSteps(t require.TestingT) {
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
	w := newShiftSimulation(1)
	w.leading[0] = true
	w.configured = []configuration.Shift{testShift()}
	w.run(2 * time.Second)
	require.Equal(t, 0.2, w.moved("s"))
	w.run(4 * time.Minute)
	require.Equal(t, 0.5, w.moved("s"))
	require.Len(t, w.store.steps, 3)
	w.configured = nil
	w.run(5 * time.Minute)
	require.Zero(t, w.moved("s"))
	w.checkSteps(t)
}

func TestShiftWaitsForCapacityAndRollsBackFromAFailedTarget(t *testing.T) {
	w := newShiftSimulation(1)
	w.leading[0] = true
	w.configured = []configuration.Shift{testShift()}
	w.run(90 * time.Second)
	require.Equal(t, 0.4, w.moved("s"))
	w.target.FreeSlots = map[string]int{"s": 10}
	w.run(10 * time.Minute)
	require.Equal(t, 0.4, w.moved("s"), "a target with cold caches and 10 free slots has no capacity for 13 more requests")
	w.target.LiveHosts = 0
	w.run(time.Minute)
	require.InDelta(t, 0.2, w.moved("s"), shareTolerance)
	w.run(2 * time.Minute)
	require.Zero(t, w.moved("s"))
	w.checkSteps(t)
}

func TestShiftUsesAveragedFreeSlots(t *testing.T) {
	w := newShiftSimulation(1)
	w.leading[0] = true
	w.configured = []configuration.Shift{testShift()}
	w.source.Slots["r"] = 100
	w.source.FreeSlots["r"] = 20
	w.target.Slots["r"] = 100
	for i := range 400 {
		w.target.FreeSlots = map[string]int{"s": 100 * (i % 2), "r": 100 * (1 - i%2)}
		w.run(time.Second)
	}
	require.Equal(t, 0.5, w.moved("s"), "the averages of both services are free although no single measurement shows both free")
	w.checkSteps(t)
}

func TestShiftsFromOneDomainHoldSeparateRanges(t *testing.T) {
	w := newShiftSimulation(1)
	w.leading[0] = true
	second := testShift()
	second.Name = "t"
	w.configured = []configuration.Shift{testShift(), second}
	w.run(10 * time.Minute)
	require.Equal(t, 0.5, w.moved("s"))
	require.Equal(t, 0.5, w.moved("t"))
	third := testShift()
	third.Name = "u"
	w.configured = []configuration.Shift{third}
	w.run(time.Minute)
	require.Zero(t, w.moved("u"), "the other shifts still hold the range")
	w.run(20 * time.Minute)
	require.Equal(t, 0.5, w.moved("u"))
	w.checkSteps(t)
}

// TestShiftStaysUnderItsCap runs random sequences of concurrent, paused and
// returning leaders, lost store responses, changed shifts and failing targets.
func TestShiftStaysUnderItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newShiftSimulation(3)
		violated := false
		defer invariant.SetHandler(func(*invariant.Violation) { violated = true })()
		w.configured = []configuration.Shift{testShift()}
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
				w.configured = []configuration.Shift{shift}
			},
			"remove": func(*rapid.T) { w.configured = nil },
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
