package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// managedFile is a JSONC file of the folder that commands edit. Commands append and
// remove entries of one array and keep the operator's comments.
type managedFile struct {
	name       string
	collection string // top-level field with the array
}

// Files that commands edit.
var (
	grantedKeysFile   = managedFile{"80-granted-keys.jsonc", "grantedKeys"}
	withdrawnKeysFile = managedFile{"81-withdrawn-keys.jsonc", "withdrawnKeys"}
	drainsFile        = managedFile{"82-drains.jsonc", "drains"}
	shiftsFile        = managedFile{"83-shifts.jsonc", "shifts"}
)

// emptyContent returns the content of a new file without entries.
func (m managedFile) emptyContent() []byte {
	return fmt.Appendf(nil, "// Edited by peridotrailctl. Comments and order stay as they are.\n{\n\t\"%s\": []\n}\n", m.collection)
}

// patchOperation is one operation of a JSON Patch (RFC 6902).
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// appendEntry returns data with entry appended. data is nil if the file doesn't
// exist.
func (m managedFile) appendEntry(data []byte, entry any) ([]byte, error) {
	if data == nil {
		data = m.emptyContent()
	}
	document, err := m.parse(data)
	if err != nil {
		return nil, err
	}
	operations := []patchOperation{}
	if document.Find("/"+m.collection) == nil {
		operations = append(operations, patchOperation{Op: "add", Path: "/" + m.collection, Value: []any{}})
	}
	operations = append(operations, patchOperation{Op: "add", Path: "/" + m.collection + "/-", Value: entry})
	return m.applyPatch(document, operations)
}

// removeEntry returns data without the entry of the given name.
func (m managedFile) removeEntry(data []byte, name string) ([]byte, error) {
	notFound := &FileError{Path: m.name, Detail: fmt.Sprintf("has no entry %q in %s; if another file holds the entry, remove it there", name, m.collection)}
	if data == nil {
		return nil, notFound
	}
	document, err := m.parse(data)
	if err != nil {
		return nil, err
	}
	collection := document.Find("/" + m.collection)
	if collection == nil {
		return nil, notFound
	}
	array, ok := collection.Value.(*hujson.Array)
	if !ok {
		return nil, notFound
	}
	for i := range array.Elements {
		if entryName(&array.Elements[i]) == name {
			return m.applyPatch(document, []patchOperation{{Op: "remove", Path: fmt.Sprintf("/%s/%d", m.collection, i)}})
		}
	}
	return nil, notFound
}

func (m managedFile) parse(data []byte) (*hujson.Value, error) {
	document, err := hujson.Parse(append([]byte(nil), data...))
	if err != nil {
		return nil, &FileError{Path: m.name, Err: err}
	}
	return &document, nil
}

func (m managedFile) applyPatch(document *hujson.Value, operations []patchOperation) ([]byte, error) {
	encoded, err := json.Marshal(operations)
	if err != nil {
		return nil, &FileError{Path: m.name, Err: err}
	}
	if err := document.Patch(encoded); err != nil {
		return nil, &FileError{Path: m.name, Err: err}
	}
	document.Format()
	return document.Pack(), nil
}

// entryName returns the name field of an entry, empty if there is none.
func entryName(entry *hujson.Value) string {
	name := entry.Find("/name")
	if name == nil {
		return ""
	}
	literal, ok := name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}
