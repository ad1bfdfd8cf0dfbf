package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strconv"
	"strings"
)

// intro is the hand-written beginning of the page.
//
//go:embed intro.md
var intro []byte

// rootType is the type of the whole configuration.
const rootType = "Configuration"

// Generate returns the page for the types in the Go source.
func Generate(source []byte) ([]byte, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "model.go", source, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	p := &page{types: map[string]*structType{}}
	p.collect(file)
	p.out.Write(intro)
	p.root()
	return p.out.Bytes(), nil
}

// structType is one type of the model.
type structType struct {
	doc    string
	fields []field
}

// field is one field of a type.
type field struct {
	name     string // in JSON
	goType   string
	doc      string
	optional bool
}

// page is a page in the making.
type page struct {
	types map[string]*structType
	out   bytes.Buffer
}

func (p *page) collect(file *ast.File) {
	for _, declaration := range file.Decls {
		general, ok := declaration.(*ast.GenDecl)
		if !ok || general.Tok != token.TYPE {
			continue
		}
		for _, spec := range general.Specs {
			named := spec.(*ast.TypeSpec)
			if body, ok := named.Type.(*ast.StructType); ok {
				p.types[named.Name.Name] = &structType{doc: oneLine(general.Doc), fields: fieldsOf(body)}
			}
		}
	}
}

func fieldsOf(body *ast.StructType) []field {
	var fields []field
	for _, f := range body.Fields.List {
		if f.Tag == nil {
			continue
		}
		raw, err := strconv.Unquote(f.Tag.Value)
		if err != nil {
			continue
		}
		name, options, _ := strings.Cut(reflect.StructTag(raw).Get("json"), ",")
		doc := oneLine(f.Doc)
		if doc == "" {
			doc = oneLine(f.Comment)
		}
		fields = append(fields, field{
			name:     name,
			goType:   typeName(f.Type),
			doc:      doc,
			optional: options != "",
		})
	}
	return fields
}

func oneLine(group *ast.CommentGroup) string {
	if group == nil {
		return ""
	}
	return strings.Join(strings.Fields(group.Text()), " ")
}

func typeName(expression ast.Expr) string {
	switch t := expression.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.SelectorExpr:
		return typeName(t.X) + "." + t.Sel.Name
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.ArrayType:
		return "[]" + typeName(t.Elt)
	default:
		return ""
	}
}

// root writes a section for each collection, in the order of the model.
func (p *page) root() {
	for _, f := range p.types[rootType].fields {
		element := strings.TrimPrefix(f.goType, "[]")
		fmt.Fprintf(&p.out, "\n## %s\n\n", f.name)
		p.table(element)
		for _, inner := range p.types[element].fields {
			nested := strings.TrimPrefix(inner.goType, "[]")
			if p.types[nested] != nil {
				fmt.Fprintf(&p.out, "\n### %s of %s\n\n", inner.name, f.name)
				p.table(nested)
			}
		}
	}
}

func (p *page) table(name string) {
	t := p.types[name]
	fmt.Fprintf(&p.out, "%s\n\n| field | type | required | meaning |\n|---|---|---|---|\n", t.doc)
	for _, f := range t.fields {
		required := "yes"
		if f.optional {
			required = "no"
		}
		fmt.Fprintf(&p.out, "| `%s` | %s | %s | %s |\n", f.name, p.describe(f.goType), required, strings.ReplaceAll(f.doc, "|", "\\|"))
	}
}

// describe names a Go type in the words of an operator.
func (p *page) describe(goType string) string {
	if element, ok := strings.CutPrefix(goType, "[]"); ok {
		return "list of " + p.describe(element)
	}
	switch goType {
	case "int", "int64":
		return "whole number"
	case "float64":
		return "number"
	case "bool":
		return "true or false"
	case "Duration":
		return "duration"
	case "netip.Prefix":
		return "address prefix"
	case "netip.AddrPort":
		return "address and port"
	case "time.Time":
		return "time"
	}
	if p.types[goType] != nil {
		return "object"
	}
	return "string"
}
