package configuration

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder converts syntax trees of one file into typed values. It collects
// every issue in place of stopping at the first.
type decoder struct {
	file   sourceFile
	issues []Issue
}

func (d *decoder) report(offset int, field string, code Code, format string, args ...any) {
	d.issues = append(d.issues, Issue{
		File:   d.file.name,
		Line:   d.file.line(offset),
		Field:  field,
		Code:   code,
		Detail: fmt.Sprintf(format, args...),
	})
}

// decode fills into, which must be addressable, from value. Field is the path
// of value within the file.
func (d *decoder) decode(value *hujson.Value, into reflect.Value, field string) {
	if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		d.report(value.StartOffset, field, CodeType, "null is not allowed")
		return
	}
	if decodesItself(into) {
		d.decodeLiteral(value, into, field)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		target := reflect.New(into.Type().Elem())
		d.decode(value, target.Elem(), field)
		into.Set(target)
	case reflect.Struct:
		d.decodeObject(value, into, field)
	case reflect.Slice:
		d.decodeArray(value, into, field)
	default:
		d.decodeLiteral(value, into, field)
	}
}

func decodesItself(into reflect.Value) bool {
	switch into.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func (d *decoder) decodeLiteral(value *hujson.Value, into reflect.Value, field string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.report(value.StartOffset, field, CodeType, "expected %s", describe(into.Type()))
		return
	}
	if err := json.Unmarshal(literal, into.Addr().Interface()); err != nil {
		d.report(value.StartOffset, field, CodeType, "%s is not %s", abbreviate(string(literal)), describe(into.Type()))
	}
}

func (d *decoder) decodeObject(value *hujson.Value, into reflect.Value, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(value.StartOffset, field, CodeType, "expected an object")
		return
	}
	fields := jsonFields(into.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(*member)
		path := field + "." + abbreviate(name)
		index, known := fields[name]
		switch {
		case !known:
			d.report(member.Name.StartOffset, path, CodeUnknownField, "field %q does not exist", abbreviate(name))
		case seen[name]:
			d.report(member.Name.StartOffset, path, CodeDuplicate, "field %q occurs twice", name)
		default:
			seen[name] = true
			d.decode(&member.Value, into.Field(index), path)
		}
	}
}

func (d *decoder) decodeArray(value *hujson.Value, into reflect.Value, field string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.report(value.StartOffset, field, CodeType, "expected an array")
		return
	}
	elements := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], elements.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
	into.Set(elements)
}

// jsonFields returns the index of each field of a struct type by its JSON name.
func jsonFields(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			fields[jsonName(t.Field(i))] = i
		}
	}
	return fields
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// describe names a type in the words of an operator.
func describe(t reflect.Type) string {
	switch t.String() {
	case "configuration.Duration":
		return `a duration such as "250ms"`
	case "netip.AddrPort":
		return `an address and port such as "192.0.2.1:8080"`
	case "netip.Prefix":
		return `an address prefix such as "192.0.2.0/24"`
	case "time.Time":
		return `a time such as "2026-12-03T21:00:00Z"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}

const maxQuotedBytes = 80

// abbreviate shortens text from a file for use in a message.
func abbreviate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
