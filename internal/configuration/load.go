package configuration

import (
	"bytes"
	"io/fs"
	"path"
	"reflect"
	"slices"
	"strings"
	"sync"

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
	for _, file := range readFiles(dir, names) {
		m.add(file)
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

// maxParallelFiles bounds the files that are decoded at the same time.
const maxParallelFiles = 4

// readFiles decodes files and returns them in the order of names.
func readFiles(dir fs.FS, names []string) []*loadedFile {
	files := make([]*loadedFile, len(names))
	slots := make(chan struct{}, maxParallelFiles)
	var readers sync.WaitGroup
	for i, name := range names {
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			files[i] = readFile(dir, name)
		})
	}
	readers.Wait()
	return files
}

// loadedFile is one decoded file.
type loadedFile struct {
	source  sourceFile
	content Configuration
	origins map[string][]origin // by collection
	issues  []Issue
}

func readFile(dir fs.FS, name string) *loadedFile {
	data, err := fs.ReadFile(dir, name)
	if err != nil {
		issue := Issue{File: name, Line: 1, Code: CodeUnreadable, Detail: err.Error()}
		return &loadedFile{source: sourceFile{name: name}, issues: []Issue{issue}}
	}
	f := &loadedFile{source: newSourceFile(name, data), origins: map[string][]origin{}}
	// The parser keeps references to its input and may change it.
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		f.issues = []Issue{{File: name, Line: syntaxLine(err), Code: CodeSyntax, Detail: err.Error()}}
		return f
	}
	d := &decoder{file: f.source}
	d.decode(&root, reflect.ValueOf(&f.content).Elem())
	f.issues = d.issues
	f.locate(&root)
	return f
}

// locate records where each element stands.
func (f *loadedFile) locate(root *hujson.Value) {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return
	}
	for i := range object.Members {
		name := memberName(object.Members[i])
		array, isArray := object.Members[i].Value.Value.(*hujson.Array)
		if !isArray || occursBefore(object, i, name) {
			continue
		}
		for j := range array.Elements {
			f.origins[name] = append(f.origins[name], origin{
				index: int32(j),
				start: array.Elements[j].StartOffset,
				end:   array.Elements[j].EndOffset,
			})
		}
	}
}

// merger accumulates the files of a folder.
type merger struct {
	merged  Configuration
	origins origins
	issues  []Issue
}

func (m *merger) add(f *loadedFile) {
	number := int32(len(m.origins.files))
	m.origins.files = append(m.origins.files, f.source)
	m.issues = append(m.issues, f.issues...)
	m.merged.appendObjects(&f.content)
	for collection, places := range f.origins {
		for i := range places {
			places[i].file = number
		}
		m.origins.elements[collection] = append(m.origins.elements[collection], places...)
	}
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
