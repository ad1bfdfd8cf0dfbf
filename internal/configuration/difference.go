package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind classifies the change of an entry.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one entry that differs between two configurations.
type Change struct {
	Collection string          `json:"collection"`
	Name       string          `json:"name"`
	Kind       ChangeKind      `json:"kind"`
	Before     json.RawMessage `json:"before,omitempty"`
	After      json.RawMessage `json:"after,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s: %s", c.Collection, c.Name, c.After)
	case Removed:
		return fmt.Sprintf("- %s %s: %s", c.Collection, c.Name, c.Before)
	default:
		return fmt.Sprintf("~ %s %s: %s -> %s", c.Collection, c.Name, c.Before, c.After)
	}
}

// Difference lists the entries that differ between two configurations. The
// order of entries within a collection is not compared.
type Difference struct {
	Changes []Change `json:"changes"`
}

// Empty reports whether there is no change.
func (d Difference) Empty() bool { return len(d.Changes) == 0 }

// String returns the changes, one per line.
func (d Difference) String() string {
	lines := make([]string, len(d.Changes))
	for i, change := range d.Changes {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

// Compare returns the changes from before to after. A nil argument stands for an
// empty configuration.
func Compare(before, after *Configuration) Difference {
	if before == nil {
		before = &Configuration{}
	}
	if after == nil {
		after = &Configuration{}
	}
	var d Difference
	from := reflect.ValueOf(before).Elem()
	to := reflect.ValueOf(after).Elem()
	for i := range from.NumField() {
		field := from.Type().Field(i)
		if !field.IsExported() || field.Name == "ClientBlocks" {
			continue
		}
		d.compareField(jsonName(field), from.Field(i), to.Field(i))
	}
	d.compareBlocks(before, after)
	return d
}

func (d *Difference) compareField(collection string, before, after reflect.Value) {
	remaining := make(map[string]json.RawMessage, after.Len())
	for i := range after.Len() {
		remaining[entryName(after.Index(i).Interface())] = rawJSON(after.Index(i))
	}
	for i := range before.Len() {
		name := entryName(before.Index(i).Interface())
		d.compareEntry(collection, name, rawJSON(before.Index(i)), remaining[name])
		delete(remaining, name)
	}
	for i := range after.Len() {
		name := entryName(after.Index(i).Interface())
		if data, added := remaining[name]; added {
			d.compareEntry(collection, name, nil, data)
		}
	}
}

func (d *Difference) compareEntry(collection, name string, before, after json.RawMessage) {
	change := Change{Collection: collection, Name: name, Before: before, After: after}
	switch {
	case bytes.Equal(before, after):
		return
	case before == nil:
		change.Kind = Added
	case after == nil:
		change.Kind = Removed
	default:
		change.Kind = Changed
	}
	d.Changes = append(d.Changes, change)
}

// compareBlocks merges the two sorted lists of client blocks.
func (d *Difference) compareBlocks(before, after *Configuration) {
	from, to := before.sortedBlocks(), after.sortedBlocks()
	for len(from) > 0 || len(to) > 0 {
		switch order := headOrder(from, to); {
		case order < 0:
			d.compareEntry("clientBlocks", entryName(from[0]), rawJSON(reflect.ValueOf(from[0])), nil)
			from = from[1:]
		case order > 0:
			d.compareEntry("clientBlocks", entryName(to[0]), nil, rawJSON(reflect.ValueOf(to[0])))
			to = to[1:]
		default:
			d.compareBlock(from[0], to[0])
			from, to = from[1:], to[1:]
		}
	}
}

// headOrder compares the prefixes of the first blocks of two lists. An empty list
// sorts last. At least one list must not be empty.
func headOrder(from, to []ClientBlock) int {
	switch {
	case len(from) == 0:
		return 1
	case len(to) == 0:
		return -1
	default:
		return comparePrefixes(from[0].Prefix, to[0].Prefix)
	}
}

func (d *Difference) compareBlock(before, after ClientBlock) {
	if reflect.DeepEqual(before.Domains, after.Domains) {
		return
	}
	d.compareEntry("clientBlocks", entryName(before), rawJSON(reflect.ValueOf(before)), rawJSON(reflect.ValueOf(after)))
}

// entryName returns the text that identifies an entry within its collection.
func entryName(entry any) string {
	switch e := entry.(type) {
	case Route:
		return e.Service + e.Prefix
	case ClientBlock:
		return e.Prefix.String()
	case GrantedKey:
		return e.Account + "/" + e.ID
	case WithdrawnKey:
		return e.Account + "/" + e.Key
	default:
		return reflect.ValueOf(entry).FieldByName("Name").String()
	}
}

// rawJSON returns the JSON encoding of an entry. An entry that cannot be encoded,
// which only an invalid configuration can hold, results in the error text.
func rawJSON(value reflect.Value) json.RawMessage {
	data, err := json.Marshal(value.Interface())
	if err != nil {
		return json.RawMessage(err.Error())
	}
	return data
}
