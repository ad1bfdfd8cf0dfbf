package configuration

import (
	"bytes"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

// Document is a file of JSON with comments that is decoded into a single value,
// such as the settings of a host. Unknown fields are reported as issues. It is not
// safe for concurrent use.
type Document struct {
	decoder decoder
	root    hujson.Value
	parsed  bool
}

// ParseDocument parses data. Err reports syntax errors.
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

// WellFormed reports whether the file is syntactically valid JSON with comments.
func (d *Document) WellFormed() bool { return d.parsed }

// Decode fills the struct that into points to. Fields that are absent from the
// file keep their values. Err reports failures.
func (d *Document) Decode(into any) {
	if d.parsed {
		d.decoder.decode(&d.root, reflect.ValueOf(into).Elem())
	}
}

// Issue returns an issue of the field at a path such as "entry.listen", with the
// file and line of the field.
func (d *Document) Issue(field string, code Code, detail string) Issue {
	offset := 0
	if d.parsed {
		offset = fieldOffset(d.decoder.file.data, field)
	}
	return Issue{File: d.decoder.file.name, Line: d.decoder.file.line(offset), Field: field, Code: code, Detail: detail}
}

// Err returns an *InvalidError with the issues found by parsing and decoding and
// those in further, or nil if there are none.
func (d *Document) Err(further []Issue) error {
	return newInvalidError(slices.Concat(d.decoder.issues, further))
}
