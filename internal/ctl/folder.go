package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"peridotrail/internal/configuration"
)

// baseFile holds the revision that the operator has seen. It stands in the
// folder and is not read as configuration.
const baseFile = ".peridotrail-base"

// base is the content of the base file.
type base struct {
	Revision configuration.Revision `json:"revision"`
	Digest   configuration.Digest   `json:"digest"`
}

// folder is a folder of configuration files on the operator's machine.
type folder struct {
	path string
}

// load reads and validates all files.
func (f folder) load() (*configuration.Configuration, error) {
	info, err := os.Stat(f.path)
	if err != nil {
		return nil, &FileError{Path: f.path, Err: err}
	}
	if !info.IsDir() {
		return nil, &FileError{Path: f.path, Detail: "is not a folder"}
	}
	return configuration.LoadFolder(os.DirFS(f.path))
}

// base returns the revision that the operator has seen; zero if none.
func (f folder) base() (base, error) {
	path := filepath.Join(f.path, baseFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return base{}, nil
	}
	if err != nil {
		return base{}, &FileError{Path: path, Err: err}
	}
	var seen base
	if err := json.Unmarshal(data, &seen); err != nil {
		return base{}, &FileError{Path: path, Detail: "remove the file and run diff --seen", Err: err}
	}
	return seen, nil
}

func (f folder) setBase(seen base) error {
	data, err := json.Marshal(seen)
	if err != nil {
		return &FileError{Path: baseFile, Err: err}
	}
	return f.write(baseFile, append(data, '\n'))
}

// write replaces a file of the folder in one step.
func (f folder) write(name string, data []byte) error {
	path := filepath.Join(f.path, name)
	temporary, err := os.CreateTemp(f.path, ".peridotrail-*")
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // fails after the rename, as it should
	if err := writeAndClose(temporary, data); err != nil {
		return &FileError{Path: path, Err: err}
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

const fileMode = 0o644

func writeAndClose(file *os.File, data []byte) error {
	_, writeErr := file.Write(data)
	modeErr := file.Chmod(fileMode)
	closeErr := file.Close()
	for _, err := range []error{writeErr, modeErr, closeErr} {
		if err != nil {
			return err
		}
	}
	return nil
}

// restore puts back the earlier content of a file; nil removes the file.
func (f folder) restore(name string, before []byte) error {
	if before != nil {
		return f.write(name, before)
	}
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return &FileError{Path: name, Err: err}
	}
	return nil
}

// read returns the content of a file, nil if there is none.
func (f folder) read(name string) ([]byte, error) {
	path := filepath.Join(f.path, name)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return data, nil
}
