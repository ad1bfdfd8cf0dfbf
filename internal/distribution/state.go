package distribution

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// StatePrefix begins the keys of all state documents.
const StatePrefix = "peridotrail/state/"

// State holds the state documents known to this host. A document is replaced only by
// one with a greater store revision and is never deleted; writers store an empty
// value instead. It is safe for concurrent use.
type State struct {
	documents atomic.Pointer[map[string]Document] // never modified; writers store a new map
	changed   chan struct{}

	mu sync.Mutex // serialises writers
}

func newState() *State {
	s := &State{changed: make(chan struct{}, 1)}
	s.documents.Store(&map[string]Document{})
	return s
}

// Get returns the document under key.
func (s *State) Get(key string) (Document, bool) {
	document, ok := (*s.documents.Load())[key]
	return document, ok
}

// List returns the documents whose keys begin with prefix, sorted by key.
func (s *State) List(prefix string) []Document {
	var documents []Document
	for key, document := range *s.documents.Load() {
		if strings.HasPrefix(key, prefix) {
			documents = append(documents, document)
		}
	}
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(a.Key, b.Key) })
	return documents
}

// Changed returns a channel that receives a value after a change. Several changes may
// be reported as one. The channel supports one receiver.
func (s *State) Changed() <-chan struct{} { return s.changed }

// merge stores the documents under StatePrefix that are newer than the known ones and
// reports whether there were any.
func (s *State) merge(documents []Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := *s.documents.Load()
	var next map[string]Document
	for _, document := range documents {
		if !strings.HasPrefix(document.Key, StatePrefix) || document.Revision.Compare(current[document.Key].Revision) <= 0 {
			continue
		}
		if next == nil {
			next = make(map[string]Document, len(current)+1)
			for key, old := range current {
				next[key] = old
			}
		}
		if next[document.Key].Revision.Before(document.Revision) {
			next[document.Key] = document
		}
	}
	if next == nil {
		return false
	}
	s.documents.Store(&next)
	select {
	case s.changed <- struct{}{}:
	default: // a notification is pending already
	}
	return true
}

// versions returns the version of every document, sorted by key.
func (s *State) versions() []Version {
	documents := s.List("")
	versions := make([]Version, len(documents))
	for i, document := range documents {
		versions[i] = Version{Key: document.Key, Revision: document.Revision}
	}
	return versions
}

// newerThan returns the documents that are newer than the given versions.
func (s *State) newerThan(versions []Version) []Document {
	byKey := make(map[string]Version, len(versions))
	for _, version := range versions {
		byKey[version.Key] = version
	}
	var newer []Document
	for _, document := range s.List("") {
		if byKey[document.Key].Revision.Before(document.Revision) {
			newer = append(newer, document)
		}
	}
	return newer
}
