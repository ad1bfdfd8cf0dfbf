package configuration

import (
	"bytes"
	"io/fs"
	"path"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// LoadFolder reads all files of dir whose names end in ".jsonc" or ".json",
// merges them in the order of their names and validates the result. Files in
// subfolders and files whose names begin with a dot are ignored.
//
// Collections are appended. Entries with the same name are refused, wherever
// they stand, except that an entry of withdrawnKeys overrides the grant of the
// key.
//
// The error is an *InvalidError with all issues of all files.
func LoadFolder(dir fs.FS) (*Configuration, error) {
	names, err := folderFiles(dir)
	if err != nil {
		return nil, &InvalidError{Issues: []Issue{{File: ".", Code: CodeUnreadable, Detail: err.Error()}}}
	}
	m := merger{origins: origins{elements: map[string][]origin{}}}
	for _, name := range names {
		m.read(dir, name)
	}
	m.issues = append(m.issues, validate(&m.merged, &m.origins)...)
	if err := invalid(m.issues); err != nil {
		return nil, err
	}
	return &m.merged, nil
}

func folderFiles(dir fs.FS) ([]string, error) {
	entries, err := fs.ReadDir(dir, ".")
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() && isConfigurationFile(entry.Name()) {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func isConfigurationFile(name string) bool {
	if strings.HasPrefix(name, ".") {
		return false
	}
	extension := path.Ext(name)
	return extension == ".jsonc" || extension == ".json"
}

// merger accumulates the files of a folder.
type merger struct {
	merged  Configuration
	origins origins
	issues  []Issue
}

func (m *merger) read(dir fs.FS, name string) {
	data, err := fs.ReadFile(dir, name)
	if err != nil {
		m.issues = append(m.issues, Issue{File: name, Line: 1, Code: CodeUnreadable, Detail: err.Error()})
		return
	}
	d := &decoder{file: newSourceFile(name, data)}
	m.origins.files = append(m.origins.files, d.file)
	m.mergeFile(d)
	m.issues = append(m.issues, d.issues...)
}

func (m *merger) mergeFile(d *decoder) {
	// The parser keeps references to its input and may change it.
	root, err := hujson.Parse(bytes.Clone(d.file.data))
	if err != nil {
		m.issues = append(m.issues, Issue{File: d.file.name, Line: syntaxLine(err), Code: CodeSyntax, Detail: err.Error()})
		return
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		d.report(root.StartOffset, "", CodeType, "the file must hold one object")
		return
	}
	target := reflect.ValueOf(&m.merged).Elem()
	fields := jsonFields(target.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(*member)
		index, known := fields[name]
		switch {
		case !known:
			d.report(member.Name.StartOffset, abbreviate(name), CodeUnknownField, "field %q does not exist", abbreviate(name))
		case seen[name]:
			d.report(member.Name.StartOffset, name, CodeDuplicate, "field %q occurs twice in this file", name)
		default:
			seen[name] = true
			m.mergeField(d, name, &member.Value, target.Field(index))
		}
	}
}

func (m *merger) mergeField(d *decoder, name string, value *hujson.Value, into reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.report(value.StartOffset, name, CodeType, "expected an array")
		return
	}
	into.Grow(len(array.Elements))
	for i := range array.Elements {
		element := &array.Elements[i]
		last := into.Len()
		into.SetLen(last + 1)
		into.Index(last).SetZero()
		d.decode(element, into.Index(last), joinField(name, i, ""))
		m.addOrigin(name, i, element)
	}
}

func (m *merger) addOrigin(name string, index int, value *hujson.Value) {
	m.origins.elements[name] = append(m.origins.elements[name], origin{
		file:  int32(len(m.origins.files) - 1),
		index: int32(index),
		start: value.StartOffset,
		end:   value.EndOffset,
	})
}

// syntaxLine reads the line from the parser's message, which begins with
// "hujson: line L, column C:".
func syntaxLine(err error) int {
	line := 0
	_, rest, _ := strings.Cut(err.Error(), "line ")
	for _, digit := range rest {
		if digit < '0' || digit > '9' {
			break
		}
		line = line*10 + int(digit-'0')
	}
	return max(line, 1)
}
