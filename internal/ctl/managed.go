package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// managedFile is a file that commands edit. It holds one collection. Comments of
// the operator stay.
type managedFile struct {
	name       string
	collection string
}

// Files that commands edit.
var (
	grantedKeysFile   = managedFile{"80-granted-keys.jsonc", "grantedKeys"}
	withdrawnKeysFile = managedFile{"81-withdrawn-keys.jsonc", "withdrawnKeys"}
	drainsFile        = managedFile{"82-drains.jsonc", "drains"}
	shiftsFile        = managedFile{"83-shifts.jsonc", "shifts"}
)

func (m managedFile) empty() []byte {
	return fmt.Appendf(nil, "// Edited by peridotrailctl. Comments and order stay as they are.\n{\n\t\"%s\": []\n}\n", m.collection)
}

// patch is a JSON patch of one operation.
type patch struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// add returns the file with an entry appended. Data is nil if there is no file.
func (m managedFile) add(data []byte, entry any) ([]byte, error) {
	if data == nil {
		data = m.empty()
	}
	root, err := m.parse(data)
	if err != nil {
		return nil, err
	}
	operations := []patch{}
	if root.Find("/"+m.collection) == nil {
		operations = append(operations, patch{Op: "add", Path: "/" + m.collection, Value: []any{}})
	}
	operations = append(operations, patch{Op: "add", Path: "/" + m.collection + "/-", Value: entry})
	return m.apply(root, operations)
}

// remove returns the file without the entry of the given name.
func (m managedFile) remove(data []byte, name string) ([]byte, error) {
	missing := &FileError{Path: m.name, Detail: fmt.Sprintf("has no entry %q in %s; an entry of another file is removed there", name, m.collection)}
	if data == nil {
		return nil, missing
	}
	root, err := m.parse(data)
	if err != nil {
		return nil, err
	}
	collection := root.Find("/" + m.collection)
	if collection == nil {
		return nil, missing
	}
	array, ok := collection.Value.(*hujson.Array)
	if !ok {
		return nil, missing
	}
	for i := range array.Elements {
		if entryName(&array.Elements[i]) == name {
			return m.apply(root, []patch{{Op: "remove", Path: fmt.Sprintf("/%s/%d", m.collection, i)}})
		}
	}
	return nil, missing
}

func (m managedFile) parse(data []byte) (*hujson.Value, error) {
	root, err := hujson.Parse(append([]byte(nil), data...))
	if err != nil {
		return nil, &FileError{Path: m.name, Err: err}
	}
	return &root, nil
}

func (m managedFile) apply(root *hujson.Value, operations []patch) ([]byte, error) {
	encoded, err := json.Marshal(operations)
	if err != nil {
		return nil, &FileError{Path: m.name, Err: err}
	}
	if err := root.Patch(encoded); err != nil {
		return nil, &FileError{Path: m.name, Err: err}
	}
	root.Format()
	return root.Pack(), nil
}

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
