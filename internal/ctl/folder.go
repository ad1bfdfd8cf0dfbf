package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"peridotrail/internal/configuration"
)

// baseFileName is the file of a folder that records the last revision that the
// operator has seen, on which the next apply is based. It is not read as
// configuration.
const baseFileName = ".peridotrail-base"

// baseRecord is the content of the base file.
type baseRecord struct {
	Revision configuration.Revision `json:"revision"`
	Digest   configuration.Digest   `json:"digest"`
}

// folder is a folder of configuration files on the operator's machine.
type folder struct {
	path string
}

// load reads and validates all configuration files.
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

// readBase returns the revision that the operator has seen last, zero if there is
// none.
func (f folder) readBase() (baseRecord, error) {
	path := filepath.Join(f.path, baseFileName)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return baseRecord{}, nil
	}
	if err != nil {
		return baseRecord{}, &FileError{Path: path, Err: err}
	}
	var seen baseRecord
	if err := json.Unmarshal(data, &seen); err != nil {
		return baseRecord{}, &FileError{Path: path, Detail: "invalid; remove the file and run diff --seen", Err: err}
	}
	return seen, nil
}

func (f folder) writeBase(seen baseRecord) error {
	data, err := json.Marshal(seen)
	if err != nil {
		return &FileError{Path: baseFileName, Err: err}
	}
	return f.writeFile(baseFileName, append(data, '\n'))
}

// writeFile replaces a file of the folder atomically.
func (f folder) writeFile(name string, data []byte) error {
	path := filepath.Join(f.path, name)
	temporary, err := os.CreateTemp(f.path, ".peridotrail-*")
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // after the rename there is nothing to remove
	if err := writeAndClose(temporary, data); err != nil {
		return &FileError{Path: path, Err: err}
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

// fileMode replaces the mode 0600 that os.CreateTemp sets.
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

// restoreFile restores the original content of a file; nil removes the file.
func (f folder) restoreFile(name string, original []byte) error {
	if original != nil {
		return f.writeFile(name, original)
	}
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return &FileError{Path: name, Err: err}
	}
	return nil
}

// readFile returns the content of a file, nil if it doesn't exist.
func (f folder) readFile(name string) ([]byte, error) {
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
