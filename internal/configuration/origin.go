package configuration

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// sourceFile is one file of a folder.
type sourceFile struct {
	name     string
	data     []byte
	newlines []int // offsets of all line ends
}

func newSourceFile(name string, data []byte) sourceFile {
	file := sourceFile{name: name, data: data}
	for i, b := range data {
		if b == '\n' {
			file.newlines = append(file.newlines, i)
		}
	}
	return file
}

// line returns the one-based line of a byte offset.
func (f sourceFile) line(offset int) int {
	before, _ := slices.BinarySearch(f.newlines, offset)
	return before + 1
}

// origin is the position in a file from which one element was read.
type origin struct {
	file  int32 // index into origins.files
	index int32 // index of the element in its collection in the file
	start int   // byte offset of the first byte of the element
	end   int   // byte offset after the element
}

// origins maps the fields of a merged configuration to file and line.
type origins struct {
	files    []sourceFile
	elements map[string][]origin // by name of the collection
}

// locate returns the file, the line and the path in the file of a field of element
// i of a collection. The line of an absent field is that of its closest existing
// ancestor. A nil receiver returns neither file nor line.
func (o *origins) locate(collection string, i int, subfield string) (file string, line int, field string) {
	if o == nil || i >= len(o.elements[collection]) {
		return "", 0, fieldPath(collection, i, subfield)
	}
	elementOrigin := o.elements[collection][i]
	source := o.files[elementOrigin.file]
	offset := elementOrigin.start + fieldOffset(source.data[elementOrigin.start:elementOrigin.end], subfield)
	return source.name, source.line(offset), fieldPath(collection, int(elementOrigin.index), subfield)
}

func fieldPath(collection string, i int, subfield string) string {
	element := fmt.Sprintf("%s[%d]", collection, i)
	if subfield == "" {
		return element
	}
	return element + "." + subfield
}

// fieldOffset returns the byte offset of the value at a path such as
// "keys[0].digest" in element, or that of its closest existing ancestor.
func fieldOffset(element []byte, path string) int {
	value, err := hujson.Parse(bytes.Clone(element))
	if err != nil {
		return 0
	}
	current := &value
	for _, step := range strings.FieldsFunc(path, isPathSeparator) {
		next := childValue(current, step)
		if next == nil {
			break
		}
		current = next
	}
	return current.StartOffset
}

func isPathSeparator(r rune) bool {
	return r == '.' || r == '[' || r == ']'
}

func childValue(value *hujson.Value, step string) *hujson.Value {
	switch parent := value.Value.(type) {
	case *hujson.Object:
		for i := range parent.Members {
			if memberName(parent.Members[i]) == step {
				return &parent.Members[i].Value
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(step)
		if err == nil && i < len(parent.Elements) {
			return &parent.Elements[i]
		}
	}
	return nil
}

func memberName(member hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return stringValue(literal)
}

// stringValue returns the decoded string of a literal. The parser has already
// validated the literal.
func stringValue(literal hujson.Literal) string {
	if literal.Kind() != '"' || bytes.IndexByte(literal, '\\') >= 0 || !utf8.Valid(literal) {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}
