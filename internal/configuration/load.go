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
// Collections of several files are concatenated. Two entries with the same name
// are rejected, whether they are in the same file or not. The only override is an
// entry of withdrawnKeys, which overrides the grant of its key in any file.
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
	if err := newInvalidError(m.issues); err != nil {
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

// maxParallelFiles limits the number of files that are decoded concurrently.
const maxParallelFiles = 4

// readFiles decodes files and returns them in the order of names.
func readFiles(dir fs.FS, names []string) []*loadedFile {
	files := make([]*loadedFile, len(names))
	semaphore := make(chan struct{}, maxParallelFiles)
	var readers sync.WaitGroup
	for i, name := range names {
		semaphore <- struct{}{}
		readers.Go(func() {
			defer func() { <-semaphore }()
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
	origins map[string][]origin // by name of the collection
	issues  []Issue
}

func readFile(dir fs.FS, name string) *loadedFile {
	data, err := fs.ReadFile(dir, name)
	if err != nil {
		issue := Issue{File: name, Line: 1, Code: CodeUnreadable, Detail: err.Error()}
		return &loadedFile{source: sourceFile{name: name}, issues: []Issue{issue}}
	}
	f := &loadedFile{source: newSourceFile(name, data), origins: map[string][]origin{}}
	// The parser keeps references to its input and may modify it.
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		f.issues = []Issue{{File: name, Line: syntaxLine(err), Code: CodeSyntax, Detail: err.Error()}}
		return f
	}
	d := &decoder{file: f.source}
	d.decode(&root, reflect.ValueOf(&f.content).Elem())
	f.issues = d.issues
	f.recordOrigins(&root)
	return f
}

// recordOrigins stores the position of each element of each collection.
func (f *loadedFile) recordOrigins(root *hujson.Value) {
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

// merger merges the files of a folder.
type merger struct {
	merged  Configuration
	origins origins
	issues  []Issue
}

func (m *merger) add(f *loadedFile) {
	fileIndex := int32(len(m.origins.files))
	m.origins.files = append(m.origins.files, f.source)
	m.issues = append(m.issues, f.issues...)
	m.merged.appendObjects(&f.content)
	for collection, fileOrigins := range f.origins {
		for i := range fileOrigins {
			fileOrigins[i].file = fileIndex
		}
		m.origins.elements[collection] = append(m.origins.elements[collection], fileOrigins...)
	}
}

// syntaxLine extracts the line number from the parser's error message, which
// begins with "hujson: line L, column C:". It returns 1 if there is none.
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
