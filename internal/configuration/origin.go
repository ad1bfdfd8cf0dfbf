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

// origin is the place in a file from which one element was read.
type origin struct {
	file  int32
	index int32 // position in the collection within the file
	start int   // byte offsets of the element
	end   int
}

// origins finds the file and line of any field of a merged configuration.
type origins struct {
	files    []sourceFile
	elements map[string][]origin // by collection
}

// locate returns the place of the field sub of element i of a collection. A
// field that is absent is reported at the beginning of its element.
func (o *origins) locate(collection string, i int, sub string) (file string, line int, field string) {
	if o == nil || i >= len(o.elements[collection]) {
		return "", 0, joinField(collection, i, sub)
	}
	at := o.elements[collection][i]
	source := o.files[at.file]
	offset := at.start + fieldOffset(source.data[at.start:at.end], sub)
	return source.name, source.line(offset), joinField(collection, int(at.index), sub)
}

func joinField(collection string, i int, sub string) string {
	element := fmt.Sprintf("%s[%d]", collection, i)
	if sub == "" {
		return element
	}
	return element + "." + sub
}

// fieldOffset returns the offset of the value at a path such as
// "keys[0].digest" in element, or of its deepest ancestor that exists.
func fieldOffset(element []byte, path string) int {
	value, err := hujson.Parse(bytes.Clone(element))
	if err != nil {
		return 0
	}
	current := &value
	for _, step := range strings.FieldsFunc(path, isPathSeparator) {
		next := child(current, step)
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

func child(value *hujson.Value, step string) *hujson.Value {
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
	return text(literal)
}

// text returns the string that a literal stands for. The parser has checked the
// literal.
func text(literal hujson.Literal) string {
	if literal.Kind() != '"' || bytes.IndexByte(literal, '\\') >= 0 || !utf8.Valid(literal) {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}
