package configuration

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

// decoder converts the syntax tree of one file into typed values. It collects all
// issues instead of stopping at the first.
type decoder struct {
	file   sourceFile
	path   []pathStep // path of the value that is being decoded
	issues []Issue
}

// pathStep is one step of a path: a member of an object or an element of an array.
type pathStep struct {
	element bool   // whether the step is an array element
	name    string // name of the object member
	index   int    // index of the array element
}

func (d *decoder) pushPath(step pathStep) { d.path = append(d.path, step) }
func (d *decoder) popPath()               { d.path = d.path[:len(d.path)-1] }

// field returns the current path in text form, such as "clientAccounts[3].rate".
func (d *decoder) field() string {
	var b strings.Builder
	for i, step := range d.path {
		switch {
		case step.element:
			fmt.Fprintf(&b, "[%d]", step.index)
		case i > 0:
			b.WriteString("." + abbreviate(step.name))
		default:
			b.WriteString(abbreviate(step.name))
		}
	}
	return b.String()
}

func (d *decoder) report(offset int, code Code, format string, args ...any) {
	d.issues = append(d.issues, Issue{
		File:   d.file.name,
		Line:   d.file.line(offset),
		Field:  d.field(),
		Code:   code,
		Detail: fmt.Sprintf(format, args...),
	})
}

// decode stores value in into, which must be addressable.
func (d *decoder) decode(value *hujson.Value, into reflect.Value) {
	if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		d.report(value.StartOffset, CodeType, "null is not allowed")
		return
	}
	if into.Kind() == reflect.String {
		d.decodeString(value, into)
		return
	}
	if implementsUnmarshaler(into) {
		d.decodeLiteral(value, into)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		target := reflect.New(into.Type().Elem())
		d.decode(value, target.Elem())
		into.Set(target)
	case reflect.Struct:
		d.decodeObject(value, into)
	case reflect.Slice:
		d.decodeArray(value, into)
	default:
		d.decodeLiteral(value, into)
	}
}

func implementsUnmarshaler(into reflect.Value) bool {
	switch into.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func (d *decoder) decodeString(value *hujson.Value, into reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.report(value.StartOffset, CodeType, "expected %s", typeDescription(into.Type()))
		return
	}
	into.SetString(stringValue(literal))
}

func (d *decoder) decodeLiteral(value *hujson.Value, into reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.report(value.StartOffset, CodeType, "expected %s", typeDescription(into.Type()))
		return
	}
	if err := json.Unmarshal(literal, into.Addr().Interface()); err != nil {
		d.report(value.StartOffset, CodeType, "%s is not %s", abbreviate(string(literal)), typeDescription(into.Type()))
	}
}

func (d *decoder) decodeObject(value *hujson.Value, into reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(value.StartOffset, CodeType, "expected an object")
		return
	}
	fields := jsonFields(into.Type())
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(*member)
		index, known := fields[name]
		d.pushPath(pathStep{name: name})
		switch {
		case !known:
			d.report(member.Name.StartOffset, CodeUnknownField, "field %q does not exist", abbreviate(name))
		case occursBefore(object, i, name):
			d.report(member.Name.StartOffset, CodeDuplicate, "field %q occurs twice", name)
		default:
			d.decode(&member.Value, into.Field(index))
		}
		d.popPath()
	}
}

// occursBefore reports whether a member before index i has the name. The linear
// search is cheap because an object has few members.
func occursBefore(object *hujson.Object, i int, name string) bool {
	for j := range i {
		if memberName(object.Members[j]) == name {
			return true
		}
	}
	return false
}

func (d *decoder) decodeArray(value *hujson.Value, into reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.report(value.StartOffset, CodeType, "expected an array")
		return
	}
	elements := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.pushPath(pathStep{element: true, index: i})
		d.decode(&array.Elements[i], elements.Index(i))
		d.popPath()
	}
	into.Set(elements)
}

var jsonFieldCache sync.Map // reflect.Type to map[string]int, the result of jsonFields

// jsonFields returns the index of each exported field of a struct type by its
// JSON name.
func jsonFields(t reflect.Type) map[string]int {
	if fields, ok := jsonFieldCache.Load(t); ok {
		return fields.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			fields[jsonName(t.Field(i))] = i
		}
	}
	jsonFieldCache.Store(t, fields)
	return fields
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// typeDescription describes a type in an error message for operators.
func typeDescription(t reflect.Type) string {
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

// abbreviate truncates text from a file for use in an error message.
func abbreviate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
