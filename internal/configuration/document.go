package configuration

import (
	"bytes"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

// Document is one file in JSON with comments that is decoded into a single
// value, such as the settings of a host. Unknown fields are refused.
type Document struct {
	decoder decoder
	root    hujson.Value
	parsed  bool
}

// ParseDocument parses data. Failures are reported by Invalid.
func ParseDocument(name string, data []byte) *Document {
	d := &Document{decoder: decoder{file: newSourceFile(name, data)}}
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		d.decoder.issues = append(d.decoder.issues, Issue{File: name, Line: syntaxLine(err), Code: CodeSyntax, Detail: err.Error()})
		return d
	}
	d.root = root
	d.parsed = true
	return d
}

// Syntactic reports whether the file is JSON with comments.
func (d *Document) Syntactic() bool { return d.parsed }

// Decode fills the struct that into points to. Fields that the file does not
// hold keep their values.
func (d *Document) Decode(into any) {
	if d.parsed {
		d.decoder.decode(&d.root, reflect.ValueOf(into).Elem())
	}
}

// Issue describes a fault of the field at a path such as "entry.listen".
func (d *Document) Issue(field string, code Code, detail string) Issue {
	offset := 0
	if d.parsed {
		offset = fieldOffset(d.decoder.file.data, field)
	}
	return Issue{File: d.decoder.file.name, Line: d.decoder.file.line(offset), Field: field, Code: code, Detail: detail}
}

// Invalid returns an *InvalidError with the issues of decoding and the given
// ones, or nil if there are none.
func (d *Document) Invalid(more []Issue) error {
	return invalid(slices.Concat(d.decoder.issues, more))
}
