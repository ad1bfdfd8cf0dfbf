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

// intro is the manually written introduction of the page.
//
//go:embed intro.md
var intro []byte

// rootType is the name of the type that holds all collections.
const rootType = "Configuration"

// Generate returns the reference page, in Markdown, for the types in a Go source
// file.
func Generate(source []byte) ([]byte, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "model.go", source, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	p := &page{types: map[string]*structType{}}
	p.addTypes(file)
	p.out.Write(intro)
	p.writeCollections()
	return p.out.Bytes(), nil
}

// structType is one struct type of the configuration.
type structType struct {
	doc    string
	fields []field
}

// field is one field of a struct type.
type field struct {
	name     string // JSON name
	goType   string
	doc      string
	optional bool
}

// page accumulates the types of the configuration and the generated text.
type page struct {
	types map[string]*structType
	out   bytes.Buffer
}

func (p *page) addTypes(file *ast.File) {
	for _, declaration := range file.Decls {
		genDecl, ok := declaration.(*ast.GenDecl)
		if !ok || genDecl.Tok != token.TYPE {
			continue
		}
		for _, spec := range genDecl.Specs {
			typeSpec := spec.(*ast.TypeSpec)
			if body, ok := typeSpec.Type.(*ast.StructType); ok {
				p.types[typeSpec.Name.Name] = &structType{doc: oneLine(genDecl.Doc), fields: fieldsOf(body)}
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

// writeCollections writes a section for each collection, in the order of the fields
// of rootType.
func (p *page) writeCollections() {
	for _, f := range p.types[rootType].fields {
		element := strings.TrimPrefix(f.goType, "[]")
		fmt.Fprintf(&p.out, "\n## %s\n\n", f.name)
		p.writeTable(element)
		for _, inner := range p.types[element].fields {
			nested := strings.TrimPrefix(inner.goType, "[]")
			if p.types[nested] != nil {
				fmt.Fprintf(&p.out, "\n### %s of %s\n\n", inner.name, f.name)
				p.writeTable(nested)
			}
		}
	}
}

func (p *page) writeTable(name string) {
	t := p.types[name]
	fmt.Fprintf(&p.out, "%s\n\n| field | type | required | meaning |\n|---|---|---|---|\n", t.doc)
	for _, f := range t.fields {
		required := "yes"
		if f.optional {
			required = "no"
		}
		fmt.Fprintf(&p.out, "| `%s` | %s | %s | %s |\n", f.name, p.typeDescription(f.goType), required, strings.ReplaceAll(f.doc, "|", "\\|"))
	}
}

// typeDescription describes a Go type for operators.
func (p *page) typeDescription(goType string) string {
	if element, ok := strings.CutPrefix(goType, "[]"); ok {
		return "list of " + p.typeDescription(element)
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
