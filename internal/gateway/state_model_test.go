package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/routing"
)

// fakeSchema decodes the entries of the model. The value of a policy is its version,
// that of an upstream its state.
type fakeSchema struct{}

func (fakeSchema) Classify(key string) (ItemKind, string) {
	switch {
	case key == "policy":
		return ItemPolicy, ""
	case strings.HasPrefix(key, "up/"):
		return ItemUpstream, strings.TrimPrefix(key, "up/")
	case strings.HasPrefix(key, "evacuated/"):
		return ItemEvacuation, strings.TrimPrefix(key, "evacuated/")
	}
	return ItemOther, ""
}

func (fakeSchema) Policy(value []byte) (routing.Policy, error) {
	var version uint64
	if err := json.Unmarshal(value, &version); err != nil {
		return routing.Policy{}, err
	}
	return routing.Policy{Version: routing.Version(version), Services: []routing.Service{{Name: "s"}}}, nil
}

func (fakeSchema) Upstream(id string, value []byte, _ boottime.Instant) (catalog.Upstream, error) {
	if string(value) == "broken" {
		return catalog.Upstream{}, errors.New("broken")
	}
	return catalog.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", FailureDomain: "w1", Slots: 1, Draining: string(value) == "draining"}, nil
}

// expectedState is the reference model: the newest valid policy so far, the upstreams
// whose last entry is valid, and the evacuated failure domains.
type expectedState struct {
	version   routing.Version
	upstreams map[string]bool // whether each is draining
	evacuated map[string]bool
}

func (s *expectedState) apply(e kvstore.Entry) {
	kind, id := fakeSchema{}.Classify(e.Key)
	switch kind {
	case ItemPolicy:
		if document, err := (fakeSchema{}).Policy(e.Value); err == nil && e.Exists() {
			s.version = max(s.version, document.Version)
		}
	case ItemUpstream:
		delete(s.upstreams, id)
		if e.Exists() && string(e.Value) != "broken" {
			s.upstreams[id] = string(e.Value) == "draining"
		}
	case ItemEvacuation:
		delete(s.evacuated, id)
		if e.Exists() {
			s.evacuated[id] = true
		}
	}
}

func drawEntry(t *rapid.T, revision kvstore.Revision) kvstore.Entry {
	e := kvstore.Entry{Key: rapid.SampledFrom([]string{"policy", "up/1", "up/2", "evacuated/w1", "hosts/h/1", "other"}).Draw(t, "key")}
	if e.Key != "policy" && rapid.IntRange(0, 3).Draw(t, "deleted") == 0 {
		return e
	}
	e.Revision = revision
	switch e.Key {
	case "policy":
		e.Value = []byte(rapid.SampledFrom([]string{"1", "2", "3", "5", "8", "13", "{", `"x"`, ""}).Draw(t, "policy"))
	case "hosts/h/1":
		e.Value = []byte(rapid.SampledFrom([]string{`{"name":"h","entry":"127.0.0.1:2"}`, `{`, `[]`, `{"name":7}`}).Draw(t, "host"))
	default:
		e.Value = []byte(rapid.SampledFrom([]string{"ready", "draining", "broken"}).Draw(t, "value"))
	}
	return e
}

// Applies random changes, among them repeated, invalid and outdated ones, and
// compares the state with the model: the newest valid policy stays in force, an
// upstream with an invalid or deleted entry is removed, and evacuations follow their
// entries.
func TestStateModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		live := newLiveSettings(Settings{Host: "h", FailureDomain: "w1", Region: "west", Regions: map[string]string{"w1": "west"}, RetryWindow: time.Second})
		s := newState(live, fakeSchema{}, log.NewNopLogger(), newLimits(live, log.NewNopLogger(), boottime.Now), boottime.Now, boottime.Now)
		s.onUpstreams = func([]catalog.Upstream) {}
		expected := expectedState{upstreams: map[string]bool{}, evacuated: map[string]bool{}}
		store := map[string]kvstore.Entry{}
		last := routing.Version(0)
		for n := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			var batch []kvstore.Entry
			for range rapid.IntRange(0, 3).Draw(rt, "entries") {
				e := drawEntry(rt, kvstore.Revision{Number: uint64(n + 1)})
				batch = append(batch, e)
				delete(store, e.Key)
				if e.Exists() {
					store[e.Key] = e
				}
			}
			if rapid.IntRange(0, 5).Draw(rt, "again") == 0 {
				s.Reset(entriesOf(store), kvstore.Revision{Number: uint64(n + 1)}, false) // the store lost its history, so the changes of the batch are not seen
				expected.upstreams, expected.evacuated = map[string]bool{}, map[string]bool{}
				batch = entriesOf(store)
			} else {
				s.Apply(batch)
			}
			for _, e := range batch {
				expected.apply(e)
			}
			requireState(rt, s, expected, &last)
		}
	})
}

func entriesOf(store map[string]kvstore.Entry) []kvstore.Entry {
	var entries []kvstore.Entry
	for _, e := range store {
		entries = append(entries, e)
	}
	return entries
}

// requireState compares s with the model and checks that the policy version did not
// decrease.
func requireState(t *rapid.T, s *state, expected expectedState, last *routing.Version) {
	version := routing.Version(0)
	if table := s.table.Load(); table != nil {
		version = table.Version()
	}
	require.GreaterOrEqual(t, version, *last, "a policy went back")
	*last = version
	require.Equal(t, expected.version, version)
	got := map[string]bool{}
	for _, u := range s.upstreams.All() {
		got[u.ID] = u.Draining
	}
	require.Equal(t, expected.upstreams, got)
	require.Equal(t, expected.evacuated, s.evacuated)
	names := slices.Collect(func(yield func(string) bool) {
		for _, h := range *s.hosts.Load() {
			if !yield(h.Name) {
				return
			}
		}
	})
	require.Subset(t, []string{"h"}, append(names, "h"), fmt.Sprint(names))
}
